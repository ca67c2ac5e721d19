//! Decisions of a scheduling round, as the decider's process reports them in its log and metrics.

use crate::id::{Epoch, Incarnation, JobId, Queue, Run, Task};
use crate::progress::{Crashes, Outcome};
use std::time::Duration;

/// Parts of an agent's report that explain a decision in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportSummary {
    /// Sequence number of the report.
    pub sequence: u64,
    /// Time since the report was received.
    pub age: Duration,
    /// Epoch up to which the agent had received directives when it reported.
    pub epoch: Epoch,
    /// Worker in the report, if any.
    pub worker: Option<Incarnation>,
}

/// Why a run may be stopped for another job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreemptionReason {
    /// The other job has a higher priority.
    Priority,
    /// The other job is within its workspace's guarantee, and the run is beyond that of its own workspace.
    Guarantee,
}

/// A decision that is reported in the process's log.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// A task was assigned to a worker.
    Placed {
        /// Task concerned.
        task: Task,
        /// Run number of the task.
        run: Run,
        /// Worker incarnation concerned.
        incarnation: Incarnation,
        /// Time since the job was accepted, as far as the decider knows.
        age: Duration,
        /// Run time of tasks on the worker relative to equal tasks elsewhere; 1 if unknown.
        slowdown: f64,
        /// Expected run time on that worker.
        expected: Duration,
    },
    /// A run ended.
    Ended {
        /// Task concerned.
        task: Task,
        /// Run number of the task.
        run: Run,
        /// Worker incarnation concerned.
        incarnation: Incarnation,
        /// How the run ended and what shows it; written to the log and to a metric label.
        how: &'static str,
        /// Newest report of the run's host when the run was found to have ended; `None` if there is none.
        report: Option<ReportSummary>,
    },
    /// An agent that was silent has shown how a run ended, or can't any more.
    Explained {
        /// Task concerned.
        task: Task,
        /// Run number of the task.
        run: Run,
        /// Worker incarnation concerned.
        incarnation: Incarnation,
        /// How the run ended, as in [`Decision::Ended`].
        how: &'static str,
    },
    /// A worker crashed under a run.
    Crashed {
        /// Task concerned.
        task: Task,
        /// Run number of the task.
        run: Run,
        /// Worker incarnation that crashed.
        incarnation: Incarnation,
        /// Whether no other job's task ran there.
        alone: bool,
        /// Whether the run had begun shortly before.
        prompt: bool,
        /// Crashes under the task so far.
        crashes: Crashes,
        /// Whether the job is given up.
        given_up: bool,
    },
    /// A run is stopped to free capacity for another job.
    Preempted {
        /// Task that is stopped.
        task: Task,
        /// Run number of the task.
        run: Run,
        /// Job that needs the capacity.
        by: JobId,
        /// Why that job may have it.
        reason: PreemptionReason,
    },
    /// A run without progress is stopped so that its task can restart elsewhere.
    Stalled {
        /// Task that is stopped.
        task: Task,
        /// Run number of the task.
        run: Run,
        /// Time without progress.
        stalled_for: Duration,
    },
    /// A run is stopped because it would outlast its worker, which is draining.
    Moved {
        /// Task that is stopped.
        task: Task,
        /// Run number of the task.
        run: Run,
        /// Predicted remaining run time.
        remaining: Duration,
    },
    /// A job ended.
    Finished {
        /// Job concerned.
        job: JobId,
        /// Final outcome.
        outcome: Outcome,
        /// Time since the job was accepted, as far as the decider knows.
        age: Duration,
    },
    /// A worker is quarantined: it gets no new tasks for some time.
    Quarantined {
        /// Worker incarnation concerned.
        incarnation: Incarnation,
        /// Number of jobs that failed there in a row; 0 if the worker refuses tasks.
        failures: usize,
        /// Length of the quarantine.
        duration: Duration,
    },
}

/// How far the run time of a completed run was from the expected one.
#[derive(Debug, Clone, PartialEq)]
pub struct RunTimeError {
    /// Queue of the job.
    pub queue: Queue,
    /// Logarithm of the actual over the expected run time.
    pub log_ratio: f64,
}
