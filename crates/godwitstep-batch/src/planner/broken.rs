//! Gangs that end because of a member whose agent is silent.
//!
//! A member on a worker that is cut off from the others does not learn that they have ended, and runs on under its lease.
//! So the end of one member shows nothing about another, whatever ended it and however long ago.
//!
//! A worker that reports that its member ended because another one had ended is evidence, however. The first member to
//! end ended for another reason. If the worker of each member but one says this, that one was the first. The gang may then
//! be started again without waiting for the longest lease of the silent agent.

use super::Planner;
use super::ends::EndedRun;
use super::reports::EndCause;
use crate::id::{Incarnation, Run};
use crate::message::EndReason;
use crate::progress::Step;
use std::time::Duration;

/// Records what the end of a gang's member shows about the others, before the member is marked as ended. `listed` tells
/// whether the report is about the worker on which the member was placed, and not about its next incarnation, in which a
/// late start of the member may have ended.
pub(super) fn record_end(step: &mut Step, end: &EndedRun, listed: bool) {
    let broken = matches!(end.cause, EndCause::Reported(EndReason::GangEnded, _)) && listed;
    let mut members = step.tasks.iter();
    let first = !members.any(|task| task.run == end.run && task.placed_on().is_none());
    if broken && first {
        step.broken_run = end.run;
    } else if !broken && step.broken_run == end.run {
        step.broken_run = 0;
    }
}

impl Planner {
    /// Returns the end of a placed member whose agent is silent, if the other members show that it has ended.
    pub(super) fn broken_end_cause(
        &self,
        now: Duration,
        step: &Step,
        index: u16,
        run: Run,
        incarnation: &Incarnation,
    ) -> Option<EndCause> {
        let broken = step.broke_gang(index, run) && self.reports.is_silent(now, &incarnation.host);
        broken.then_some(EndCause::BrokeGang)
    }
}
