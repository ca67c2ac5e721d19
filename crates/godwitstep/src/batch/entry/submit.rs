//! Callers' requests: submitting a job, cancelling it and querying its status.

use super::Entry;
use super::writer::Error;
use crate::batch::log::{Item, Log, ReadError, Stream};
use godwitstep_batch::access::{MAX_COUNT_AGE, MAX_JOBS_AGE};
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::{JobId, Offset};
use godwitstep_batch::job::Job;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::record::{Record, submitted_key};
use smol::Timer;
use smol::future::FutureExt;
use std::sync::Arc;
use std::time::Duration;

/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which an append that the log refuses is retried. After that, the caller's request succeeds sooner at
/// another entry.
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
    /// The job is too large to be stored.
    TooLarge,
    /// It is not known in time whether the request is stored. The caller may send the same request again.
    InDoubt,
}

impl<L: Log> Entry<L> {
    /// Stores a job within `time_limit`. Submitting a job again under the same identifier has no further effect.
    pub async fn submit(&self, job: Job, time_limit: Duration) -> Verdict {
        let id = job.id;
        let summary = JobSummary::new(&job);
        if self.status(id).is_some() {
            return Verdict::Stored;
        }
        let repeated = self.may_be_stored(id);
        // Only a job of which no attempt may be stored can be refused: a refusal says that it never runs.
        let refusal = if repeated {
            Verdict::InDoubt
        } else {
            Verdict::Refused
        };
        if self.log_is_failing() {
            tracing::info!(
                job = format_args!("{id:016x}"),
                repeated,
                "submission not stored: the log does not answer"
            );
            return refusal;
        }
        if !repeated && !self.reserve(&job) {
            return refusal;
        }
        let record = Item::from(&Record::Submitted(job));
        let size = record.record_size();
        let verdict = if size > self.settings.sizes.record_bytes {
            Verdict::TooLarge
        } else {
            let visible = || self.status(id).is_some();
            self.store(record, time_limit, visible).await
        };
        let verdict = match verdict {
            Verdict::Refused => refusal,
            verdict => verdict,
        };
        if matches!(verdict, Verdict::Refused | Verdict::TooLarge) {
            self.release(id);
        }
        tracing::info!(job = format_args!("{id:016x}"), verdict = ?verdict, size, queue = %summary.queue, priority = summary.priority, workspace = %summary.workspace, steps = summary.steps, tasks = summary.tasks, gang = summary.gang, one_rack = summary.one_rack, saves = summary.checkpointable, cpu = summary.largest_task.cpu, accelerators = summary.largest_task.accelerators, chain_ms = summary.critical_path.as_millis(), objective_ms = summary.objective.as_millis(), "submission answered");
        metrics::counter!("godwitstep_submissions_total", "verdict" => verdict_label(verdict))
            .increment(1);
        verdict
    }

    /// Stores the cancellation of a job within `time_limit`, whether the job is known or not: another entry or the log may
    /// hold its submission, which is then cancelled when it is stored. Callers take the answer that the job does not exist
    /// for its end, so this answer rests on a read of the log that was sent after the cancellation was stored.
    pub async fn cancel(&self, id: JobId, time_limit: Duration) -> Verdict {
        let deadline = self.clock.now() + time_limit;
        let cancelled = || self.state.borrow().ledger.is_cancelled(id);
        let verdict = if cancelled() {
            Verdict::Stored
        } else if self.status(id).is_none() && !self.admits_cancellation() {
            return Verdict::Refused;
        } else {
            let record = Item::from(&Record::Cancelled { job: id });
            self.store(record, time_limit, cancelled).await
        };
        let remaining = deadline.saturating_sub(self.clock.now());
        let unknown = verdict == Verdict::Stored && !self.may_exist(id, remaining).await;
        let verdict = if unknown { Verdict::Unknown } else { verdict };
        tracing::info!(job = format_args!("{id:016x}"), verdict = ?verdict, "cancellation answered");
        verdict
    }

    /// Returns whether a job is known, or can't be ruled out within `time_limit`.
    async fn may_exist(&self, id: JobId, time_limit: Duration) -> bool {
        if self.status(id).is_some() {
            return true;
        }
        let submitted = async { self.is_submitted(id).await != Some(false) };
        let timeout = async {
            Timer::after(time_limit).await;
            true
        };
        submitted.or(timeout).await
    }

