//! Submission, queueing and cancellation of jobs.

use super::Planner;
use super::event::Action;
use super::job::{ActiveJob, Resolution, Stage, preemptible};
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
        if let Some(id) = self.register(now, job, spec, attempt, age) {
            self.enqueue(id, out);
        }
    }

    /// Registers a job under a new number. Returns `None` if its name is already known.
    pub(super) fn register(
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
            preemptible: preemptible(&spec),
        };
        let key = self.queue_key(id, &spec, millis(now) - millis(age));
        let entry = ActiveJob {
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
            timer_at: None,
            search_after: Duration::ZERO,
        };
        self.jobs_by_workspace
            .entry(entry.spec.workspace.clone())
            .or_default()
            .insert(id);
        self.names.insert(name, id);
        self.jobs.insert(id, entry);
        Some(id)
    }

    /// Returns the job's position in the queue.
    pub(super) fn queue_key(&self, job: u32, spec: &Job, accepted: i64) -> Key {
        let workspace = self.workspaces.get(&spec.workspace);
        let kind = workspace.and_then(|workspace| workspace.spec.kind(&spec.kind));
        let priority = kind.map_or(Priority::Normal, |kind| kind.priority);
        let guaranteed = workspace.is_some_and(|workspace| {
            let mut guarantees = workspace.spec.guarantees.iter();
            guarantees.any(|entry| guarantee::covers(&entry.shape, spec))
        });
        let urgent = priority == Priority::Urgent;
        let deadline = spec.deadline_s.and_then(|limit| i64::try_from(limit).ok());
        let due = deadline.map_or(i64::MAX, |limit| accepted + limit * 1_000);
        // Costs are compared in thousandths, because a float can't be part of an ordered key.
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
        self.clear_job_timer(id);
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
        let resolution = Resolution::End(Phase::Cancelled, Reason::Cancelled);
        self.withdraw(now, id, resolution, out);
    }

    /// Withdraws a job in any stage: releases what is earmarked or held and stops what runs.
    pub(super) fn withdraw(
        &mut self,
        now: Duration,
        id: u32,
        resolution: Resolution,
        out: &mut Vec<Action>,
    ) {
        self.dequeue(id);
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(run) = &mut entry.run else {
            return self.resolve(now, id, resolution, out);
        };
        match run.stage {
            Stage::Earmarked { .. } => {
                self.drop_earmark(id);
                self.resolve(now, id, resolution, out);
            }
            Stage::Reserving => {
                self.drop_holds(id, out);
                self.resolve(now, id, resolution, out);
            }
            // Whether the start is recorded is not known yet; the run is withdrawn once it is.
            Stage::Recording => run.resolution = Some(resolution),
            Stage::Starting | Stage::Running | Stage::Adopting => {
                self.begin_stop(now, id, resolution, out);
            }
            Stage::Stopping { .. } => {
                if matches!(resolution, Resolution::End(..)) {
                    run.resolution = Some(resolution);
                }
            }
        }
    }

    /// Requeues or ends a job that has no run.
    pub(super) fn resolve(
        &mut self,
        _now: Duration,
        id: u32,
        resolution: Resolution,
        out: &mut Vec<Action>,
    ) {
        match resolution {
            Resolution::Requeue(reason) => {
                self.explain(id, reason, out);
                self.enqueue(id, out);
            }
            Resolution::End(phase, reason) => self.finish_job(id, phase, reason, out),
        }
    }

    /// Removes a job and records its end.
    pub(super) fn finish_job(
        &mut self,
        id: u32,
        phase: Phase,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        self.dequeue(id);
        self.clear_job_timer(id);
        let Some(entry) = self.jobs.remove(&id) else {
            return;
        };
        self.names.remove(&entry.name);
        if let Some(members) = self.jobs_by_workspace.get_mut(&entry.spec.workspace) {
            members.remove(&id);
        }
        self.outside_assignment.remove(&id);
        self.reservations.remove(&id);
        self.evacuations.remove(&(entry.key, id));
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
