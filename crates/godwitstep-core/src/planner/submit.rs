//! Jobs that arrive, wait, and are cancelled.

use super::Planner;
use super::event::Action;
use super::job::{Entry, Fate, Stage, soft};
use super::queue::{Key, Lane};
use crate::guarantee;
use crate::id::{Attempt, JobId};
use crate::reason::Reason;
use crate::record;
use crate::resource::{Job, Phase, Priority};
use std::time::Duration;

impl Planner {
    pub(super) fn submit(
        &mut self,
        now: Duration,
        job: JobId,
        spec: Job,
        attempt: Attempt,
        age: Duration,
        out: &mut Vec<Action>,
    ) {
        if let Some(id) = self.enter(now, job, spec, attempt, age) {
            self.enqueue(id, out);
        }
    }

    /// Enters a job that is not known yet. Returns its number.
    pub(super) fn enter(
        &mut self,
        now: Duration,
        name: JobId,
        spec: Job,
        attempt: Attempt,
        age: Duration,
    ) -> Option<u32> {
        if self.names.contains_key(&name) {
            return None;
        }
        let id = self.next_job;
        self.next_job += 1;
        let lane = Lane {
            workspace: spec.workspace.clone(),
            kind: spec.kind.clone(),
            shape: spec.shape,
            soft: soft(&spec),
        };
        let key = self.key(id, &spec, millis(now) - millis(age));
        let entry = Entry {
            name: name.clone(),
            spec,
            attempt,
            reason: Reason::Accepted,
            key,
            lane,
            queued: false,
            run: None,
            failed_on: Vec::new(),
            failures: 0,
            avoid: None,
            wake: None,
            search_after: Duration::ZERO,
        };
        self.members
            .entry(entry.spec.workspace.clone())
            .or_default()
            .insert(id);
        self.names.insert(name, id);
        self.jobs.insert(id, entry);
        Some(id)
    }

    /// Returns the place of a job in the order of the queue.
    pub(super) fn key(&self, job: u32, spec: &Job, accepted: i64) -> Key {
        let tenant = self.tenants.get(&spec.workspace);
        let kind = tenant.and_then(|tenant| tenant.spec.kind(&spec.kind));
        let priority = kind.map_or(Priority::Normal, |kind| kind.priority);
        let guaranteed = tenant.is_some_and(|tenant| {
            let mut claims = tenant.spec.guarantees.iter();
            claims.any(|entry| guarantee::covers(&entry.shape, spec))
        });
        let urgent = priority == Priority::Urgent;
        let deadline = spec.deadline_s.and_then(|limit| i64::try_from(limit).ok());
        let due = deadline.map_or(i64::MAX, |limit| accepted + limit * 1_000);
        // Costs are compared in thousandths; a float can't be part of an ordered key.
        #[allow(clippy::cast_possible_truncation)]
        let cost = kind.map_or(0, |kind| -((kind.refund * 1_000.0) as i64));
        Key {
            class: u8::from(!urgent),
            due: if urgent { due } else { 0 },
            unguaranteed: u8::from(!guaranteed),
            cost,
            patient: u8::from(priority == Priority::Patient),
            accepted,
            job,
        }
    }

    pub(super) fn enqueue(&mut self, id: u32, out: &mut Vec<Action>) {
        self.sleep(id);
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if entry.queued || entry.run.is_some() {
            return;
        }
        entry.queued = true;
        if let Some(reason) = self.queue.push(&entry.lane, entry.key) {
            self.explain(id, reason, out);
        }
    }

    pub(super) fn dequeue(&mut self, id: u32) {
        if let Some(entry) = self.jobs.get_mut(&id)
            && std::mem::take(&mut entry.queued)
        {
            self.queue.remove(&entry.lane, entry.key);
        }
    }

    pub(super) fn cancel(&mut self, now: Duration, job: &JobId, out: &mut Vec<Action>) {
        let Some(id) = self.names.get(job).copied() else {
            return;
        };
        let fate = Fate::End(Phase::Cancelled, Reason::Cancelled);
        self.withdraw(now, id, fate, out);
    }

    /// Takes a job out of wherever it is: gives up what is promised or held, stops what runs.
    pub(super) fn withdraw(&mut self, now: Duration, id: u32, fate: Fate, out: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(run) = &mut entry.run else {
            return self.resolve(now, id, fate, out);
        };
        match run.stage {
            Stage::Pledged { .. } => {
                self.drop_pledge(id);
                self.resolve(now, id, fate, out);
            }
            Stage::Reserving => {
                self.drop_holds(id, out);
                self.resolve(now, id, fate, out);
            }
            // What the log says is not known yet. The run is given up once it is.
            Stage::Recording => run.fate = Some(fate),
            Stage::Starting | Stage::Running | Stage::Adopting => {
                self.begin_stop(now, id, fate, out);
            }
            Stage::Stopping { .. } => {
                if matches!(fate, Fate::End(..)) {
                    run.fate = Some(fate);
                }
            }
        }
    }

    /// Lets a job without a run wait again or ends it.
    pub(super) fn resolve(&mut self, _now: Duration, id: u32, fate: Fate, out: &mut Vec<Action>) {
        match fate {
            Fate::Requeue(reason) => {
                self.explain(id, reason, out);
                self.enqueue(id, out);
            }
            Fate::End(phase, reason) => self.conclude(id, phase, reason, out),
        }
    }

    /// Ends a job for good.
    pub(super) fn conclude(
        &mut self,
        id: u32,
        phase: Phase,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        self.dequeue(id);
        self.sleep(id);
        let Some(entry) = self.jobs.remove(&id) else {
            return;
        };
        self.names.remove(&entry.name);
        if let Some(members) = self.members.get_mut(&entry.spec.workspace) {
            members.remove(&id);
        }
        self.outside.remove(&id);
        self.reservations.remove(&id);
        self.moves.remove(&(entry.key, id));
        let event = record::Event::End {
            job: entry.name,
            attempt: entry.attempt,
            epoch: self.epoch,
            phase,
            reason,
        };
        self.record(event, out);
    }
}

/// Returns a time in whole milliseconds, signed because a job may be older than the planner.
pub(super) fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
