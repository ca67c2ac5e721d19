//! A task of a worker, and its progress.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// State of a task as listed at `GET /tasks`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task runs.
    Running,
    /// The task ran to completion.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped by a caller or because the lease lapsed.
    Stopped,
    /// The task was stopped after its progress had been saved.
    Checkpointed,
}

/// Why a task ended, as recorded in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The task ran to completion.
    Done,
    /// The task failed.
    Failed,
    /// A caller stopped the task.
    Stopped,
    /// A caller requested a checkpoint, after which the task stopped.
    Checkpointed,
    /// The lease that the task ran under lapsed.
    Lapsed,
}

impl From<EndReason> for TaskState {
    fn from(reason: EndReason) -> Self {
        match reason {
            EndReason::Done => Self::Done,
            EndReason::Failed => Self::Failed,
            EndReason::Stopped | EndReason::Lapsed => Self::Stopped,
            EndReason::Checkpointed => Self::Checkpointed,
        }
    }
}

/// Specification of a task to start, as in the body of `POST /tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Number of the lease to run under.
    pub lease: u64,
    /// Name of the task, unique among the tasks that the worker lists.
    pub task: String,
    /// Number of accelerators that the task occupies.
    pub accelerators: u32,
    /// Run time at full speed. Unit: milliseconds.
    pub run_ms: u64,
    /// Progress to start from, as saved by a checkpoint. Unit: milliseconds of run time at full
    /// speed.
    #[serde(default)]
    pub from_ms: u64,
}

/// A task that was started.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) accelerators: u32,
    pub(super) state: TaskState,
    /// Number of the task's entry in the ledger.
    pub(super) ledger_entry: u64,
    /// Run time at full speed.
    run_time: Duration,
    /// Progress at `progress_time`, as run time at full speed.
    progress: Duration,
    progress_time: Instant,
    /// Progress per unit of time: 1 at full speed, 0 while a checkpoint is taken.
    speed: f64,
    /// When and why the task ends unless it runs to completion before.
    scheduled_end: Option<(Instant, EndReason)>,
}

impl Task {
    pub(super) fn new(spec: &Spec, ledger_entry: u64, now: Instant) -> Self {
        Self {
            accelerators: spec.accelerators,
            state: TaskState::Running,
            ledger_entry,
            run_time: Duration::from_millis(spec.run_ms),
            progress: Duration::from_millis(spec.from_ms.min(spec.run_ms)),
            progress_time: now,
            speed: 1.0,
            scheduled_end: None,
        }
    }

    pub(super) fn progress(&self, now: Instant) -> Duration {
        if self.state != TaskState::Running {
            return self.progress;
        }
        let elapsed = now.saturating_duration_since(self.progress_time);
        (self.progress + elapsed.mul_f64(self.speed)).min(self.run_time)
    }

    /// Changes the speed from `now` on.
    pub(super) fn set_speed(&mut self, speed: f64, now: Instant) {
        self.progress = self.progress(now);
        self.progress_time = now;
        self.speed = speed;
    }

    /// Schedules the end of the task, unless an earlier one is scheduled already.
    pub(super) fn schedule_end(&mut self, at: Instant, reason: EndReason) {
        if self.scheduled_end.is_none_or(|(earlier, _)| at < earlier) {
            self.scheduled_end = Some((at, reason));
        }
    }

    /// Marks the task as ended and fixes its progress.
    pub(super) fn end(&mut self, reason: EndReason, now: Instant) {
        self.progress = self.progress(now);
        self.state = reason.into();
    }

    /// Returns when and why the task will end if it is not changed before, or `None` if it has
    /// ended or will not end by itself.
    pub(super) fn next_end(&self) -> Option<(Instant, EndReason)> {
        if self.state != TaskState::Running {
            return None;
        }
        let remaining = self.run_time.saturating_sub(self.progress);
        let completion = (self.speed > 0.0)
            .then(|| Duration::try_from_secs_f64(remaining.as_secs_f64() / self.speed).ok())
            .flatten()
            .and_then(|time| self.progress_time.checked_add(time))
            .map(|at| (at, EndReason::Done));
        completion
            .into_iter()
            .chain(self.scheduled_end)
            .min_by_key(|(at, _)| *at)
    }
}
