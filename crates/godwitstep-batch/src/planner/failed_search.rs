//! Searches for borrowed capacity that failed.
//!
//! A claim that nothing can be stopped for waits, and a search in each round would take most of the time of a round, which
//! is due every 200 ms. A search that failed would fail again until a run starts, ends or is stopped, or the workers or
//! their commitments change.

use super::place::PendingStep;
use super::{Planner, Round};
use crate::id::JobId;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Time after which a search is repeated in any case: what stops lose is not part of the state, and decides which of them
/// the search tries first.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Hash of what determines whether a search succeeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SearchState(u64);

/// A step of a job.
pub(super) type StepKey = (JobId, u16);

/// Failed searches of the last [`RETRY_INTERVAL`]; at most one for each step.
#[derive(Debug, Default)]
pub(super) struct FailedSearches {
    by_step: HashMap<StepKey, FailedSearch>,
}

#[derive(Debug, Clone, Copy)]
struct FailedSearch {
    at: Duration,
    state: SearchState,
}

impl FailedSearches {
    /// Returns whether a search has failed recently in the same state.
    pub fn is_known(&self, now: Duration, step: StepKey, state: SearchState) -> bool {
        let failed = self.by_step.get(&step);
        failed.is_some_and(|failed| failed.state == state && now < failed.at + RETRY_INTERVAL)
    }

    /// Records a failed search and drops those that are too old.
    pub fn record(&mut self, now: Duration, step: StepKey, state: SearchState) {
        self.by_step
            .retain(|_, failed| now < failed.at + RETRY_INTERVAL);
        self.by_step.insert(step, FailedSearch { at: now, state });
    }
}

impl SearchState {
    /// Returns the state for a search that has to place more tasks than `placeable`.
    pub fn of(planner: &Planner, round: &Round, pending: &PendingStep, placeable: usize) -> Self {
        let mut hasher = DefaultHasher::new();
        (placeable, &pending.waiting, round.policy.version).hash(&mut hasher);
        pending.excluded.hash(&mut hasher);
        for node in &round.cluster.nodes {
            node.incarnation.hash(&mut hasher);
            (node.schedulable, node.reports_recent, node.isolated_for).hash(&mut hasher);
            for demand in [&node.free, &node.committed, &node.excess] {
                (demand.cpu, demand.memory, demand.accelerators).hash(&mut hasher);
            }
            for occupant in &node.occupants {
                let stops = (
                    planner.is_told_to_stop(occupant),
                    planner.is_stopping(occupant),
                );
                (occupant.task, occupant.run, stops).hash(&mut hasher);
            }
        }
        Self(hasher.finish())
    }
}
