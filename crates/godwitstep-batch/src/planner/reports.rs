//! The newest report of each agent, and what it shows about a run.
//!
//! Reports may arrive late and out of order, and an agent may have been replaced by another process on its host.
//! Only reports that carry this decider's epoch are used: they were sent after it took over, and their process
//! has received the reply to an earlier report. The processes of a host are ordered by their first report to this
//! decider: a process that carries its epoch was active after its first report had arrived, so a process that
//! first reported later replaced it.

use super::ReportSummary;
use super::crashes::PROMPT_AGE;
use crate::bounds::{Bounds, DECIDER_LEASE};
use crate::demand::Demand;
use crate::expectation::{self, Hardware};
use crate::id::{AgentProcess, Epoch, Host, Incarnation, Run, Task};
use crate::message::{
    EndReason, Ended, Reachability, Refusal, Report, Running, Worker, WorkerInfo,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Number of processes of an agent that are remembered. A report of a forgotten process would have to be delayed
/// by that many restarts.
const MAX_PROCESSES: usize = 16;
/// Age of a worker's newest report from which on the worker gets no new tasks.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// How a run ended, with the evidence for it.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum EndCause {
    /// The worker listed the end, with the newest checkpoint.
    Reported(EndReason, Arc<str>),
    /// The run never began.
    Refused(Refusal),
    /// The worker's lease ended while its agent could not reach it.
    LeaseExpired,
    /// Each other member of its gang ended because another one had ended before.
    BrokeGang,
    /// The worker deregistered or was replaced by another incarnation.
    WorkerGone,
    /// The agent was silent for longer than any lease lasts.
    AgentSilent,
    /// The worker crashed while the run was active, or may have been.
    WorkerCrashed(CrashEvidence),
}

/// What a crash of a worker shows about a run that it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CrashEvidence {
    /// Whether no other job's task was active.
    pub alone: bool,
    /// Whether the run had begun shortly before.
    pub prompt: bool,
}

impl EndCause {
    /// Returns whether the run can't start any more, even if the agent's process that reported this is replaced by one
    /// that finds an earlier decider, whose ledger still places the run. Only the agent's own promise does not outlast its
    /// process.
    const fn binds_next_process(&self) -> bool {
        !matches!(
            self,
            Self::LeaseExpired
                | Self::Refused(
                    Refusal::Unhealthy | Refusal::InsufficientCapacity | Refusal::Malformed
                )
        )
    }
}

#[derive(Debug)]
struct LatestReport {
    received_at: Duration,
    /// Since when each report has named this incarnation of the worker, or none. Starts anew after a report that was
    /// late, as the agent may have listed another one meanwhile.
    incarnation_since: Duration,
    /// Largest capacity, in each resource, that the reports have named for this incarnation in a row.
    full_capacity: Demand,
    /// Digest of the labels and of that capacity.
    hardware: Hardware,
    report: Report,
}

/// The newest report of each agent.
#[derive(Debug)]
pub(super) struct AgentReports {
    epoch: Epoch,
    hosts: BTreeMap<Host, LatestReport>,
    /// Processes of the agent of each host, in the order of their first reports, with their numbers.
    processes: BTreeMap<Host, VecDeque<(AgentProcess, u64)>>,
    /// Time from which the silence of an agent counts. Until then an earlier decider may have answered it.
    silence_counted_from: Duration,
    max_silence: Duration,
    /// Time after which the lease of a worker that its agent does not list has ended, including the delay of a report.
    max_unlisted_lease: Duration,
    /// Time after which a start that was sent to one incarnation of a worker can no longer be
    /// executed by the next one nor still run there.
    late_start_window: Duration,
}

impl AgentReports {
    pub fn new(epoch: Epoch, now: Duration, bounds: &Bounds) -> Self {
        Self {
            epoch,
            hosts: BTreeMap::new(),
            processes: BTreeMap::new(),
            silence_counted_from: now + DECIDER_LEASE,
            max_silence: bounds.agent_timeout(),
            max_unlisted_lease: bounds.max_lease_duration() + MAX_REPORT_AGE,
            late_start_window: bounds.late_start_window(),
        }
    }