    /// Returns whether the part of the log that the ledger does not include yet holds the submission of a job. Returns
    /// `None` if it could not be read up to its end.
    async fn is_submitted(&self, id: JobId) -> Option<bool> {
        let from = self.state.borrow().records_end;
        let page = match self.log.read(Stream::Records, from, Duration::ZERO).await {
            Ok(page) => page,
            // The partition is still empty.
            Err(ReadError::Expired { start: 0 }) => return Some(false),
            Err(_) => self.read_from_peer(Stream::Records, from).await?,
        };
        let key = submitted_key(id);
        let mut items = page.items.iter().flatten();
        let submitted = items.any(|item| item.key == key && !item.value.is_empty());
        let complete = from + page.items.len() as Offset >= page.end;
        (submitted || complete).then_some(submitted)
    }

    /// Stores a record within `time_limit`. `visible` returns whether the ledger already reflects it.
    async fn store(
        &self,
        record: Item,
        time_limit: Duration,
        visible: impl Fn() -> bool,
    ) -> Verdict {
        let started_at = self.clock.now();
        let deadline = started_at + time_limit;
        let mut in_doubt = false;
        loop {
            let remaining = deadline.saturating_sub(self.clock.now());
            let timeout = async {
                Timer::after(remaining).await;
                Err(Error::Unknown)
            };
            match self.writer.write(&record).or(timeout).await {
                Ok(()) => return Verdict::Stored,
                Err(Error::Refused) => {}
                Err(Error::Invalid) => return Verdict::TooLarge,
                Err(Error::Full) if in_doubt => return Verdict::InDoubt,
                Err(Error::Full) => return Verdict::Refused,
                Err(Error::Unknown) => in_doubt = true,
            }
            if visible() {
                return Verdict::Stored;
            }
            let now = self.clock.now();
            let refused_long = !in_doubt && now > started_at + MAX_REFUSAL_RETRY;
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

    /// Returns whether no read, or no append by this entry, has succeeded for longer than [`MAX_LOG_OUTAGE`].
    fn log_is_failing(&self) -> bool {
        let stale = self.with_view(|view| view.jobs_age > MAX_LOG_OUTAGE);
        stale || self.writer.failing_for(self.clock.now()) > MAX_LOG_OUTAGE
    }

    /// Returns the status of a job, or `None` if the ledger does not contain it.
    #[must_use]
    pub fn status(&self, id: JobId) -> Option<Status> {
        self.state.borrow().ledger.status(id)
    }

    /// Returns whether the entry's view of the jobs is recent enough to report that a job does not exist.
    #[must_use]
    pub fn has_current_jobs(&self) -> bool {
        self.with_view(|view| view.jobs_age < MAX_JOBS_AGE)
    }

    /// Returns the number of jobs in a queue of which no task has begun yet, or `None` if the entry's view of the jobs is too
    /// old to tell.
    #[must_use]
    pub fn pending(&self, queue: &str) -> Option<usize> {
        let current = self.with_view(|view| view.jobs_age < MAX_COUNT_AGE);
        current.then(|| self.state.borrow().ledger.pending(queue))
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
    checkpointable: bool,
    /// Resources of one task of the step with the most cores per task.
    largest_task: Demand,
    critical_path: Duration,
    objective: Duration,
}

impl JobSummary {
    fn new(job: &Job) -> Self {
        let demands = job.steps.iter().map(|step| step.demand);
        let largest_task = demands.max_by(|a, b| a.cores().total_cmp(&b.cores()));
        Self {
            queue: job.queue.name.clone(),
            priority: job.queue.priority,
            workspace: job.workspace.clone().unwrap_or_else(|| "".into()),
            steps: job.steps.len(),
            tasks: job.steps.iter().map(|step| u32::from(step.tasks)).sum(),
            gang: job.steps.iter().any(|step| step.gang),
            one_rack: job.steps.iter().any(|step| step.one_rack),
            checkpointable: job.steps.iter().all(|step| step.checkpointable),
            largest_task: largest_task.unwrap_or_default(),
            critical_path: job.critical_path(),
            objective: job.objective(),
        }
    }
}

const fn verdict_label(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Stored => "stored",
        Verdict::Unknown => "unknown",
        Verdict::Refused => "refused",
        Verdict::TooLarge => "too_large",
        Verdict::InDoubt => "in_doubt",
    }
}
