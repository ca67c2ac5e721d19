//! Health of workers, derived from the results of their runs, and progress of runs.
//!
//! A heartbeat shows that a worker is alive, not that it works. A worker that fails tasks of
//! several jobs in a row, or refuses tasks, is quarantined; each further quarantine is twice as
//! long until a run succeeds there. Failures of a single job point to the job instead.

use super::Decision;
use super::pace::{Pace, PacePrior};
use super::reports::EndCause;
use crate::expectation::Expectation;
use crate::id::{Host, Incarnation, JobId, Run, Task};
use crate::message::{EndReason, Refusal, Report, Running};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

/// Number of jobs that fail in a row on a worker before it is quarantined.
const QUARANTINE_AFTER_JOBS: usize = 2;
/// Length of the first quarantine.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(2);
/// Upper bound of the quarantine, which doubles each time.
const MAX_QUARANTINE: Duration = Duration::from_secs(16);
/// Time without progress on a worker after which it gets no new tasks, if some run there is overdue.
const WORKER_STALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Multiple of the usual time for a percent from which on a run counts as stalled. Progress is reported in whole percent,
/// so that of long runs moves seldom.
const STALL_FACTOR: u32 = 3;

/// A failure within this time after a run was first listed is attributed to the worker. Runs that
/// fail by their own fault work for a while first.
const QUICK_FAILURE_LIMIT: Duration = Duration::from_millis(300);
/// Period over which the progress rate of a run is measured.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Progress at which a gang member only waits for the others. Unit: percent.
const GANG_MEMBER_DONE_PERCENT: u8 = 99;
/// Minimum progress from which the end of a run is predicted. Unit: percent.
const MIN_PREDICTABLE_PERCENT: u8 = 4;
/// A run is slow below this share of the rate that its typical time implies. Expectations are off by up to
/// a half, and healthy workers differ by up to a quarter.
const SLOW_RATE_SHARE: f64 = 0.3;
/// Share of the runs of its class that a slow run would outlast.
const SLOW_QUANTILE: f64 = 0.95;

/// Time since the last progress of any run, by host; only hosts where the progress of some run is overdue.
pub(super) type StallTimes = HashMap<Host, Duration>;

/// Health of one worker.
#[derive(Debug, Default)]
struct WorkerHealth {
    /// Jobs that failed since the last successful run.
    failed_jobs: Vec<JobId>,
    /// Whether a run failed quickly since the last successful run.
    suspect: bool,
    quarantined_until: Duration,
    next_quarantine: Option<Duration>,
}

/// Observed progress of one run.
#[derive(Debug)]
struct RunProgress {
    host: Host,
    pace: Pace,
    /// When a report first listed the run.
    first_listed: Duration,
    /// Time from the first listing until it was found that each member of its gang has been listed, though not necessarily
    /// at the same time. Unit: milliseconds, as there may be 820,000 runs.
    gang_complete_after: Option<NonZeroU32>,
    /// Whether it was without progress for clearly longer than before.
    stalled: bool,
    /// Time and progress at the start of the period over which the rate is measured.
    rate_start: (Duration, u8),
    /// Newest measured rate.
    rate: Option<Rate>,
    saved: Arc<str>,
}

/// Progress of a run in a period.
#[derive(Debug, Clone, Copy)]
struct Rate {
    /// Unit: percent.
    gained: u8,
    span: Duration,
}

/// Health of all workers and progress of all runs.
#[derive(Debug, Default)]
pub(super) struct Health {
    workers: BTreeMap<Incarnation, WorkerHealth>,
    runs: HashMap<(Task, Run), RunProgress>,
    /// Quarantines that have begun and are not yet logged.
    quarantines: Vec<Decision>,
    /// Wall clock of the present round. Unit: Unix milliseconds.
    wall: u64,
}

impl Health {
    /// Sets the wall clock of the round that begins.
    pub const fn set_wall_clock(&mut self, wall: u64) {
        self.wall = wall;
    }

