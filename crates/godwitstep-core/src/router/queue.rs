//! The requests of one service that wait for a slot, in the order in which they are taken.

use super::Sequence;
use super::pace::Pace;
use crate::id::{ServiceId, WorkspaceId};
use crate::resource::Priority;
use std::collections::BTreeMap;
use std::time::Duration;

/// Requests of higher classes after which a waiting one of a lower class is taken.
pub const MAX_PASSED: u32 = 8;
const CLASSES: usize = 3;

/// Priority classes, earliest deadline first within each.
#[derive(Debug, Default)]
pub struct Queue {
    classes: [Class; CLASSES],
}

#[derive(Debug, Default)]
struct Class {
    /// Latest time at which each request can be taken and still end in time, by deadline.
    waiting: BTreeMap<(Duration, Sequence), Duration>,
    /// How often a higher class was taken while this one waited.
    passed: u32,
    pace: Pace,
}

const fn index(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Patient => 2,
    }
}

impl Queue {
    pub fn insert(
        &mut self,
        now: Duration,
        priority: Priority,
        deadline: Duration,
        sequence: Sequence,
        latest: Duration,
    ) {
        let class = &mut self.classes[index(priority)];
        if class.waiting.is_empty() {
            class.pace.start(now);
        }
        class.waiting.insert((deadline, sequence), latest);
    }

    pub fn remove(&mut self, priority: Priority, deadline: Duration, sequence: Sequence) {
        let class = &mut self.classes[index(priority)];
        class.waiting.remove(&(deadline, sequence));
        if class.waiting.is_empty() {
            class.passed = 0;
        }
    }

    /// Notes that a request of a class was taken.
    pub fn taken(&mut self, now: Duration, priority: Priority) {
        let taken = index(priority);
        self.classes[taken].passed = 0;
        self.classes[taken].pace.count(now);
        for lower in &mut self.classes[taken + 1..] {
            if !lower.waiting.is_empty() {
                lower.passed += 1;
            }
        }
    }

    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.waiting.len()).sum()
    }

    /// Returns the number of requests of higher classes.
    fn higher(&self, class: usize) -> usize {
        let higher = &self.classes[..class];
        higher.iter().map(|class| class.waiting.len()).sum()
    }

    /// Returns when a new request would be taken, or `None` if it would make one of its class
    /// late that has been accepted before.
    ///
    /// `each` is the mean time between two requests of the service that are taken.
    pub fn place(
        &self,
        now: Duration,
        priority: Priority,
        deadline: Duration,
        each: Duration,
    ) -> Option<Duration> {
        let index = index(priority);
        let waiting = &self.classes[index].waiting;
        let forecast = self.forecast_class(now, index, each);
        let ahead = waiting.range(..(deadline, 0)).count();
        let behind = waiting.range((deadline, 0)..).zip(ahead..);
        let displaced = behind.into_iter().any(|((_, latest), ahead)| {
            // One that would be late in any case is no reason to refuse.
            forecast.taken(ahead + 1) > *latest && forecast.taken(ahead) <= *latest
        });
        (!displaced).then(|| forecast.taken(ahead))
    }

    /// Returns the requests that would be taken too late.
    pub fn late(&self, now: Duration, each: Duration) -> Vec<Sequence> {
        let mut late = Vec::new();
        for (index, class) in self.classes.iter().enumerate() {
            let forecast = self.forecast_class(now, index, each);
            let mut ahead = 0;
            for ((_, sequence), latest) in &class.waiting {
                // Those that are too late will be refused, so others do not wait for them.
                if forecast.taken(ahead) > *latest {
                    late.push(*sequence);
                } else {
                    ahead += 1;
                }
            }
        }
        late
    }

    fn forecast_class(&self, now: Duration, index: usize, each: Duration) -> Forecast {
        let class = &self.classes[index];
        let pace = class.pace.interval(now);
        Forecast {
            now,
            higher: self.higher(index),
            each,
            interval: pace.filter(|_| !class.waiting.is_empty()),
        }
    }

    /// Returns the requests in the order in which they are to be taken.
    pub fn order(&self) -> impl Iterator<Item = Sequence> + '_ {
        let overdue = |class: &&Class| class.passed >= MAX_PASSED;
        let first = self.classes.iter().rev().filter(overdue);
        let rest = self.classes.iter().filter(move |class| !overdue(class));
        first
            .chain(rest)
            .flat_map(|class| class.waiting.keys())
            .map(|(_, sequence)| *sequence)
    }
}

/// What decides when the requests of one class are taken.
struct Forecast {
    now: Duration,
    /// Requests of higher classes that wait.
    higher: usize,
    /// Mean time between two requests of the service that are taken.
    each: Duration,
    /// Mean time between two requests of the class that were taken lately, if known. It tells more
    /// than the queue while higher classes keep arriving.
    interval: Option<Duration>,
}

impl Forecast {
    fn taken(&self, ahead: usize) -> Duration {
        let times = |time: Duration, count: usize| {
            time.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
        };
        let expected = match self.interval {
            Some(interval) => times(interval, ahead + 1).max(times(self.each, ahead)),
            None => times(self.each, self.higher + ahead),
        };
        // No class waits longer than this for its turns, whatever arrives in the others.
        let share = MAX_PASSED as usize + CLASSES - 1;
        self.now + expected.min(times(self.each, (ahead + 1) * share))
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
