//! The requests of one service that wait for a slot, in the order in which they are taken.

use super::Sequence;
use crate::id::{ServiceId, WorkspaceId};
use crate::resource::Priority;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests of higher classes after which a waiting one of a lower class is taken.
pub const MAX_PASSED: u32 = 8;
const CLASSES: usize = 3;

/// Priority classes, earliest deadline first within each.
#[derive(Debug, Default)]
pub struct Queue {
    classes: [BTreeSet<(Duration, Sequence)>; CLASSES],
    /// For each class, how often a higher one was taken while it waited.
    passed: [u32; CLASSES],
}

const fn index(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Patient => 2,
    }
}

impl Queue {
    pub fn insert(&mut self, priority: Priority, deadline: Duration, sequence: Sequence) {
        self.classes[index(priority)].insert((deadline, sequence));
    }

    pub fn remove(&mut self, priority: Priority, deadline: Duration, sequence: Sequence) {
        let class = &mut self.classes[index(priority)];
        class.remove(&(deadline, sequence));
        if class.is_empty() {
            self.passed[index(priority)] = 0;
        }
    }

    /// Notes that a request of a class was taken.
    pub fn taken(&mut self, priority: Priority) {
        let taken = index(priority);
        self.passed[taken] = 0;
        for lower in taken + 1..CLASSES {
            if !self.classes[lower].is_empty() {
                self.passed[lower] += 1;
            }
        }
    }

    pub fn len(&self) -> usize {
        self.classes.iter().map(BTreeSet::len).sum()
    }

    /// Returns how many requests go before one with the given class and deadline.
    pub fn ahead(&self, priority: Priority, deadline: Duration) -> usize {
        let class = index(priority);
        let higher: usize = self.classes[..class].iter().map(BTreeSet::len).sum();
        higher + self.classes[class].range(..(deadline, 0)).count()
    }

    /// Returns the requests in the order in which they are to be taken.
    pub fn order(&self) -> impl Iterator<Item = Sequence> + '_ {
        let overdue = |class: &usize| self.passed[*class] >= MAX_PASSED;
        let first = (0..CLASSES).rev().filter(overdue);
        let rest = (0..CLASSES).filter(move |class| !overdue(class));
        first
            .chain(rest)
            .flat_map(|class| self.classes[class].iter())
            .map(|(_, sequence)| *sequence)
    }
}

/// Numbers of requests that wait, for the limits.
#[derive(Debug, Default)]
pub struct Counts {
    services: BTreeMap<ServiceId, usize>,
    workspaces: BTreeMap<WorkspaceId, usize>,
}

impl Counts {
    pub fn change(&mut self, service: &ServiceId, workspace: &WorkspaceId, more: bool) {
        change(&mut self.services, service, more);
        change(&mut self.workspaces, workspace, more);
    }

    pub fn of_service(&self, id: &ServiceId) -> usize {
        self.services.get(id).copied().unwrap_or(0)
    }

    pub fn of_workspace(&self, id: &WorkspaceId) -> usize {
        self.workspaces.get(id).copied().unwrap_or(0)
    }

    pub fn total(&self) -> usize {
        self.services.values().sum()
    }
}

fn change(counts: &mut BTreeMap<ServiceId, usize>, id: &ServiceId, more: bool) {
    let count = counts.entry(id.clone()).or_default();
    *count = if more {
        *count + 1
    } else {
        count.saturating_sub(1)
    };
    if *count == 0 {
        counts.remove(id);
    }
}
