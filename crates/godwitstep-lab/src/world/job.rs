//! Jobs as the log knows them, and what was seen of their runs on the workers.

use godwitstep_core::Reason;
use godwitstep_core::id::{Attempt, JobId};
use godwitstep_core::record::Part;
use godwitstep_core::resource::{Job as Spec, Phase};
use std::time::Duration;

/// What the workers saw of one run.
#[derive(Debug, Clone)]
pub struct Seen {
    pub attempt: Attempt,
    /// Parts that the log lists for it.
    pub parts: usize,
    /// Parts that started, that run, that completed and that saved their state.
    pub started: usize,
    pub live: usize,
    pub done: usize,
    pub saved: usize,
    /// When the last part started.
    pub last_start: Duration,
    pub settled: Option<Duration>,
}

/// A job that was accepted.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: JobId,
    pub spec: Spec,
    /// True run time, unknown to the policy.
    pub run: Duration,
    /// Work that was saved by checkpoints.
    pub saved: Duration,
    /// Whether its tasks fail on every worker.
    pub fails: bool,
    pub phase: Phase,
    pub attempt: Attempt,
    pub parts: Vec<Part>,
    pub accepted: Duration,
    /// When its cancellation was folded.
    pub cancelled: Option<Duration>,
    pub ended: Option<Duration>,
    pub reason: Reason,
    pub runs: Vec<Seen>,
    /// Accelerator-seconds of each span of work, by its start and end, that may count in the end.
    pub spans: Vec<Span>,
}

/// Work done by one part.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    pub attempt: Attempt,
    pub accelerators: u32,
    pub start: Duration,
    pub end: Duration,
    pub counts: bool,
}

impl Job {
    pub fn new(id: JobId, spec: Spec, run: Duration, accepted: Duration) -> Self {
        Self {
            id,
            spec,
            run,
            saved: Duration::ZERO,
            fails: false,
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

    /// Returns what was seen of a run, an empty record if nothing was.
    pub fn seen(&mut self, attempt: Attempt) -> &mut Seen {
        let found = self.runs.iter().position(|seen| seen.attempt == attempt);
        let at = found.unwrap_or_else(|| {
            self.runs.push(Seen {
                attempt,
                parts: 0,
                started: 0,
                live: 0,
                done: 0,
                saved: 0,
                last_start: Duration::ZERO,
                settled: None,
            });
            self.runs.len() - 1
        });
        &mut self.runs[at]
    }

    /// Reports whether a run that was cut off may be started again.
    pub const fn repeatable(&self) -> bool {
        self.spec.idempotent || self.spec.checkpointable
    }

    /// Returns when its gang was settled for the first time.
    pub fn first_settled(&self) -> Option<Duration> {
        self.runs.iter().filter_map(|seen| seen.settled).min()
    }

    /// Returns when a task of it started for the first time.
    pub fn first_start(&self) -> Option<Duration> {
        self.spans.iter().map(|span| span.start).min()
    }
}
