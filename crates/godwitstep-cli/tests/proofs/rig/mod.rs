//! Test rig: clusters of real processes, fault injection, and callers that record every outcome.

mod caller;
mod cluster;
mod jobs;
mod load;
mod node;
mod operator_api;
mod permit;
mod process;

pub use caller::{RequestSpec, send_request};
pub use cluster::{Cluster, ClusterConfig, DOMAINS, workspace_document};
pub use jobs::{job_document, job_phase};
pub use load::{LoadGenerator, RequestRecord};
pub use node::{Agent, Entry, Node, cut, heal, silence};
pub use operator_api::{get, operator_request};
pub use process::{Process, godwitstep};

use std::time::{Duration, Instant, SystemTime};

/// Default limit for conditions that a test waits for, long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Polls until a value is available; fails with the description after the timeout.
pub fn wait_for<T>(description: &str, timeout: Duration, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            start.elapsed() < timeout,
            "{description}: not within {timeout:?}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits until a condition holds.
pub fn wait_until(description: &str, timeout: Duration, mut condition: impl FnMut() -> bool) {
    wait_for(description, timeout, || condition().then_some(()));
}

/// Returns the wall clock in microseconds since 1970, the unit of the stand-ins' ledgers.
pub fn unix_time_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.expect("a time after 1970").as_micros()).expect("a time before 500000")
}

/// Returns the milliseconds between two timestamps in microseconds; negative if `to` is earlier.
pub fn millis_between(from: u64, to: u64) -> i64 {
    (i64::try_from(to).expect("small") - i64::try_from(from).expect("small")) / 1000
}

/// Returns a quantile of values in any order, such as 0.5 for the median.
pub fn quantile(values: &[i64], quantile: f64) -> i64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let index = (quantile * (sorted.len() - 1) as f64).round() as usize;
    sorted[index]
}