    /// Stores a report and returns it if it is newer than the last one from that host.
    pub fn record(&mut self, now: Duration, report: Report) -> Option<&Report> {
        self.remember(&report);
        if !self.is_newer(&report) {
            return None;
        }
        let incarnation = |report: &Report| {
            report
                .worker
                .as_ref()
                .map(|worker| worker.info.incarnation.clone())
        };
        let incarnation_since = match self.hosts.get(&report.host) {
            Some(latest)
                if incarnation(&latest.report) == incarnation(&report)
                    && Self::is_fresh(now.saturating_sub(latest.received_at)) =>
            {
                latest.incarnation_since
            }
            _ => now,
        };
        let capacity = |report: &Report| {
            let worker = report.worker.as_ref();
            worker.map_or_else(Demand::default, |worker| worker.info.capacity)
        };
        let full_capacity = match self.hosts.get(&report.host) {
            Some(latest) if incarnation(&latest.report) == incarnation(&report) => {
                latest.full_capacity.component_max(&capacity(&report))
            }
            _ => capacity(&report),
        };
        let hardware = self.digest(&report, full_capacity);
        let latest = LatestReport {
            received_at: now,
            incarnation_since,
            full_capacity,
            hardware,
            report,
        };
        let host = latest.report.host.clone();
        self.hosts.insert(host.clone(), latest);
        self.get(&host)
    }

    /// Returns the digest of what the worker of a report provides, from the last report if that provided the same.
    fn digest(&self, report: &Report, full_capacity: Demand) -> Hardware {
        fn labels(report: &Report) -> &[Arc<str>] {
            let worker = report.worker.as_ref();
            worker.map_or(&[], |worker| &worker.info.labels)
        }
        match self.hosts.get(&report.host) {
            Some(latest)
                if latest.full_capacity == full_capacity
                    && labels(&latest.report) == labels(report) =>
            {
                latest.hardware
            }
            _ => expectation::hardware(&full_capacity, labels(report)),
        }
    }

    /// Remembers the process of an agent when it first reports.
    fn remember(&mut self, report: &Report) {
        let processes = self.processes.entry(report.host.clone()).or_default();
        let process = report.process();
        if processes.iter().any(|(known, _)| *known == process) {
            return;
        }
        let number = processes.back().map_or(1, |(_, last)| last + 1);
        let latest = self.hosts.get(&report.host);
        let current = latest.map(|latest| latest.report.process());
        if processes.len() == MAX_PROCESSES
            && let Some(oldest) = processes
                .iter()
                .position(|(known, _)| Some(*known) != current)
        {
            processes.remove(oldest);
        }
        processes.push_back((process, number));
    }

    /// Returns whether a report is newer than the stored one of its host, and not from before the take-over.
    fn is_newer(&self, report: &Report) -> bool {
        if !self.is_confirmed(report) {
            return false;
        }
        let Some(latest) = self.hosts.get(&report.host) else {
            return true;
        };
        let (current, process) = (latest.report.process(), report.process());
        if current == process {
            return report.sequence > latest.report.sequence;
        }
        self.process_number(&report.host, process) > self.process_number(&report.host, current)
    }

    /// Returns the number of a process of an agent, by the order of the first reports from 1; `None` if it is forgotten.
    pub fn process_number(&self, host: &Host, process: AgentProcess) -> Option<u64> {
        let mut processes = self.processes.get(host)?.iter();
        processes
            .find(|(known, _)| *known == process)
            .map(|(_, number)| *number)
    }

    /// Returns whether a report was sent after this decider took over and had replied to the process that sent it.
    const fn is_confirmed(&self, report: &Report) -> bool {
        report.epoch >= self.epoch
    }

    /// Returns the newest report of a host.
    pub fn get(&self, host: &str) -> Option<&Report> {
        self.hosts.get(host).map(|latest| &latest.report)
    }

    /// Returns a summary of the newest report of a host for the log.
    pub fn summary(&self, now: Duration, host: &str) -> Option<ReportSummary> {
        let latest = self.hosts.get(host)?;
        let worker = latest.report.worker.as_ref();
        Some(ReportSummary {
            sequence: latest.report.sequence,
            age: now.saturating_sub(latest.received_at),
            epoch: latest.report.epoch,
            worker: worker.map(|worker| worker.info.incarnation.clone()),
        })
    }

    /// Returns whether the agent of a host has been silent for so long that its last report does not show what runs there.
    pub fn is_silent(&self, now: Duration, host: &str) -> bool {
        match self.hosts.get(host) {
            Some(latest) => !Self::is_fresh(now.saturating_sub(latest.received_at)),
            None => now > self.silence_counted_from,
        }
    }

