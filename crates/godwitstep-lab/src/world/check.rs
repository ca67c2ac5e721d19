//! Invariants that are observable from outside the policy and the agents, and accounting of work.

use super::World;
use super::agent::RunningPart;
use super::job::Span;
use godwitstep_core::id::{Attempt, JobId};
use godwitstep_core::planner::End;
use godwitstep_core::resource::Phase;
use std::time::Duration;

/// Time after which no part may start in a failure domain that was taken out of service.
const DOMAIN_OUT_GRACE: Duration = Duration::from_secs(2);
/// Time after which no part of a job may start once its cancellation was folded. The decider may take
/// 1.5 s to read it, is replaced within 8 s, and commits are in transit for less than 2 s.
const CANCELLATION_GRACE: Duration = Duration::from_secs(15);

impl World {
    /// Checks a part that is about to start.
    pub(super) fn check_start(
        &mut self,
        agent_index: usize,
        job: &JobId,
        attempt: Attempt,
        accelerators: u32,
    ) {
        let number = self.job_number(job);
        let now = self.now;
        let agent = &self.agents[agent_index];
        let id = agent.worker.id.clone();
        let capacity = agent.worker.accelerators;
        let used = agent.used + accelerators;
        let out = self.out_since(&agent.worker.domain);
        let state = &self.jobs[number];
        let mut failures = Vec::new();
        if used > capacity {
            failures.push((
                "over_committed",
                format!("{used} of {capacity} accelerators of {id} are in use"),
            ));
        }
        if out.is_some_and(|since| now > since + DOMAIN_OUT_GRACE) {
            failures.push((
                "domain_out",
                format!(
                    "{job} starts on {id}, whose failure domain is out of service since {out:?}"
                ),
            ));
        }
        let recorded_part = state.parts.iter().find(|part| part.worker == id);
        let as_recorded = state.attempt == attempt
            && recorded_part.is_some_and(|part| part.accelerators == accelerators);
        if state.attempt <= attempt && !as_recorded {
            failures.push((
                "not_as_recorded",
                format!("run {attempt} of {job} starts on {id}, not as recorded"),
            ));
        }
        if state.phase == Phase::Cancelled {
            failures.push((
                "start_after_cancelled",
                format!("{job} starts on {id} although it is cancelled"),
            ));
        }
        if state
            .cancelled
            .is_some_and(|since| now > since + CANCELLATION_GRACE)
        {
            failures.push((
                "late_start_of_cancelled",
                format!("{job} starts on {id} long after it was cancelled"),
            ));
        }
        let started_runs = state.runs.iter().filter(|run| run.started > 0);
        let newest = started_runs.map(|run| run.attempt).max().unwrap_or(0);
        if attempt < newest {
            failures.push((
                "attempt_order",
                format!("run {attempt} of {job} starts after run {newest}"),
            ));
        }
        let others = state.runs.iter().filter(|run| run.attempt != attempt);
        if !state.repeatable() && others.clone().any(|run| run.started > 0) {
            failures.push((
                "repeated",
                format!("{job} must not be repeated, but run {attempt} starts on {id}"),
            ));
        }
        if !state.spec.idempotent && others.clone().any(|run| run.running > 0) {
            failures.push((
                "overlap",
                format!("run {attempt} of {job} starts on {id} while another run is active"),
            ));
        }
        let mut others = others;
        let completed = others.any(|run| run.done > 0 && run.done >= run.parts);
        if !state.spec.idempotent && completed {
            failures.push((
                "completed_twice",
                format!("{job} has completed, but run {attempt} starts on {id}"),
            ));
        }
        for (check, what) in failures {
            self.record_violation(check, what);
        }
    }

    /// Checks that the whole gang has started when a decider settles one of its parts.
    pub(super) fn check_settle(&mut self, epoch: u64, job: &JobId, attempt: Attempt) {
        let number = self.job_number(job);
        let (now, state) = (self.now, &mut self.jobs[number]);
        if state.attempt != attempt {
            return;
        }
        let parts = state.parts.len();
        let run = state.run_mut(attempt);
        let started = run.started;
        run.settled_at.get_or_insert(now);
        if started < parts {
            let what =
                format!("epoch {epoch} settles {job} with {started} of {parts} parts started");
            self.record_violation("partial_gang", what);
        }
    }

    /// Records the end of a part and the span of its work.
    pub(super) fn record_part_end(
        &mut self,
        number: usize,
        attempt: Attempt,
        part: &RunningPart,
        end: End,
    ) {
        let now = self.now;
        let state = &mut self.jobs[number];
        let run = state.run_mut(attempt);
        run.running -= 1;
        match end {
            End::Done => run.done += 1,
            End::Checkpointed => run.checkpointed += 1,
            _ => {}
        }
        state.spans.push(Span {
            attempt,
            accelerators: part.accelerators,
            start: part.started,
            end: now,
            counts: false,
        });
    }

    /// Counts the work of an ended run if all its parts completed or saved their state.
    pub(super) fn credit_work(&mut self, number: usize, attempt: Attempt) {
        let state = &mut self.jobs[number];
        let parts = state.parts.len();
        let run = state.run_mut(attempt);
        let credited = run.started == parts && run.done + run.checkpointed == parts && parts > 0;
        let (checkpointed, last_start) = (run.checkpointed > 0, run.last_start);
        if !credited {
            return;
        }
        let mut end = last_start;
        for span in state
            .spans
            .iter_mut()
            .filter(|span| span.attempt == attempt)
        {
            span.counts = true;
            end = end.max(span.end);
        }
        if checkpointed {
            state.checkpointed_work += end.saturating_sub(last_start);
        }
    }

    /// Checks that every accepted job is final, at the end of a simulation that had time to finish
    /// them all.
    pub fn check_end(&mut self) {
        for number in self.active() {
            let state = &self.jobs[number];
            let policy_reason = self
                .deciders
                .last()
                .and_then(|decider| decider.policy.reason(&state.id));
            let message = format!(
                "{} is {:?} at the end, attempt {}, parts {:?}, reason {:?}, policy reason {policy_reason:?}, \
                 {:?}",
                state.id, state.phase, state.attempt, state.parts, state.reason, state.spec
            );
            self.record_violation("not_final", message);
        }
    }
}
