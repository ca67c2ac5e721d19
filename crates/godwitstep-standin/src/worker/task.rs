//! One task of a worker.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// State of a task as listed at `GET /tasks`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It runs.
    Running,
    /// It ran to its end.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, by a caller or because the lease lapsed.
    Stopped,
    /// It was stopped after its progress had been saved.
    Checkpointed,
}

/// How a task ended, as kept in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// It ran to its end.
    Done,
    /// It failed.
    Failed,
    /// A caller stopped it.
    Stopped,
    /// A caller had it save its progress and stop.
    Checkpointed,
    /// The lease it ran under lapsed.
    Lapsed,
}

impl From<How> for Phase {
    fn from(how: How) -> Self {
        match how {
            How::Done => Self::Done,
            How::Failed => Self::Failed,
            How::Stopped | How::Lapsed => Self::Stopped,
            How::Checkpointed => Self::Checkpointed,
        }
    }
}

/// A task to start, as in the body of `POST /tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The lease to run under.
    pub lease: u64,
    /// Name; unique among the tasks that the worker lists.
    pub task: String,
    /// Accelerators that it occupies.
    pub accelerators: u32,
    /// Run time at full speed.
    pub run_ms: u64,
    /// Progress to start from, as saved by a checkpoint.
    #[serde(default)]
    pub from_ms: u64,
}

/// A task and its progress.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) accelerators: u32,
    pub(super) phase: Phase,
    /// Number of its entry in the ledger.
    pub(super) entry: u64,
    /// Run time at full speed.
    run: Duration,
    /// Progress at `since`.
    progress: Duration,
    since: Instant,
    /// Progress for each unit of time; 0 while a checkpoint is taken.
    speed: f64,
    /// What ends the task if its run time does not end it first.
    cut: Option<(Instant, How)>,
}

impl Task {
    pub(super) fn new(spec: &Spec, entry: u64, now: Instant) -> Self {
        Self {
            accelerators: spec.accelerators,
            phase: Phase::Running,
            entry,
            run: Duration::from_millis(spec.run_ms),
            progress: Duration::from_millis(spec.from_ms.min(spec.run_ms)),
            since: now,
            speed: 1.0,
            cut: None,
        }
    }

    pub(super) fn progress(&self, now: Instant) -> Duration {
        if self.phase != Phase::Running {
            return self.progress;
        }
        let more = now.saturating_duration_since(self.since);
        (self.progress + more.mul_f64(self.speed)).min(self.run)
    }

    /// Changes the speed from now on.
    pub(super) fn set_speed(&mut self, speed: f64, now: Instant) {
        self.progress = self.progress(now);
        self.since = now;
        self.speed = speed;
    }

    /// Ends the task at a later time, unless an earlier end is set already.
    pub(super) fn cut(&mut self, at: Instant, how: How) {
        if self.cut.is_none_or(|(earlier, _)| at < earlier) {
            self.cut = Some((at, how));
        }
    }

    /// Marks the task as ended.
    pub(super) fn end(&mut self, how: How, now: Instant) {
        self.progress = self.progress(now);
        self.phase = how.into();
    }

    /// Returns when and how the running task ends if nothing else happens.
    pub(super) fn due(&self) -> Option<(Instant, How)> {
        if self.phase != Phase::Running {
            return None;
        }
        let left = self.run.saturating_sub(self.progress);
        let done = (self.speed > 0.0)
            .then(|| Duration::try_from_secs_f64(left.as_secs_f64() / self.speed).ok())
            .flatten()
            .and_then(|left| self.since.checked_add(left))
            .map(|at| (at, How::Done));
        done.into_iter().chain(self.cut).min_by_key(|(at, _)| *at)
    }
}
