//! Jobs of several steps: the processes around `godwitstep_batch`.
//!
//! * An [`entry`] serves callers, follows the log and decides while it holds the claim.
//! * An [`agent`] stands beside a worker, keeps its lease and carries the decider's orders out.
//!
//! Both reach the outside through two traits at the edge of the process: [`log::Log`] and
//! [`worker::Worker`]. What speaks a platform's protocol implements them, hands callers' requests to
//! [`entry::Entry`] and workers' registrations to [`agent::Agent`].

pub mod agent;
mod change_notifier;
pub mod entry;
mod follow;
pub mod log;
pub mod operator;
pub mod settings;
pub mod worker;

use godwitstep_core::clock::Clock;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// The clock that is passed to every part.
pub type SharedClock = Rc<dyn Clock>;

/// Returns the Unix milliseconds of a clock's wall time.
fn wall_millis(clock: &dyn Clock) -> u64 {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, whole_millis)
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
