//! A request that has not been answered yet.

use super::Request;
use crate::id::{Incarnation, TargetId};
use crate::resource::Priority;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// Being decided on, within one call.
    Idle,
    /// Agents are asked about its key, until the given time at the latest.
    Fencing { until: Duration },
    /// Waits for a slot.
    Queued,
    /// Sent to a target.
    Sent { target: TargetId, at: Duration },
    /// The key runs or ran at a target for an earlier request; the agent's reply follows.
    Waiting { target: TargetId },
}

/// What agents said about the key of a request.
#[derive(Debug, Default)]
pub struct Fences {
    /// Agents that have not replied.
    pub asked: BTreeSet<TargetId>,
    /// Agents that run the key only for this request, with their lives.
    pub held: BTreeMap<TargetId, Incarnation>,
}

/// A request with its progress.
#[derive(Debug)]
pub struct Item {
    pub request: Request,
    pub priority: Priority,
    /// Latest time at which the request can be sent and is expected to end in time.
    pub latest: Duration,
    pub phase: Phase,
    /// Present if the key may have been sent before and must not run twice.
    pub fences: Option<Fences>,
    /// Whether an earlier request with the key, or an earlier send of this one, may have run.
    /// While set, the request can't be answered as not run.
    pub doubt: bool,
    /// Lives of targets whose agents will never start this request.
    pub refused: BTreeSet<(TargetId, Incarnation)>,
}

impl Item {
    pub const fn new(request: Request, priority: Priority) -> Self {
        Self {
            latest: request.deadline,
            request,
            priority,
            phase: Phase::Idle,
            fences: None,
            doubt: false,
            refused: BTreeSet::new(),
        }
    }

    /// Reports whether the request waits in this entry, and so counts against the limits.
    pub const fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Queued | Phase::Fencing { .. })
    }

    /// Reports whether the request can still be answered as not run.
    pub const fn is_unrun(&self) -> bool {
        matches!(self.phase, Phase::Idle | Phase::Queued) && !self.doubt
    }

    /// Reports whether the target may be sent this request: not one whose present life has refused
    /// it for good, and if its key is fenced, only one whose present life holds the fence.
    pub fn allows(&self, target: &TargetId, incarnation: Incarnation) -> bool {
        let refused =
            !self.refused.is_empty() && self.refused.contains(&(target.clone(), incarnation));
        let held = self
            .fences
            .as_ref()
            .is_none_or(|fences| fences.held.get(target) == Some(&incarnation));
        held && !refused
    }

    /// Reports whether any usable target will do.
    pub fn allows_all(&self) -> bool {
        self.fences.is_none() && self.refused.is_empty()
    }
}