    /// Returns whether the newest report of its host names this incarnation of a worker.
    pub fn lists_worker(&self, incarnation: &Incarnation) -> bool {
        self.worker(incarnation).is_some()
    }

    /// Returns what the newest report of its host says of an incarnation of a worker, if it names it.
    fn worker(&self, incarnation: &Incarnation) -> Option<&Worker> {
        let worker = self.get(&incarnation.host)?.worker.as_ref()?;
        (worker.info.incarnation == *incarnation).then_some(worker)
    }

    /// Returns whether an incarnation of a worker is draining.
    pub fn is_draining(&self, incarnation: &Incarnation) -> bool {
        self.worker(incarnation)
            .is_some_and(|worker| worker.info.draining)
    }

    /// Returns the digest of what the worker on a host provides; 0 if there is none.
    pub fn hardware(&self, host: &str) -> Hardware {
        self.hosts.get(host).map_or(0, |latest| latest.hardware)
    }

    /// Returns the properties of an incarnation of a worker, if it is the one of the newest report.
    pub fn worker_info(&self, incarnation: &Incarnation) -> Option<&WorkerInfo> {
        self.worker(incarnation).map(|worker| &worker.info)
    }

    /// Returns the largest capacity that a worker has had in this decider's view: it may have shrunk for a while.
    pub fn full_capacity(&self, worker: &Worker) -> Demand {
        self.hosts
            .get(&worker.info.incarnation.host)
            .map_or(worker.info.capacity, |latest| latest.full_capacity)
    }

    /// Returns the reported workers with the age of their report.
    pub fn workers(&self, now: Duration) -> impl Iterator<Item = (Duration, &Worker)> {
        self.hosts.values().filter_map(move |latest| {
            let worker = latest.report.worker.as_ref()?;
            Some((now.saturating_sub(latest.received_at), worker))
        })
    }

    /// Returns the reported workers on which runs may still be active, with the age of their report. The others are lost,
    /// or belong to hosts that have been replaced.
    pub fn present_workers(&self, now: Duration) -> impl Iterator<Item = (Duration, &Worker)> {
        self.workers(now)
            .filter(|(age, _)| *age <= self.max_silence)
    }

    /// Returns whether a report of this age is recent enough for new tasks.
    pub fn is_fresh(age: Duration) -> bool {
        age < MAX_REPORT_AGE
    }

    /// Returns how a run on an incarnation of a worker ended, if it is known to have ended.
    pub fn end_cause(
        &self,
        now: Duration,
        incarnation: &Incarnation,
        task: Task,
        run: Run,
    ) -> Option<EndCause> {
        let Some(latest) = self.hosts.get(&incarnation.host) else {
            return (now > self.silence_counted_from + self.max_silence)
                .then_some(EndCause::AgentSilent);
        };
        let cause = match &latest.report.worker {
            Some(worker) if worker.info.incarnation == *incarnation => {
                reported_end(worker, task, run)
            }
            Some(worker) if worker.info.incarnation.worker == incarnation.worker => {
                self.end_cause_after_restart(latest, worker, task, run)
            }
            other => self.end_cause_of_absent(latest, other.as_ref(), incarnation),
        };
        let cause = cause.filter(|cause| {
            cause.binds_next_process() || latest.received_at >= self.silence_counted_from
        });
        // The agent's next process may not have known this decider yet and may have been answered by an earlier one.
        let silent_since = latest.received_at.max(self.silence_counted_from);
        let silent = now > silent_since + self.max_silence;
        match cause {
            Some(EndCause::WorkerGone | EndCause::LeaseExpired) => {
                let crash = crash_evidence(&latest.report, incarnation, task, run);
                crash.map(EndCause::WorkerCrashed).or(cause)
            }
            _ => cause.or(silent.then_some(EndCause::AgentSilent)),
        }
    }

    /// Returns whether the newest report lists a run as active on this incarnation of a worker.
    pub fn lists(&self, incarnation: &Incarnation, task: Task, run: Run) -> bool {
        let is_run = |listed_run: &Running| listed_run.task == task && listed_run.run == run;
        self.worker(incarnation)
            .is_some_and(|worker| worker.running.iter().any(is_run))
    }

