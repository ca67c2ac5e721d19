//! Callers' requests: submitting a job, cancelling it and querying its state.

use super::Entry;
use super::writer::Error;
use crate::batch::log::Log;
use godwitstep_batch::access::MAX_JOBS_AGE;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::JobId;
use godwitstep_batch::job::Job;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::record::Record;
use smol::Timer;
use smol::future::FutureExt;
use std::sync::Arc;
use std::time::Duration;

/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which an append is retried that the log refuses. After that, callers reach another entry sooner than
/// a further retry would succeed.
const MAX_REFUSAL_RETRY: Duration = Duration::from_millis(400);
/// Time without a successful append, or age of the view of the log, above which submissions are refused at once.
const MAX_LOG_OUTAGE: Duration = Duration::from_millis(1_500);

/// Delay after which a caller that this entry cannot serve should retry. The load balancer takes an entry that is
/// not ready out of rotation after two checks a second apart; callers make few attempts, which have to outlast
/// that.
pub const CALLER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Outcome of a submission or a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request is stored.
    Stored,
    /// The job does not exist.
    Unknown,
    /// The request was not stored and will not be.
    Refused,
    /// It is not known in time whether the request is stored. The caller may send the same request again.
    InDoubt,
}

impl<L: Log> Entry<L> {
    /// Stores a job within `time`. Submitting a job again under the same name has no further effect.
    pub async fn submit(&self, job: Job, time: Duration) -> Verdict {
        let id = job.id;
        let summary = JobSummary::of(&job);
        if self.status(id).is_some() {
            return Verdict::Stored;
        }
        if self.log_is_failing() {
            tracing::info!(
                job = format_args!("{id:016x}"),
                "submission refused: the log does not answer"
            );
            return Verdict::Refused;
        }
        let verdict = self.store(Record::Submitted(job), time, || self.status(id).is_some());
        let verdict = verdict.await;
        tracing::info!(job = format_args!("{id:016x}"), verdict = ?verdict, queue = %summary.queue, priority = summary.priority, workspace = %summary.workspace, steps = summary.steps, tasks = summary.tasks, gang = summary.gang, one_rack = summary.one_rack, saves = summary.saves, cpu = summary.widest.cpu, accelerators = summary.widest.accelerators, chain_ms = summary.chain.as_millis(), objective_ms = summary.objective.as_millis(), "submission answered");
        metrics::counter!("godwitstep_submissions_total", "verdict" => verdict_label(verdict))
            .increment(1);
        verdict
    }

    /// Stores the cancellation of a job within `time`.
    pub async fn cancel(&self, id: JobId, time: Duration) -> Verdict {
        match self.status(id) {
            Some(Status::Ended(_)) => return Verdict::Stored,
            Some(Status::Queued | Status::Running) => {}
            None if self.has_current_jobs() => return Verdict::Unknown,
            None => {
                return Verdict::Refused;
            }
        }
        let visible = || matches!(self.status(id), Some(Status::Ended(_)));
        let verdict = self
            .store(Record::Cancelled { job: id }, time, visible)
            .await;
        tracing::info!(job = format_args!("{id:016x}"), verdict = ?verdict, "cancellation answered");
        verdict
    }

    /// Stores a record within `time`. `visible` returns whether the ledger already reflects it.
    async fn store(&self, record: Record, time: Duration, visible: impl Fn() -> bool) -> Verdict {
        let began = self.clock.now();
        let deadline = began + time;
        let mut in_doubt = false;
        loop {
            let left = deadline.saturating_sub(self.clock.now());
            let timeout = async {
                Timer::after(left).await;
                Err(Error::Unknown)
            };
            match self.writer.write(&record).or(timeout).await {
                Ok(()) => return Verdict::Stored,
                Err(Error::Refused) => {}
                Err(Error::Unknown) => in_doubt = true,
            }
            if visible() {
                return Verdict::Stored;
            }
            let now = self.clock.now();
            let refused_long = !in_doubt && now > began + MAX_REFUSAL_RETRY;
            if refused_long || now + RETRY_DELAY >= deadline {
                return if in_doubt {
                    Verdict::InDoubt
                } else {
                    Verdict::Refused
                };
            }
            Timer::after(RETRY_DELAY).await;
        }
    }

    fn log_is_failing(&self) -> bool {
        let stale = self.with_view(|view| view.jobs_age > MAX_LOG_OUTAGE);
        stale || self.writer.failing_for(self.clock.now()) > MAX_LOG_OUTAGE
    }

    /// Returns the state of a job, or `None` if the ledger does not hold it.
    #[must_use]
    pub fn status(&self, id: JobId) -> Option<Status> {
        self.state.borrow().ledger.status(id)
    }

    /// Returns whether the entry's view of the jobs is recent enough to report that a job does not exist.
    #[must_use]
    pub fn has_current_jobs(&self) -> bool {
        self.with_view(|view| view.jobs_age < MAX_JOBS_AGE)
    }

    /// Returns the number of jobs in a queue that have not started a task.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.state.borrow().ledger.pending(queue)
    }
}

/// Properties of a job that the log line of its submission shows.
struct JobSummary {
    queue: Arc<str>,
    priority: u8,
    workspace: Arc<str>,
    steps: usize,
    tasks: u32,
    gang: bool,
    one_rack: bool,
    saves: bool,
    /// Resources of one task of the step with the most cores per task.
    widest: Demand,
    chain: Duration,
    objective: Duration,
}

impl JobSummary {
    fn of(job: &Job) -> Self {
        let demands = job.steps.iter().map(|step| step.demand);
        let widest = demands.max_by(|a, b| a.cores().total_cmp(&b.cores()));
        Self {
            queue: job.queue.name.clone(),
            priority: job.queue.priority,
            workspace: job.workspace.clone().unwrap_or_else(|| "".into()),
            steps: job.steps.len(),
            tasks: job.steps.iter().map(|step| u32::from(step.tasks)).sum(),
            gang: job.steps.iter().any(|step| step.gang),
            one_rack: job.steps.iter().any(|step| step.one_rack),
            saves: job.steps.iter().all(|step| step.checkpointable),
            widest: widest.unwrap_or_default(),
            chain: job.critical_path(),
            objective: job.objective(),
        }
    }
}

const fn verdict_label(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Stored => "stored",
        Verdict::Unknown => "unknown",
        Verdict::Refused => "refused",
        Verdict::InDoubt => "in_doubt",
    }
}