    pub fn record_report(&mut self, now: Duration, report: &Report) {
        let Some(worker) = &report.worker else {
            return;
        };
        for listed_run in &worker.running {
            self.record_progress(now, &report.host, listed_run);
        }
    }

    fn record_progress(&mut self, now: Duration, host: &Host, listed_run: &Running) {
        let run_progress = self
            .runs
            .entry((listed_run.task, listed_run.run))
            .or_insert_with(|| RunProgress {
                host: host.clone(),
                pace: Pace::new(now, listed_run.percent),
                first_listed: now,
                gang_complete_after: None,
                stalled: false,
                rate_start: (now, listed_run.percent),
                rate: None,
                saved: "".into(),
            });
        let (start, percent) = run_progress.rate_start;
        let span = now.saturating_sub(start);
        let gained = listed_run.percent.saturating_sub(percent);
        if run_progress.pace.percent() != listed_run.percent {
            let advanced = listed_run
                .percent
                .saturating_sub(run_progress.pace.percent());
            run_progress.stalled = run_progress.has_stalled(now, advanced);
        }
        run_progress.pace.record(now, listed_run.percent);
        // A slow pace needs a longer period; one that is not known yet is judged in `is_slow`.
        let is_measurable = gained > 0 || run_progress.pace.covers_changes(span, Duration::ZERO);
        if span >= RATE_SPAN && is_measurable {
            run_progress.rate = Some(Rate { gained, span });
            run_progress.rate_start = (now, listed_run.percent);
        }
        if !listed_run.saved.is_empty() {
            run_progress.saved = listed_run.saved.clone();
        }
    }

    /// Returns the time for which a run, or all members of its gang, have been listed; `None` if it was first listed
    /// before `known_from`, or if it stalled.
    pub fn clean_run_time(
        &self,
        now: Duration,
        task: Task,
        run: Run,
        known_from: Duration,
    ) -> Option<Duration> {
        let run_progress = self.runs.get(&(task, run))?;
        let complete_after = run_progress.gang_complete_after.map_or(0, NonZeroU32::get);
        let start = run_progress.first_listed + Duration::from_millis(u64::from(complete_after));
        let clean = run_progress.first_listed >= known_from && !run_progress.has_stalled(now, 1);
        clean.then_some(now.saturating_sub(start))
    }

    /// Returns whether a run failed too early for a fault of its own.
    pub fn failed_quickly(&self, now: Duration, task: Task, run: Run) -> bool {
        // A run that was never listed ended between two reports.
        let elapsed = self.elapsed(now, task, run);
        elapsed.is_none_or(|elapsed| elapsed < QUICK_FAILURE_LIMIT)
    }

    /// Marks a worker on which a run failed by the worker's fault.
    pub fn mark_suspect(&mut self, incarnation: &Incarnation) {
        self.workers.entry(incarnation.clone()).or_default().suspect = true;
    }

    /// Updates the worker's health after the end of a run.
    pub fn record_end(
        &mut self,
        now: Duration,
        incarnation: &Incarnation,
        job: JobId,
        cause: &EndCause,
    ) {
        let worker = self.workers.entry(incarnation.clone()).or_default();
        match cause {
            EndCause::Reported(EndReason::Done, _) => *worker = WorkerHealth::default(),
            EndCause::Reported(EndReason::Failed, _) => {
                if !worker.failed_jobs.contains(&job) {
                    worker.failed_jobs.push(job);
                }
                if worker.failed_jobs.len() >= QUARANTINE_AFTER_JOBS {
                    self.quarantines.extend(worker.quarantine(now, incarnation));
                }
            }
            EndCause::Refused(
                Refusal::Unhealthy | Refusal::InsufficientCapacity | Refusal::Malformed,
            ) => {
                self.quarantines.extend(worker.quarantine(now, incarnation));
            }
            EndCause::Reported(..)
            | EndCause::Refused(_)
            | EndCause::LeaseExpired
            | EndCause::BrokeGang
            | EndCause::WorkerGone
            | EndCause::AgentSilent
            | EndCause::WorkerCrashed(_) => {}
        }
    }

