//! A decider's policy as the fake region drives it.

use godwitstep_core::Reason;
use godwitstep_core::planner::{Action, Event, Planner};
use std::time::Duration;

/// Decides what starts where, through the events and actions of the planner.
pub trait Policy {
    /// Takes one event and appends what is to be done.
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>);
    /// Returns the first invariant that broke, if any.
    fn violation(&self) -> Option<String> {
        None
    }
    /// Returns the reason for which an active job is where it is.
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

/// Makes the policy of a new decider from a seed.
pub type Factory = Box<dyn Fn(u64) -> Box<dyn Policy>>;