    /// Returns whether a run that an incarnation of a worker has listed may still be active there.
    pub fn may_be_active(
        &self,
        now: Duration,
        incarnation: &Incarnation,
        task: Task,
        run: Run,
    ) -> bool {
        let Some(latest) = self.hosts.get(&incarnation.host) else {
            return false;
        };
        let silent_since = latest.received_at.max(self.silence_counted_from);
        if now > silent_since + self.max_silence {
            return false;
        }
        match &latest.report.worker {
            Some(worker) if worker.info.incarnation == *incarnation => {
                self.lists(incarnation, task, run)
                    && worker.reachability != Reachability::LeaseExpired
            }
            other => self
                .end_cause_of_absent(latest, other.as_ref(), incarnation)
                .is_none(),
        }
    }

    /// Returns how a run ended on an incarnation of a worker that its agent does not list any more.
    ///
    /// A registration of another worker does not show that this one is gone, but an answer of the other one does. The
    /// agent renews only the lease of the worker that it lists.
    fn end_cause_of_absent(
        &self,
        latest: &LatestReport,
        other: Option<&Worker>,
        incarnation: &Incarnation,
    ) -> Option<EndCause> {
        let deregistered = latest.report.deregistered.as_ref() == Some(incarnation);
        let replaced = other.is_some_and(|other| other.reachability != Reachability::Unknown);
        if deregistered || replaced {
            return Some(EndCause::WorkerGone);
        }
        (latest.listed_for() > self.max_unlisted_lease).then_some(EndCause::LeaseExpired)
    }

    /// Returns how a run ended on an incarnation of a worker that has restarted under the same name.
    ///
    /// The worker executes a start that was meant for its previous incarnation, even if it arrives late. The run is
    /// therefore over only once the new incarnation lists its end, or has received a stop for it and does not list
    /// it, or does not list it when such a start can't arrive any more. An incarnation that has not answered its
    /// agent holds no lease that the agent renewed.
    fn end_cause_after_restart(
        &self,
        latest: &LatestReport,
        worker: &Worker,
        task: Task,
        run: Run,
    ) -> Option<EndCause> {
        match reported_end(worker, task, run) {
            Some(EndCause::Reported(how, saved)) => return Some(EndCause::Reported(how, saved)),
            Some(_) => return Some(EndCause::WorkerGone),
            None => {}
        }
        let listed = worker
            .running
            .iter()
            .any(|listed_run| listed_run.task == task && listed_run.run == run);
        let current = matches!(
            worker.reachability,
            Reachability::Reachable | Reachability::Unknown
        );
        (!listed && current && latest.listed_for() > self.late_start_window)
            .then_some(EndCause::WorkerGone)
    }
}

impl LatestReport {
    /// Returns the time for which all reports have named the same incarnation of the worker, or none.
    const fn listed_for(&self) -> Duration {
        self.received_at.saturating_sub(self.incarnation_since)
    }
}

/// Returns what the crash of an incarnation shows about a run; `None` if it did not crash, or not under the run.
fn crash_evidence(
    report: &Report,
    incarnation: &Incarnation,
    task: Task,
    run: Run,
) -> Option<CrashEvidence> {
    let mut crashes = report.crashed.iter();
    let crash = crashes.find(|crash| crash.incarnation == *incarnation)?;
    let mut runs = crash.runs.iter();
    let crashed_run =
        runs.find(|crashed_run| (crashed_run.task, crashed_run.run) == (task, run))?;
    Some(CrashEvidence {
        alone: crash.runs.iter().all(|other| other.task.job == task.job),
        prompt: Duration::from_millis(crashed_run.age_ms) <= PROMPT_AGE,
    })
}

/// Returns how a run ended according to a report, if the report shows its end.
fn reported_end(worker: &Worker, task: Task, run: Run) -> Option<EndCause> {
    let matches_run = |end: &&Ended| end.task == task && end.run == run;
    if let Some(end) = worker.ended.iter().find(matches_run) {
        return Some(EndCause::Reported(end.how, end.saved.clone()));
    }
    let refused = worker
        .refused
        .iter()
        .find(|refused| refused.task == task && refused.run == run);
    if let Some(refused) = refused {
        return Some(EndCause::Refused(refused.reason));
    }
    (worker.reachability == Reachability::LeaseExpired).then_some(EndCause::LeaseExpired)
}
