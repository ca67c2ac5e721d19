//! The newest report of each agent, and what it shows about a run.

use super::ReportSummary;
use crate::bounds::{Bounds, DECIDER_LEASE};
use crate::id::{Epoch, Host, Incarnation, Run, Task};
use crate::message::{EndReason, Ended, Reachability, Refusal, Report, Worker};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

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
    /// Other members of its gang ended after the gang had run, which ends all members.
    GangEnded,
    /// The worker deregistered or was replaced by another incarnation.
    WorkerGone,
    /// The agent was silent for longer than any lease lasts.
    AgentSilent,
}

#[derive(Debug)]
struct LatestReport {
    received_at: Duration,
    /// When the worker's current incarnation was first reported.
    incarnation_since: Duration,
    report: Report,
}

/// The newest report of each agent.
#[derive(Debug)]
pub(super) struct AgentReports {
    hosts: BTreeMap<Host, LatestReport>,
    /// Epoch of the decider.
    epoch: Epoch,
    /// Time from which the silence of an agent counts that has received no directive of this decider.
    /// Until then an earlier decider may have answered it, also after a report to this one.
    silence_counted_from: Duration,
    max_silence: Duration,
    /// Time after which a start that was sent to one incarnation of a worker can no longer be
    /// executed by the next one nor still run there.
    late_start_window: Duration,
}

impl AgentReports {
    pub fn new(epoch: Epoch, now: Duration, bounds: &Bounds) -> Self {
        Self {
            epoch,
            hosts: BTreeMap::new(),
            silence_counted_from: now + DECIDER_LEASE,
            max_silence: bounds.agent_timeout(),
            late_start_window: bounds.max_lease_duration() * 2,
        }
    }

    /// Stores a report. Returns whether it is newer than the last one from that host.
    pub fn record(&mut self, now: Duration, report: Report) -> bool {
        let outdated = self.hosts.get(&report.host).is_some_and(|latest| {
            let version = |report: &Report| (report.incarnation, report.sequence);
            version(&latest.report) >= version(&report)
        });
        if outdated {
            return false;
        }
        let incarnation = |report: &Report| {
            report
                .worker
                .as_ref()
                .map(|worker| worker.info.incarnation.clone())
        };
        let incarnation_since = match self.hosts.get(&report.host) {
            Some(latest) if incarnation(&latest.report) == incarnation(&report) => {
                latest.incarnation_since
            }
            _ => now,
        };
        let latest = LatestReport {
            received_at: now,
            incarnation_since,
            report,
        };
        self.hosts.insert(latest.report.host.clone(), latest);
        true
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
            age: now.saturating_sub(latest.received_at),
            epoch: latest.report.epoch,
            worker: worker.map(|worker| worker.info.incarnation.clone()),
        })
    }

    /// Returns whether a host's report is too old to show what runs there.
    pub fn is_stale(&self, now: Duration, host: &str) -> bool {
        self.hosts
            .get(host)
            .is_none_or(|latest| !Self::is_fresh(now.saturating_sub(latest.received_at)))
    }

    /// Returns whether an incarnation of a worker is draining.
    pub fn is_draining(&self, incarnation: &Incarnation) -> bool {
        self.get(&incarnation.host)
            .and_then(|report| report.worker.as_ref())
            .is_some_and(|worker| worker.info.incarnation == *incarnation && worker.info.draining)
    }

    /// Returns the reported workers with the age of their report.
    pub fn workers(&self, now: Duration) -> impl Iterator<Item = (Duration, &Worker)> {
        self.hosts.values().filter_map(move |latest| {
            let worker = latest.report.worker.as_ref()?;
            Some((now.saturating_sub(latest.received_at), worker))
        })
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
        if let Some(worker) = &latest.report.worker {
            if worker.info.incarnation == *incarnation {
                if let Some(cause) = reported_end(worker, task, run) {
                    return Some(cause);
                }
            } else if worker.info.incarnation.started_ms >= incarnation.started_ms {
                let late_start_possible = now <= latest.incarnation_since + self.late_start_window;
                return end_cause_after_replacement(
                    worker,
                    incarnation,
                    task,
                    run,
                    late_start_possible,
                );
            }
        }
        if latest.report.deregistered.as_ref() == Some(incarnation) {
            return Some(EndCause::WorkerGone);
        }
        let counted_from = if latest.report.epoch >= self.epoch {
            latest.received_at
        } else {
            latest.received_at.max(self.silence_counted_from)
        };
        (now > counted_from + self.max_silence).then_some(EndCause::AgentSilent)
    }
}

/// Returns how a run ended on an incarnation of a worker that has been replaced.
///
/// A worker that restarts under the same name executes a start that was meant for its previous
/// incarnation, even if it arrives late. The run is therefore over only once the new incarnation
/// lists its end, or has received a stop for it and does not list it.
fn end_cause_after_replacement(
    worker: &Worker,
    incarnation: &Incarnation,
    task: Task,
    run: Run,
    late_start_possible: bool,
) -> Option<EndCause> {
    if worker.info.incarnation.worker != incarnation.worker {
        return Some(EndCause::WorkerGone);
    }
    match reported_end(worker, task, run) {
        Some(EndCause::Reported(how, saved)) => return Some(EndCause::Reported(how, saved)),
        Some(_) => return Some(EndCause::WorkerGone),
        None => {}
    }
    let running = worker
        .running
        .iter()
        .any(|listed_run| listed_run.task == task && listed_run.run == run);
    (!running && !late_start_possible).then_some(EndCause::WorkerGone)
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
