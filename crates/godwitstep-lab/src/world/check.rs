//! What must hold from outside, whatever the policy and the agents do.

use super::World;
use super::agent::Task;
use super::job::Span;
use godwitstep_core::id::{Attempt, JobId};
use godwitstep_core::planner::End;
use godwitstep_core::resource::Phase;
use std::time::Duration;

/// Time after which nothing starts in a failure domain that was taken out of service.
const DOMAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time after which no task of a job starts once its cancellation was folded. The decider may take
/// 1.5 s to read it, is replaced within 8 s, and commits are on their way for less than 2 s.
const CANCEL_LIMIT: Duration = Duration::from_secs(15);

impl World {
    /// Checks a task that is about to start.
    pub(super) fn check_start(
        &mut self,
        at: usize,
        job: &JobId,
        attempt: Attempt,
        accelerators: u32,
    ) {
        let number = self.number(job);
        let now = self.now;
        let agent = &self.agents[at];
        let id = agent.worker.id.clone();
        let capacity = agent.worker.accelerators;
        let used = agent.used + accelerators;
        let out = self.out_since(&agent.worker.domain);
        let state = &self.jobs[number];
        let mut faults = Vec::new();
        if used > capacity {
            faults.push((
                "over_committed",
                format!("{used} of {capacity} accelerators of {id} run"),
            ));
        }
        if out.is_some_and(|since| now > since + DOMAIN_LIMIT) {
            faults.push((
                "domain_out",
                format!("{job} starts on {id}, out of service since {out:?}"),
            ));
        }
        let listed = state.parts.iter().find(|part| part.worker == id);
        let recorded = state.attempt == attempt
            && listed.is_some_and(|part| part.accelerators == accelerators);
        if state.attempt <= attempt && !recorded {
            faults.push((
                "not_as_recorded",
                format!("{job} run {attempt} starts on {id}, not as recorded"),
            ));
        }
        if state.phase == Phase::Cancelled {
            faults.push((
                "start_after_cancelled",
                format!("{job} starts on {id} although it is cancelled"),
            ));
        }
        if state
            .cancelled
            .is_some_and(|since| now > since + CANCEL_LIMIT)
        {
            faults.push((
                "late_start_of_cancelled",
                format!("{job} starts on {id} long after it was cancelled"),
            ));
        }
        let newest = state.runs.iter().filter(|seen| seen.started > 0);
        let newest = newest.map(|seen| seen.attempt).max().unwrap_or(0);
        if attempt < newest {
            faults.push((
                "attempt_order",
                format!("run {attempt} of {job} starts after run {newest}"),
            ));
        }
        let others = state.runs.iter().filter(|seen| seen.attempt != attempt);
        if !state.repeatable() && others.clone().any(|seen| seen.started > 0) {
            faults.push((
                "repeated",
                format!("{job} must not be repeated; run {attempt} on {id}"),
            ));
        }
        if !state.spec.idempotent && others.clone().any(|seen| seen.live > 0) {
            faults.push((
                "overlap",
                format!("run {attempt} of {job} overlaps another, on {id}"),
            ));
        }
        let mut others = others;
        let whole = others.any(|seen| seen.done > 0 && seen.done >= seen.parts);
        if !state.spec.idempotent && whole {
            faults.push((
                "completed_twice",
                format!("{job} has completed; run {attempt} starts on {id}"),
            ));
        }
        for (check, fault) in faults {
            self.fail(check, fault);
        }
    }

    /// Checks a command that tells a part that its whole gang runs.
    pub(super) fn check_settle(&mut self, epoch: u64, job: &JobId, attempt: Attempt) {
        let number = self.number(job);
        let (now, state) = (self.now, &mut self.jobs[number]);
        if state.attempt != attempt {
            return;
        }
        let parts = state.parts.len();
        let seen = state.seen(attempt);
        let started = seen.started;
        seen.settled.get_or_insert(now);
        if started < parts {
            let what =
                format!("epoch {epoch} settles {job} with {started} of {parts} parts started");
            self.fail("partial_gang", what);
        }
    }

    /// Counts what a task did when it ends.
    pub(super) fn count_work(&mut self, number: usize, attempt: Attempt, task: &Task, end: End) {
        let now = self.now;
        let state = &mut self.jobs[number];
        let seen = state.seen(attempt);
        seen.live -= 1;
        match end {
            End::Done => seen.done += 1,
            End::Checkpointed => seen.saved += 1,
            _ => {}
        }
        state.spans.push(Span {
            attempt,
            accelerators: task.accelerators,
            start: task.started,
            end: now,
            counts: false,
        });
    }

    /// Decides whether the work of a run that is over counts: it completed, or was saved in whole.
    pub(super) fn settle_work(&mut self, number: usize, attempt: Attempt) {
        let state = &mut self.jobs[number];
        let parts = state.parts.len();
        let seen = state.seen(attempt);
        let kept = seen.started == parts && seen.done + seen.saved == parts && parts > 0;
        let (saved, since) = (seen.saved > 0, seen.last_start);
        if !kept {
            return;
        }
        let mut end = since;
        for span in state
            .spans
            .iter_mut()
            .filter(|span| span.attempt == attempt)
        {
            span.counts = true;
            end = end.max(span.end);
        }
        if saved {
            state.saved += end.saturating_sub(since);
        }
    }

    /// Checks every accepted job at the end of a run that had time to finish them all.
    pub fn check_end(&mut self) {
        for number in self.active() {
            let state = &self.jobs[number];
            let known = self
                .deciders
                .last()
                .and_then(|decider| decider.policy.reason(&state.id));
            let message = format!(
                "{} is {:?} at the end, attempt {}, parts {:?}, told {:?}, known {known:?}, {:?}",
                state.id, state.phase, state.attempt, state.parts, state.reason, state.spec
            );
            self.fail("not_final", message);
        }
    }
}
