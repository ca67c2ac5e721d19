//! Priority queue of the requests of one service that wait for a free slot.

use super::Sequence;
use super::dequeue_rate::DequeueRate;
use crate::id::{ServiceId, WorkspaceId};
use crate::resource::Priority;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of requests of higher classes that may be dequeued while a lower class waits. Then the
/// lower class is served next, which prevents starvation.
pub const MAX_BYPASSES: u32 = 8;
/// Number of priority classes.
const CLASSES: usize = 3;

/// Requests by priority class, earliest deadline first within each class.
#[derive(Debug, Default)]
pub struct Queue {
    classes: [Class; CLASSES],
}

#[derive(Debug, Default)]
struct Class {
    /// Latest time at which each request can be dequeued and still end in time, by deadline.
    waiting: BTreeMap<(Duration, Sequence), Duration>,
    /// Number of requests of higher classes dequeued while this class waited.
    bypasses: u32,
    rate: DequeueRate,
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
            class.rate.start_waiting(now);
        }
        class.waiting.insert((deadline, sequence), latest);
    }

    pub fn remove(&mut self, priority: Priority, deadline: Duration, sequence: Sequence) {
        let class = &mut self.classes[index(priority)];
        class.waiting.remove(&(deadline, sequence));
        if class.waiting.is_empty() {
            class.bypasses = 0;
        }
    }

    /// Records that a request of a class was dequeued.
    pub fn record_dequeue(&mut self, now: Duration, priority: Priority) {
        let dequeued = index(priority);
        self.classes[dequeued].bypasses = 0;
        self.classes[dequeued].rate.record_dequeue(now);
        for lower in &mut self.classes[dequeued + 1..] {
            if !lower.waiting.is_empty() {
                lower.bypasses += 1;
            }
        }
    }

    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.waiting.len()).sum()
    }

    /// Returns the number of waiting requests of higher classes.
    fn higher(&self, class: usize) -> usize {
        let higher = &self.classes[..class];
        higher.iter().map(|class| class.waiting.len()).sum()
    }

    /// Returns the time at which a new request is expected to be dequeued, or `None` if it would
    /// make a queued request of its class late.
    ///
    /// `service_interval` is the mean time between two dequeues of the service.
    pub fn expected_dequeue(
        &self,
        now: Duration,
        priority: Priority,
        deadline: Duration,
        service_interval: Duration,
    ) -> Option<Duration> {
        let index = index(priority);
        let waiting = &self.classes[index].waiting;
        let forecast = self.forecast_class(now, index, service_interval);
        let ahead = waiting.range(..(deadline, 0)).count();
        let behind = waiting.range((deadline, 0)..).zip(ahead..);
        let displaced = behind.into_iter().any(|((_, latest), ahead)| {
            // A request that would be late anyway does not count as displaced.
            forecast.dequeue_time(ahead + 1) > *latest && forecast.dequeue_time(ahead) <= *latest
        });
        (!displaced).then(|| forecast.dequeue_time(ahead))
    }

    /// Returns the requests that are expected to be dequeued too late to end in time.
    pub fn late_requests(&self, now: Duration, service_interval: Duration) -> Vec<Sequence> {
        let mut late = Vec::new();
        for (index, class) in self.classes.iter().enumerate() {
            let forecast = self.forecast_class(now, index, service_interval);
            let mut ahead = 0;
            for ((_, sequence), latest) in &class.waiting {
                // Late requests will be refused, so they do not delay the ones behind them.
                if forecast.dequeue_time(ahead) > *latest {
                    late.push(*sequence);
                } else {
                    ahead += 1;
                }
            }
        }
        late
    }

    fn forecast_class(&self, now: Duration, index: usize, service_interval: Duration) -> Forecast {
        let class = &self.classes[index];
        let interval = class.rate.interval(now);
        Forecast {
            now,
            higher: self.higher(index),
            service_interval,
            class_interval: interval.filter(|_| !class.waiting.is_empty()),
        }
    }

    /// Returns the requests in the order in which they are to be dequeued.
    pub fn order(&self) -> impl Iterator<Item = Sequence> + '_ {
        let overdue = |class: &&Class| class.bypasses >= MAX_BYPASSES;
        let first = self.classes.iter().rev().filter(overdue);
        let rest = self.classes.iter().filter(move |class| !overdue(class));
        first
            .chain(rest)
            .flat_map(|class| class.waiting.keys())
            .map(|(_, sequence)| *sequence)
    }
}

/// Estimates when the requests of one class will be dequeued.
struct Forecast {
    now: Duration,
    /// Number of waiting requests of higher classes.
    higher: usize,
    /// Mean time between two dequeues of the service.
    service_interval: Duration,
    /// Mean time between two recent dequeues of the class, if known. While requests of higher
    /// classes keep arriving, it predicts better than the length of the queue.
    class_interval: Option<Duration>,
}

impl Forecast {
    /// Returns the time at which a request with `ahead` requests of its class before it is
    /// expected to be dequeued.
    fn dequeue_time(&self, ahead: usize) -> Duration {
        let times = |time: Duration, count: usize| {
            time.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
        };
        let expected = match self.class_interval {
            Some(interval) => times(interval, ahead + 1).max(times(self.service_interval, ahead)),
            None => times(self.service_interval, self.higher + ahead),
        };
        // Upper bound that holds whatever arrives in the other classes: each class is served at
        // least once in this many dequeues.
        let max_cycle = MAX_BYPASSES as usize + CLASSES - 1;
        self.now + expected.min(times(self.service_interval, (ahead + 1) * max_cycle))
    }
}

/// Numbers of waiting requests by service and by workspace, which the limits apply to.
#[derive(Debug, Default)]
pub struct Counts {
    services: BTreeMap<ServiceId, usize>,
    workspaces: BTreeMap<WorkspaceId, usize>,
}

impl Counts {
    /// Adds (`added`) or removes one waiting request.
    pub fn update(&mut self, service: &ServiceId, workspace: &WorkspaceId, added: bool) {
        update_count(&mut self.services, service, added);
        update_count(&mut self.workspaces, workspace, added);
    }

    pub fn for_service(&self, id: &ServiceId) -> usize {
        self.services.get(id).copied().unwrap_or(0)
    }

    pub fn for_workspace(&self, id: &WorkspaceId) -> usize {
        self.workspaces.get(id).copied().unwrap_or(0)
    }

    pub fn total(&self) -> usize {
        self.services.values().sum()
    }
}

fn update_count(counts: &mut BTreeMap<ServiceId, usize>, id: &ServiceId, added: bool) {
    let count = counts.entry(id.clone()).or_default();
    *count = if added {
        *count + 1
    } else {
        count.saturating_sub(1)
    };
    if *count == 0 {
        counts.remove(id);
    }
}
