//! Agents' newest reports, and what they tell of a run.

use crate::bounds::{Bounds, VOICE};
use crate::id::{Host, Life, Run, Task};
use crate::message::{Contact, Ended, How, Refusal, Report, Worker};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Age of a report up to which its worker gets new tasks.
const FRESH: Duration = Duration::from_millis(1_500);

/// How a run ended, and by which evidence.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Fate {
    /// The worker listed its end.
    Ended(How, Arc<str>),
    /// It never began.
    Refused(Refusal),
    /// The worker's lease ended while its agent could not reach it.
    Lapsed,
    /// Other members of its gang ended after the gang had worked, which ends all of them.
    GangEnded,
    /// The worker left, or its place was taken by another life.
    Gone,
    /// Its agent was silent for longer than any lease.
    Silent,
}

#[derive(Debug)]
struct Seen {
    at: Duration,
    /// When the worker's current life was first reported.
    life_since: Duration,
    report: Report,
}

/// All agents.
#[derive(Debug)]
pub(super) struct Fleet {
    hosts: BTreeMap<Host, Seen>,
    /// Time from which the silence of an agent that never reported counts: until then an earlier
    /// decider may have answered it.
    since: Duration,
    silence: Duration,
    /// Time after which a start that was sent to one life of a worker is surely not carried out by the
    /// next one any more, nor still runs there.
    unsettled: Duration,
}

impl Fleet {
    pub fn new(now: Duration, bounds: &Bounds) -> Self {
        Self {
            hosts: BTreeMap::new(),
            since: now + VOICE,
            silence: bounds.silence(),
            unsettled: bounds.lease() * 2,
        }
    }

    pub fn report(&mut self, now: Duration, report: Report) -> bool {
        let stale = self.hosts.get(&report.host).is_some_and(|seen| {
            let order = |report: &Report| (report.incarnation, report.sequence);
            order(&seen.report) >= order(&report)
        });
        if stale {
            return false;
        }
        let life = |report: &Report| {
            report
                .worker
                .as_ref()
                .map(|worker| worker.about.life.clone())
        };
        let life_since = match self.hosts.get(&report.host) {
            Some(seen) if life(&seen.report) == life(&report) => seen.life_since,
            _ => now,
        };
        let seen = Seen {
            at: now,
            life_since,
            report,
        };
        self.hosts.insert(seen.report.host.clone(), seen);
        true
    }

    /// Returns the newest report of a host.
    pub fn get(&self, host: &str) -> Option<&Report> {
        self.hosts.get(host).map(|seen| &seen.report)
    }

    /// Tells whether a host's report is too old to show what runs there.
    pub fn stale(&self, now: Duration, host: &str) -> bool {
        self.hosts
            .get(host)
            .is_none_or(|seen| !Self::fresh(now.saturating_sub(seen.at)))
    }

    /// Tells whether a worker has said that it leaves.
    pub fn leaves(&self, life: &Life) -> bool {
        self.get(&life.host)
            .and_then(|report| report.worker.as_ref())
            .is_some_and(|worker| worker.about.life == *life && worker.about.draining)
    }

    /// Returns the workers with the age of what is known of them.
    pub fn workers(&self, now: Duration) -> impl Iterator<Item = (Duration, &Worker)> {
        self.hosts.values().filter_map(move |seen| {
            let worker = seen.report.worker.as_ref()?;
            Some((now.saturating_sub(seen.at), worker))
        })
    }

    /// Tells whether knowledge of this age is good enough for new tasks.
    pub fn fresh(age: Duration) -> bool {
        age < FRESH
    }

    /// Returns how a run on a life of a worker ended, if it is known to have ended.
    pub fn fate(&self, now: Duration, life: &Life, task: Task, run: Run) -> Option<Fate> {
        let Some(seen) = self.hosts.get(&life.host) else {
            return (now > self.since + self.silence).then_some(Fate::Silent);
        };
        if let Some(worker) = &seen.report.worker {
            if worker.about.life == *life {
                if let Some(fate) = listed(worker, task, run) {
                    return Some(fate);
                }
            } else if worker.about.life.born >= life.born {
                let unsettled = now <= seen.life_since + self.unsettled;
                return replaced(worker, life, task, run, unsettled);
            }
        }
        if seen.report.left.as_ref() == Some(life) {
            return Some(Fate::Gone);
        }
        (now > seen.at + self.silence).then_some(Fate::Silent)
    }
}

/// Returns the fate of a run on a life of a worker that another one has replaced.
///
/// A worker that starts again under its name takes a start that was meant for the life before, now or
/// when it arrives late. So the run is over only once the new life lists its end, or has taken a stop of
/// it and lists nothing of it.
fn replaced(worker: &Worker, life: &Life, task: Task, run: Run, unsettled: bool) -> Option<Fate> {
    if worker.about.life.worker != life.worker {
        return Some(Fate::Gone);
    }
    match listed(worker, task, run) {
        Some(Fate::Ended(how, saved)) => return Some(Fate::Ended(how, saved)),
        Some(_) => return Some(Fate::Gone),
        None => {}
    }
    let running = worker
        .running
        .iter()
        .any(|row| row.task == task && row.run == run);
    (!running && !unsettled).then_some(Fate::Gone)
}

fn listed(worker: &Worker, task: Task, run: Run) -> Option<Fate> {
    let same = |row: &&Ended| row.task == task && row.run == run;
    if let Some(end) = worker.ended.iter().find(same) {
        return Some(Fate::Ended(end.how, end.saved.clone()));
    }
    let refused = worker
        .refused
        .iter()
        .find(|refused| refused.task == task && refused.run == run);
    if let Some(refused) = refused {
        return Some(Fate::Refused(refused.why));
    }
    (worker.contact == Contact::Lapsed).then_some(Fate::Lapsed)
}
