//! What callers ask: to run a job, to cancel it, how it stands.

use super::Entry;
use super::writer::Error;
use crate::batch::log::Log;
use godwitstep_batch::access::JOBS_LIFE;
use godwitstep_batch::demand::Demand;
use godwitstep_batch::id::JobId;
use godwitstep_batch::job::Job;
use godwitstep_batch::ledger::Status;
use godwitstep_batch::record::Record;
use smol::Timer;
use smol::future::FutureExt;
use std::sync::Arc;
use std::time::Duration;

/// Pause after an append that the log refused.
const RETRY: Duration = Duration::from_millis(100);
/// Time for which an append is repeated that the log refuses; callers reach another entry sooner.
const REFUSED_TIME: Duration = Duration::from_millis(400);
/// Time without a stored append, or age of the view of the log, at which new work is refused at once.
const LOG_FAILING: Duration = Duration::from_millis(1_500);

/// When a caller should come back whom this entry can't serve. The balancer takes an entry that is not ready out of
/// rotation after two looks a second apart, so the attempts of a caller, which are few, outlast that.
pub const COME_BACK: Duration = Duration::from_secs(1);

/// Answer to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is stored.
    Stored,
    /// There is no such job.
    Unknown,
    /// It was not stored and never will be by this request.
    Refused,
    /// It can't be told in time whether it is stored; the same request may be sent again.
    InDoubt,
}

impl<L: Log> Entry<L> {
    /// Accepts a job: stores it, within `time`. The same name is always one job.
    pub async fn submit(&self, job: Job, time: Duration) -> Verdict {
        let id = job.id;
        let about = About::of(&job);
        if self.status(id).is_some() {
            return Verdict::Stored;
        }
        if self.log_fails() {
            tracing::info!(
                job = format_args!("{id:016x}"),
                "submission refused: the log does not answer"
            );
            return Verdict::Refused;
        }
        let verdict = self.store(Record::Submitted(job), time, || self.status(id).is_some());
        let verdict = verdict.await;
        tracing::info!(job = format_args!("{id:016x}"), verdict = ?verdict, queue = %about.queue, priority = about.priority, workspace = %about.workspace, steps = about.steps, tasks = about.tasks, gang = about.gang, one_rack = about.one_rack, saves = about.saves, cpu = about.widest.cpu, accelerators = about.widest.accelerators, chain_ms = about.chain.as_millis(), objective_ms = about.objective.as_millis(), "submission answered");
        metrics::counter!("godwitstep_submissions_total", "verdict" => name(verdict)).increment(1);
        verdict
    }

    /// Cancels a job within `time`.
    pub async fn cancel(&self, id: JobId, time: Duration) -> Verdict {
        match self.status(id) {
            Some(Status::Ended(_)) => return Verdict::Stored,
            Some(Status::Queued | Status::Running) => {}
            None if self.knows_jobs() => return Verdict::Unknown,
            None => {
                return Verdict::Refused;
            }
        }
        let cancelled = || matches!(self.status(id), Some(Status::Ended(_)));
        let verdict = self
            .store(Record::Cancelled { job: id }, time, cancelled)
            .await;
        tracing::info!(job = format_args!("{id:016x}"), verdict = ?verdict, "cancellation answered");
        verdict
    }

    /// Stores a record; `there` tells whether the log shows it already.
    async fn store(&self, record: Record, time: Duration, there: impl Fn() -> bool) -> Verdict {
        let began = self.clock.now();
        let limit = began + time;
        let mut doubt = false;
        loop {
            let left = limit.saturating_sub(self.clock.now());
            let timeout = async {
                Timer::after(left).await;
                Err(Error::Unknown)
            };
            match self.writer.write(&record).or(timeout).await {
                Ok(()) => return Verdict::Stored,
                Err(Error::Refused) => {}
                Err(Error::Unknown) => doubt = true,
            }
            if there() {
                return Verdict::Stored;
            }
            let now = self.clock.now();
            let refused_long = !doubt && now > began + REFUSED_TIME;
            if refused_long || now + RETRY >= limit {
                return if doubt {
                    Verdict::InDoubt
                } else {
                    Verdict::Refused
                };
            }
            Timer::after(RETRY).await;
        }
    }

    fn log_fails(&self) -> bool {
        let unread = self.with_view(|view| view.jobs_age > LOG_FAILING);
        unread || self.writer.failing(self.clock.now()) > LOG_FAILING
    }

    /// Returns the state of a job.
    #[must_use]
    pub fn status(&self, id: JobId) -> Option<Status> {
        self.state.borrow().ledger.status(id)
    }

    /// Tells whether the entry's view of the jobs is new enough to say that one does not exist.
    #[must_use]
    pub fn knows_jobs(&self) -> bool {
        self.with_view(|view| view.jobs_age < JOBS_LIFE)
    }

    /// Returns how many jobs of a queue wait for their first task.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.state.borrow().ledger.pending(queue)
    }
}

/// What the log line of a submission tells of the job.
struct About {
    queue: Arc<str>,
    priority: u8,
    workspace: Arc<str>,
    steps: usize,
    tasks: u32,
    gang: bool,
    one_rack: bool,
    saves: bool,
    /// What one task of the step with the largest tasks takes.
    widest: Demand,
    chain: Duration,
    objective: Duration,
}

impl About {
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
            saves: job.steps.iter().all(|step| step.saves),
            widest: widest.unwrap_or_default(),
            chain: job.chain(),
            objective: job.objective(),
        }
    }
}

const fn name(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Stored => "stored",
        Verdict::Unknown => "unknown",
        Verdict::Refused => "refused",
        Verdict::InDoubt => "in_doubt",
    }
}