    /// Returns the quarantines that have begun since the last call.
    pub fn take_quarantines(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.quarantines)
    }

    /// Drops the progress of runs and the health of workers that are gone.
    pub fn retain(
        &mut self,
        runs: impl Fn(Task, Run) -> bool,
        incarnations: impl Fn(&Incarnation) -> bool,
    ) {
        self.runs.retain(|(task, run), _| runs(*task, *run));
        self.workers
            .retain(|incarnation, _| incarnations(incarnation));
    }

    /// Returns the newest checkpoint of a run; empty if there is none.
    pub fn saved(&self, task: Task, run: Run) -> Arc<str> {
        self.runs
            .get(&(task, run))
            .map_or_else(|| "".into(), |run_progress| run_progress.saved.clone())
    }

    /// Predicts how long a run still takes at its average rate so far, or from the expectation if that is not known.
    pub fn remaining(
        &self,
        now: Duration,
        task: Task,
        run: Run,
        expectation: impl FnOnce() -> Expectation,
    ) -> Duration {
        let Some(run_progress) = self.runs.get(&(task, run)) else {
            return expectation().typical();
        };
        let elapsed = now.saturating_sub(run_progress.first_listed);
        if run_progress.pace.percent() < MIN_PREDICTABLE_PERCENT {
            return expectation().remaining(elapsed);
        }
        let done = f64::from(run_progress.pace.percent()) / 100.0;
        elapsed.mul_f64((1.0 - done) / done)
    }

    /// Returns whether a run is much slower than expected, if its rate is known: it would take longer than hardly any run
    /// of its class.
    pub fn is_slow(
        &self,
        task: Task,
        run: Run,
        expectation: impl FnOnce() -> Expectation,
    ) -> Option<bool> {
        let run_progress = self.runs.get(&(task, run))?;
        let rate = run_progress
            .rate
            .filter(|_| run_progress.expects_progress())?;
        let expectation = expectation();
        if rate.gained == 0
            && !run_progress
                .pace
                .covers_changes(rate.span, expectation.typical())
        {
            return None;
        }
        let rate = f64::from(rate.gained) / rate.span.as_secs_f64();
        let longest = expectation.typical().as_secs_f64() / SLOW_RATE_SHARE;
        let longest = longest.max(expectation.quantile(SLOW_QUANTILE).as_secs_f64());
        Some(rate / 100.0 * longest < 1.0)
    }

    /// Returns the time since a run last made progress, if its progress is known; zero while its next progress is not
    /// overdue.
    pub fn stalled_for(
        &self,
        now: Duration,
        task: Task,
        run: Run,
        prior: PacePrior,
    ) -> Option<Duration> {
        let run_progress = self.runs.get(&(task, run))?;
        let pace = &run_progress.pace;
        run_progress.expects_progress().then(|| {
            if pace.is_overdue(now, self.wall, prior) {
                pace.unchanged_for(now)
            } else {
                Duration::ZERO
            }
        })
    }

    /// Returns the time since a run was first listed.
    pub fn elapsed(&self, now: Duration, task: Task, run: Run) -> Option<Duration> {
        let run_progress = self.runs.get(&(task, run))?;
        Some(now.saturating_sub(run_progress.first_listed))
    }

    /// Returns whether a report has listed a run.
    pub fn was_listed(&self, task: Task, run: Run) -> bool {
        self.runs.contains_key(&(task, run))
    }

    /// Records that each member of the run's gang has been listed.
    pub fn mark_gang_complete(&mut self, now: Duration, task: Task, run: Run) {
        if let Some(run_progress) = self.runs.get_mut(&(task, run)) {
            let elapsed = now.saturating_sub(run_progress.first_listed);
            let millis = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
            let millis = NonZeroU32::new(millis).unwrap_or(NonZeroU32::MIN);
            run_progress.gang_complete_after.get_or_insert(millis);
        }
    }

    /// Returns whether each member of a run's gang has been listed, though not necessarily at the same time.
    pub fn gang_was_complete(&self, task: Task, run: Run) -> bool {
        self.runs
            .get(&(task, run))
            .is_some_and(|run_progress| run_progress.gang_complete_after.is_some())
    }

    /// Returns the time since the last progress of any run on each host where the progress of some run is overdue. Runs
    /// that are not overdue show only by their last progress whether the worker hangs.
    pub fn worker_stalls(&self, now: Duration, prior: impl Fn(Task) -> PacePrior) -> StallTimes {
        let mut stall_times = StallTimes::new();
        let mut overdue: HashSet<&Host> = HashSet::new();
        for ((task, _), run_progress) in &self.runs {
            if !run_progress.expects_progress() {
                continue;
            }
            let unchanged_for = run_progress.pace.unchanged_for(now);
            stall_times
                .entry(run_progress.host.clone())
                .and_modify(|shortest| *shortest = unchanged_for.min(*shortest))
                .or_insert(unchanged_for);
            if run_progress.pace.is_overdue(now, self.wall, prior(*task)) {
                overdue.insert(&run_progress.host);
            }
        }
        stall_times.retain(|host, _| overdue.contains(host));
        stall_times
    }

    /// Returns whether a run failed quickly on a worker since the last successful run there.
    pub fn is_suspect(&self, incarnation: &Incarnation) -> bool {
        self.workers
            .get(incarnation)
            .is_some_and(|worker| worker.suspect)
    }

    /// Returns whether a worker may get new tasks: it is not quarantined and its runs make
    /// progress.
    pub fn accepts_tasks(
        &self,
        now: Duration,
        incarnation: &Incarnation,
        stall_times: &StallTimes,
    ) -> bool {
        let quarantined = self
            .workers
            .get(incarnation)
            .is_some_and(|worker| worker.quarantined_until > now);
        let stalled = stall_times
            .get(&incarnation.host)
            .is_some_and(|stalled_for| *stalled_for > WORKER_STALL_LIMIT);
        !quarantined && !stalled
    }
}

