//! Queue of waiting jobs, in scheduling order.
//!
//! Jobs with the same workspace, kind and shape that are equally preemptible share a lane. If the
//! first job of a lane can't be placed, the others can't either, so the cost of a pass over the
//! queue grows with the number of lanes, not of jobs.

use crate::id::{KindId, WorkspaceId};
use crate::reason::Reason;
use crate::resource::Shape;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Position of a job in the queue; lower keys go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct Key {
    /// 0 for urgent jobs, 1 for others.
    pub class: u8,
    /// Deadline of an urgent job, 0 for others. Unit: milliseconds of the planner's time.
    pub due: i64,
    /// 0 if the job fits a guarantee of its workspace, 1 otherwise.
    pub unguaranteed: u8,
    /// Cost of a missed deadline, negated, in thousandths.
    pub cost: i64,
    /// 1 for jobs of patient priority, 0 for others.
    pub patient: u8,
    /// When the job was accepted. Unit: milliseconds of the planner's time.
    pub accepted: i64,
    /// The planner's number of the job.
    pub job: u32,
}

/// Key of the jobs that are equivalent for placement.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Lane {
    pub workspace: WorkspaceId,
    pub kind: KindId,
    pub shape: Shape,
    pub preemptible: bool,
}

#[derive(Debug, Clone, Default)]
struct LaneState {
    jobs: BTreeSet<Key>,
    blocked: Option<Reason>,
}

/// Queue of waiting jobs, grouped by lane. See the [module](self) page.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    lanes: HashMap<Lane, u32>,
    states: Vec<LaneState>,
    /// First key of each lane that is not blocked.
    ready: BTreeMap<Key, u32>,
    blocked: BTreeSet<u32>,
    waiting: usize,
}

impl Queue {
    /// Adds a job. Returns the reason why its lane is blocked, if it is.
    pub(super) fn push(&mut self, lane: &Lane, key: Key) -> Option<Reason> {
        let next = u32::try_from(self.states.len()).unwrap_or(u32::MAX);
        let index = *self.lanes.entry(lane.clone()).or_insert(next);
        if index == next {
            self.states.push(LaneState::default());
        }
        self.remove_ready(index);
        let state = &mut self.states[index as usize];
        state.jobs.insert(key);
        self.waiting += 1;
        let reason = state.blocked.clone();
        self.insert_ready(index);
        reason
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, lane: &Lane, key: Key) {
        let Some(index) = self.lanes.get(lane).copied() else {
            return;
        };
        self.remove_ready(index);
        if self.states[index as usize].jobs.remove(&key) {
            self.waiting -= 1;
        }
        self.insert_ready(index);
    }

    /// Returns the first job in queue order among the lanes that are not blocked.
    pub(super) fn first(&self) -> Option<Key> {
        self.ready.first_key_value().map(|(key, _)| *key)
    }

    /// Reports whether all lanes are blocked or empty.
    pub(super) fn is_exhausted(&self) -> bool {
        self.ready.is_empty()
    }

    /// Blocks a lane whose first job can't be placed. Returns the other jobs of the lane if the
    /// kind of reason has changed.
    pub(super) fn block(&mut self, lane: &Lane, reason: &Reason) -> Vec<Key> {
        let Some(index) = self.lanes.get(lane).copied() else {
            return Vec::new();
        };
        self.remove_ready(index);
        self.blocked.insert(index);
        let state = &mut self.states[index as usize];
        let before = state.blocked.replace(reason.clone());
        if before.is_some_and(|before| before.code() == reason.code()) {
            return Vec::new();
        }
        state.jobs.iter().skip(1).copied().collect()
    }

    /// Returns the reason why a lane is blocked, if it is.
    pub(super) fn reason(&self, lane: &Lane) -> Option<Reason> {
        let index = self.lanes.get(lane)?;
        self.states[*index as usize].blocked.clone()
    }

    /// Unblocks all lanes, so that their first jobs are considered again.
    pub(super) fn unblock_all(&mut self) {
        for index in std::mem::take(&mut self.blocked) {
            self.insert_ready(index);
        }
    }

    /// Returns the number of queued jobs.
    pub(super) const fn len(&self) -> usize {
        self.waiting
    }

    fn remove_ready(&mut self, index: u32) {
        if let Some(first) = self.states[index as usize].jobs.first() {
            self.ready.remove(first);
        }
    }

    fn insert_ready(&mut self, index: u32) {
        let state = &mut self.states[index as usize];
        match state.jobs.first() {
            Some(_) if self.blocked.contains(&index) => {}
            Some(first) => {
                self.ready.insert(*first, index);
            }
            None => {
                state.blocked = None;
                self.blocked.remove(&index);
            }
        }
    }
}
