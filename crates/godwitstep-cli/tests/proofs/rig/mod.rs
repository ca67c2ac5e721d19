//! Clusters of real processes, their faults, and callers that keep ledgers.

mod caller;
mod cluster;
mod jobs;
mod load;
mod node;
mod operator;
mod process;
mod slot;

pub use caller::{Ask, ask};
pub use cluster::{Cluster, DOMAINS, Plan, workspace};
pub use jobs::{job, job_phase};
pub use load::{Load, Record};
pub use node::{Agent, Entry, Node, cut, heal, silence};
pub use operator::{call, get};
pub use process::{Process, godwitstep};

use std::time::{Duration, Instant, SystemTime};

/// Time in which anything that a test waits for happens, also on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(40);

/// Waits until a condition yields a value; fails with `what` and the time it had.
pub fn wait_for<T>(what: &str, limit: Duration, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < limit, "{what}: not within {limit:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    wait_for(what, limit, || holds().then_some(()));
}

/// Returns the microseconds since 1970, as the stand-ins' ledgers count them.
pub fn wall_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.expect("a time after 1970").as_micros()).expect("a time before 500000")
}

/// Returns the time from one moment of a ledger to another in milliseconds; negative if `to` is
/// earlier.
pub fn millis_between(from: u64, to: u64) -> i64 {
    (i64::try_from(to).expect("small") - i64::try_from(from).expect("small")) / 1000
}

/// Returns a share of sorted or unsorted figures, such as 0.5 for the median.
pub fn quantile(figures: &[i64], share: f64) -> i64 {
    let mut sorted = figures.to_vec();
    sorted.sort_unstable();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let index = (share * (sorted.len() - 1) as f64).round() as usize;
    sorted[index]
}