impl RunProgress {
    /// Returns whether the run has stalled before or has now taken clearly longer for the last `gained` percent than for
    /// those before.
    fn has_stalled(&self, now: Duration, gained: u8) -> bool {
        let interval = self.pace.unchanged_for(now);
        let before = now
            .saturating_sub(self.first_listed)
            .saturating_sub(interval);
        let usual = before * u32::from(gained) / u32::from(self.pace.percent().max(1));
        let stalls = interval > WORKER_STALL_LIMIT && interval > usual * STALL_FACTOR;
        self.stalled || (self.expects_progress() && stalls)
    }

    /// Returns whether the run's progress should advance. Only tasks that write checkpoints report
    /// progress, and a gang member that has finished its work waits for the others.
    const fn expects_progress(&self) -> bool {
        self.pace.percent() > 0 && self.pace.percent() < GANG_MEMBER_DONE_PERCENT
    }
}

impl WorkerHealth {
    /// Quarantines the worker. Returns the decision, or `None` if it is already quarantined.
    fn quarantine(&mut self, now: Duration, incarnation: &Incarnation) -> Option<Decision> {
        if self.quarantined_until > now {
            return None;
        }
        let duration = self.next_quarantine.unwrap_or(INITIAL_QUARANTINE);
        self.quarantined_until = now + duration;
        self.next_quarantine = Some((duration * 2).min(MAX_QUARANTINE));
        Some(Decision::Quarantined {
            incarnation: incarnation.clone(),
            failures: self.failed_jobs.len(),
            duration,
        })
    }
}
