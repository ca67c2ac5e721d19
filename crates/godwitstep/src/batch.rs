//! Processes that schedule multi-step jobs, built on the logic in `godwitstep_batch`.
//!
//! * An [`entry`] serves callers, follows the log and schedules jobs while it holds the decider role.
//! * An [`agent`] runs on the host of a worker, renews the worker's lease and executes the decider's orders.
//!
//! Both communicate with external services through two traits: [`log::Log`] and [`worker::Worker`]. The code
//! that implements a platform's protocol implements these traits, and passes callers' requests to
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

/// Clock that all parts of a process share.
pub type SharedClock = Rc<dyn Clock>;

/// Returns the wall-clock time in Unix milliseconds; 0 if the clock is set before 1970.
fn wall_millis(clock: &dyn Clock) -> u64 {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, whole_millis)
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
