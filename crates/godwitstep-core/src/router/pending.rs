//! State of a request that has not been answered yet.

use super::Request;
use crate::id::{Incarnation, TargetId};
use crate::resource::Priority;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Phase of a pending request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Not decided yet. No request is in this phase after a call of the router has returned.
    Undecided,
    /// Waits until the agents have fenced its key, at most until the given time.
    Fencing { until: Duration },
    /// Waits in the queue for a free slot.
    Queued,
    /// Sent to a target.
    Sent { target: TargetId, at: Duration },
    /// The target runs or ran the key for an earlier request. The agent's reply follows.
    AwaitingEarlierRun { target: TargetId },
}

/// Replies of agents to the fence of a request's key.
#[derive(Debug, Default)]
pub struct Fences {
    /// Agents that were sent the fence and have not replied.
    pub unreplied: BTreeSet<TargetId>,
    /// Agents that granted the fence: they run the key only for this request. With the
    /// incarnation of each.
    pub granted: BTreeMap<TargetId, Incarnation>,
}

/// A request that has not been answered yet.
#[derive(Debug)]
pub struct PendingRequest {
    pub request: Request,
    pub priority: Priority,
    /// Latest time at which the request can be sent if it is to end before its deadline.
    pub latest_start: Duration,
    pub phase: Phase,
    /// `Some` if the key may have been sent before and must not run twice.
    pub fences: Option<Fences>,
    /// Whether an earlier request with the key, or an earlier send of this one, may have run.
    /// While set, the request can't be answered as not run.
    pub may_have_run: bool,
    /// Incarnations of targets whose agents will never start this request.
    pub refused_by: BTreeSet<(TargetId, Incarnation)>,
}

impl PendingRequest {
    pub const fn new(request: Request, priority: Priority) -> Self {
        Self {
            latest_start: request.deadline,
            request,
            priority,
            phase: Phase::Undecided,
            fences: None,
            may_have_run: false,
            refused_by: BTreeSet::new(),
        }
    }

    /// Reports whether the request waits in this entry. Waiting requests count against the limits.
    pub const fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Queued | Phase::Fencing { .. })
    }

    /// Reports whether it is certain that the request has not run.
    pub const fn is_certainly_not_run(&self) -> bool {
        matches!(self.phase, Phase::Undecided | Phase::Queued) && !self.may_have_run
    }

    /// Reports whether the request may be sent to this incarnation of a target: it must not have
    /// refused the request for good, and if the key is fenced, it must have granted the fence.
    pub fn can_run_on(&self, target: &TargetId, incarnation: Incarnation) -> bool {
        let refused =
            !self.refused_by.is_empty() && self.refused_by.contains(&(target.clone(), incarnation));
        let granted = self
            .fences
            .as_ref()
            .is_none_or(|fences| fences.granted.get(target) == Some(&incarnation));
        granted && !refused
    }

    /// Reports whether the request may be sent to any usable target.
    pub fn can_run_anywhere(&self) -> bool {
        self.fences.is_none() && self.refused_by.is_empty()
    }
}
