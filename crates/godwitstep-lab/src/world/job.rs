//! Jobs as recorded in the log, with what was observed of their runs on the workers.

use godwitstep_core::Reason;
use godwitstep_core::id::{Attempt, JobId};
use godwitstep_core::record::Part;
use godwitstep_core::resource::{Job as Spec, Phase};
use std::time::Duration;

/// What was observed of one run on the workers.
#[derive(Debug, Clone)]
pub struct Seen {
    pub attempt: Attempt,
    /// Number of parts that the log lists for it.
    pub parts: usize,
    /// Number of parts that have started.
    pub started: usize,
    /// Number of parts that run now.
    pub running: usize,
    /// Number of parts that completed.
    pub done: usize,
    /// Number of parts that saved their state before they stopped.
    pub checkpointed: usize,
    /// When the last part started.
    pub last_start: Duration,
    /// When a decider first settled a part of it.
    pub settled_at: Option<Duration>,
}

/// An accepted job.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: JobId,
    pub spec: Spec,
    /// Actual run time, which the policy does not know.
    pub run_time: Duration,
    /// Run time that was saved by checkpoints and is not repeated.
    pub checkpointed_work: Duration,
    /// Whether its tasks fail on every worker.
    pub always_fails: bool,
    pub phase: Phase,
    /// Number of the newest recorded run.
    pub attempt: Attempt,
    pub parts: Vec<Part>,
    pub accepted: Duration,
    /// When its cancellation was folded.
    pub cancelled: Option<Duration>,
    /// When the record of its end was folded.
    pub ended: Option<Duration>,
    pub reason: Reason,
    pub runs: Vec<Seen>,
    /// Work of all parts that have ended.
    pub spans: Vec<Span>,
}

/// The span during which one part ran.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    pub attempt: Attempt,
    pub accelerators: u32,
    pub start: Duration,
    pub end: Duration,
    /// Whether its work took effect: the whole run completed or was checkpointed.
    pub counts: bool,
}

impl Job {
    pub fn new(id: JobId, spec: Spec, run_time: Duration, accepted: Duration) -> Self {
        Self {
            id,
            spec,
            run_time,
            checkpointed_work: Duration::ZERO,
            always_fails: false,
            phase: Phase::Queued,
            attempt: 0,
            parts: Vec::new(),
            accepted,
            cancelled: None,
            ended: None,
            reason: Reason::Accepted,
            runs: Vec::new(),
            spans: Vec::new(),
        }
    }

    /// Returns the observations of a run, adding empty ones for a new run.
    pub fn run_mut(&mut self, attempt: Attempt) -> &mut Seen {
        let existing = self.runs.iter().position(|run| run.attempt == attempt);
        let index = existing.unwrap_or_else(|| {
            self.runs.push(Seen {
                attempt,
                parts: 0,
                started: 0,
                running: 0,
                done: 0,
                checkpointed: 0,
                last_start: Duration::ZERO,
                settled_at: None,
            });
            self.runs.len() - 1
        });
        &mut self.runs[index]
    }

    /// Returns whether the job may be started again after an interrupted run.
    pub const fn repeatable(&self) -> bool {
        self.spec.idempotent || self.spec.checkpointable
    }

    /// Returns when a gang of the job was first settled.
    pub fn first_settled(&self) -> Option<Duration> {
        self.runs.iter().filter_map(|run| run.settled_at).min()
    }

    /// Returns the earliest start of a part that has ended.
    pub fn first_start(&self) -> Option<Duration> {
        self.spans.iter().map(|span| span.start).min()
    }
}
