//! Interface between the simulated region and the scheduling policy of a decider.

use godwitstep_core::Reason;
use godwitstep_core::planner::{Action, Event, Planner};
use std::time::Duration;

/// A scheduling policy. Receives the events of the planner and returns its actions.
pub trait Policy {
    /// Handles one event and appends the resulting actions to `out`.
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>);
    /// Returns the first invariant that the policy found violated, if any.
    fn violation(&self) -> Option<String> {
        None
    }
    /// Returns the reason for the current state of an active job.
    fn reason(&self, _job: &str) -> Option<&Reason> {
        None
    }
}

impl Policy for Planner {
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        Self::handle(self, now, event, out);
    }

    fn violation(&self) -> Option<String> {
        Self::violation(self).map(ToString::to_string)
    }

    fn reason(&self, job: &str) -> Option<&Reason> {
        Self::reason(self, job)
    }
}

/// Creates the policy of a new decider from a seed.
pub type Factory = Box<dyn Fn(u64) -> Box<dyn Policy>>;
