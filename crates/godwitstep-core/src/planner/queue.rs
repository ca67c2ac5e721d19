//! Waiting jobs in the order in which they are considered.
//!
//! Jobs of one workspace, kind and form wait in one lane: when the first of a lane can't be
//! placed, the others of the lane can't either, so a look through the queue costs as much as there
//! are lanes, not jobs.

use crate::id::{KindId, WorkspaceId};
use crate::reason::Reason;
use crate::resource::Shape;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Order of a job: lower goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct Key {
    /// 0 for urgent work, 1 for other work.
    pub class: u8,
    /// For urgent work, when it is due. Unit: milliseconds of the planner's time.
    pub due: i64,
    /// 0 if the job fits a guarantee of its workspace, 1 otherwise.
    pub unguaranteed: u8,
    /// Cost of being late, negated, in thousandths.
    pub cost: i64,
    /// 1 for work that can wait.
    pub patient: u8,
    /// When it was accepted. Unit: milliseconds of the planner's time.
    pub accepted: i64,
    /// Number of the job.
    pub job: u32,
}

/// Jobs that are alike for placement.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Lane {
    pub workspace: WorkspaceId,
    pub kind: KindId,
    pub shape: Shape,
    pub soft: bool,
}

#[derive(Debug, Clone, Default)]
struct Line {
    jobs: BTreeSet<Key>,
    blocked: Option<Reason>,
}

/// The queue. See the module page.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    lanes: HashMap<Lane, u32>,
    lines: Vec<Line>,
    /// First key of each lane that is not blocked.
    ready: BTreeMap<Key, u32>,
    blocked: BTreeSet<u32>,
    waiting: usize,
}

impl Queue {
    /// Adds a job. Returns the reason for which its lane waits, if it does.
    pub(super) fn push(&mut self, lane: &Lane, key: Key) -> Option<Reason> {
        let next = u32::try_from(self.lines.len()).unwrap_or(u32::MAX);
        let at = *self.lanes.entry(lane.clone()).or_insert(next);
        if at == next {
            self.lines.push(Line::default());
        }
        self.unlist(at);
        let members = &mut self.lines[at as usize];
        members.jobs.insert(key);
        self.waiting += 1;
        let reason = members.blocked.clone();
        self.list(at);
        reason
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, lane: &Lane, key: Key) {
        let Some(at) = self.lanes.get(lane).copied() else {
            return;
        };
        self.unlist(at);
        if self.lines[at as usize].jobs.remove(&key) {
            self.waiting -= 1;
        }
        self.list(at);
    }

    /// Returns the first job that may be placeable.
    pub(super) fn first(&self) -> Option<Key> {
        self.ready.first_key_value().map(|(key, _)| *key)
    }

    /// Reports whether no lane is left to be considered.
    pub(super) fn is_spent(&self) -> bool {
        self.ready.is_empty()
    }

    /// Notes that the first job of a lane can't be placed. Returns the other jobs of the lane if
    /// they wait for another kind of reason than before.
    pub(super) fn block(&mut self, lane: &Lane, reason: &Reason) -> Vec<Key> {
        let Some(at) = self.lanes.get(lane).copied() else {
            return Vec::new();
        };
        self.unlist(at);
        self.blocked.insert(at);
        let members = &mut self.lines[at as usize];
        let before = members.blocked.replace(reason.clone());
        if before.is_some_and(|before| before.code() == reason.code()) {
            return Vec::new();
        }
        members.jobs.iter().skip(1).copied().collect()
    }

    /// Returns the reason for which a lane waits, if it does.
    pub(super) fn reason(&self, lane: &Lane) -> Option<Reason> {
        let at = self.lanes.get(lane)?;
        self.lines[*at as usize].blocked.clone()
    }

    /// Makes all lanes ready to be considered again.
    pub(super) fn unblock(&mut self) {
        for at in std::mem::take(&mut self.blocked) {
            self.list(at);
        }
    }

    /// Returns the number of waiting jobs.
    pub(super) const fn len(&self) -> usize {
        self.waiting
    }

    fn unlist(&mut self, at: u32) {
        if let Some(first) = self.lines[at as usize].jobs.first() {
            self.ready.remove(first);
        }
    }

    fn list(&mut self, at: u32) {
        let members = &mut self.lines[at as usize];
        match members.jobs.first() {
            Some(_) if self.blocked.contains(&at) => {}
            Some(first) => {
                self.ready.insert(*first, at);
            }
            None => {
                members.blocked = None;
                self.blocked.remove(&at);
            }
        }
    }
}
