//! Workers judged by what becomes of their tasks, and tasks by their progress.
//!
//! A heartbeat shows that a worker lives, not that it works. A worker that fails tasks of several jobs
//! in a row, or refuses them, gets no new ones for a while; the time doubles as long as nothing ends
//! well there. Failures of one job alone say more about the job.

use super::Decision;
use super::fleet::Fate;
use super::pace::Pace;
use crate::id::{Host, JobId, Life, Run, Task};
use crate::message::{How, Refusal, Report, Running};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Jobs that fail in a row on a worker before it is put into quarantine.
const FAILED_JOBS: usize = 2;
/// First quarantine.
const FIRST: Duration = Duration::from_secs(2);
/// Longest quarantine.
const LONGEST: Duration = Duration::from_secs(16);
/// Time without progress after which a task counts as standing still.
const STILL: Duration = Duration::from_millis(1_500);

/// Time within which a run fails by the worker's fault. Runs that fail by their own fault work for a while first.
const QUICK: Duration = Duration::from_millis(300);
/// Span over which the rate of a run is taken.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Progress at which a member of a gang waits for the others. Unit: percent.
const ALL_DONE: u8 = 99;
/// Least progress of a run from which its end is predicted. Unit: percent.
const PREDICTABLE: u8 = 4;
/// Part of its estimate that a run without known progress is taken to need at least.
const OVERDUE: f64 = 0.2;
/// Part of the rate by its estimate below which a run counts as slow. Estimates are off by a half,
/// and sound workers differ by a quarter.
const SLOW: f64 = 0.3;

/// For how long nothing has moved, by host.
pub(super) type Standstills = HashMap<Host, Duration>;

/// Record of one worker.
#[derive(Debug, Default)]
struct Conduct {
    /// Jobs that failed since one last ended well.
    failed: Vec<JobId>,
    /// Whether a run failed quickly since one last ended well.
    suspect: bool,
    until: Duration,
    next: Option<Duration>,
}

/// Progress of one run.
#[derive(Debug)]
struct Course {
    host: Host,
    percent: u8,
    moved: Duration,
    /// When the run was first listed.
    since: Duration,
    /// Whether all members of its gang were listed at the same time.
    whole: bool,
    /// Progress and time at the beginning of the span over which its rate is taken.
    mark: (Duration, u8),
    /// Newest rate. Unit: percent a second.
    rate: Option<f64>,
    saved: Arc<str>,
}

/// All workers and runs.
#[derive(Debug, Default)]
pub(super) struct Health {
    workers: BTreeMap<Life, Conduct>,
    runs: HashMap<(Task, Run), Course>,
    pace: Pace,
    /// Quarantines that have begun and not been told of.
    quarantines: Vec<Decision>,
}

impl Health {
    pub fn report(&mut self, now: Duration, report: &Report) {
        let Some(worker) = &report.worker else {
            return;
        };
        for row in &worker.running {
            self.progress(now, &report.host, row);
        }
    }

    fn progress(&mut self, now: Duration, host: &Host, row: &Running) {
        let course = self
            .runs
            .entry((row.task, row.run))
            .or_insert_with(|| Course {
                host: host.clone(),
                percent: row.percent,
                moved: now,
                since: now,
                whole: false,
                mark: (now, row.percent),
                rate: None,
                saved: "".into(),
            });
        let (at, percent) = course.mark;
        let span = now.saturating_sub(at);
        if span >= RATE_SPAN {
            let gained = f64::from(row.percent.saturating_sub(percent));
            course.rate = Some(gained / span.as_secs_f64());
            course.mark = (now, row.percent);
        }
        if course.percent != row.percent {
            course.percent = row.percent;
            course.moved = now;
        }
        if !row.saved.is_empty() {
            course.saved = row.saved.clone();
        }
    }

    /// Returns the logarithm of the length of tasks on a worker against their equals.
    pub fn pace(&self, life: &Life) -> f64 {
        self.pace.of(life)
    }

    /// Counts the length of an independent task that is done. Later runs may have begun with saved work.
    pub fn done(&mut self, now: Duration, life: &Life, task: Task, run: Run) {
        if run != 1 {
            return;
        }
        if let Some(length) = self.elapsed(now, task, run) {
            self.pace.note(life, task, length);
        }
    }

    /// Tells whether a run that failed did so too soon for a fault of its own.
    pub fn failed_quickly(&self, now: Duration, task: Task, run: Run) -> bool {
        // One that was never listed ended between two reports.
        let elapsed = self.elapsed(now, task, run);
        elapsed.is_none_or(|elapsed| elapsed < QUICK)
    }

    /// Notes that a run failed by the worker's fault.
    pub fn suspect(&mut self, life: &Life) {
        self.workers.entry(life.clone()).or_default().suspect = true;
    }

    /// Notes the end of a run.
    pub fn ended(&mut self, now: Duration, life: &Life, job: JobId, fate: &Fate) {
        let conduct = self.workers.entry(life.clone()).or_default();
        match fate {
            Fate::Ended(How::Done, _) => *conduct = Conduct::default(),
            Fate::Ended(How::Failed, _) => {
                if !conduct.failed.contains(&job) {
                    conduct.failed.push(job);
                }
                if conduct.failed.len() >= FAILED_JOBS {
                    self.quarantines.extend(conduct.punish(now, life));
                }
            }
            Fate::Refused(Refusal::Unhealthy | Refusal::Room | Refusal::Malformed) => {
                self.quarantines.extend(conduct.punish(now, life));
            }
            Fate::Ended(..)
            | Fate::Refused(_)
            | Fate::Lapsed
            | Fate::GangEnded
            | Fate::Gone
            | Fate::Silent => {}
        }
    }

    /// Returns the quarantines that have begun since the last call.
    pub fn quarantines(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.quarantines)
    }

    /// Forgets the course of runs that are over, and of workers that are gone.
    pub fn retain(&mut self, runs: impl Fn(Task, Run) -> bool, lives: impl Fn(&Life) -> bool) {
        self.runs.retain(|(task, run), _| runs(*task, *run));
        self.workers.retain(|life, _| lives(life));
    }

    /// Returns the newest saved progress of a run.
    pub fn saved(&self, task: Task, run: Run) -> Arc<str> {
        self.runs
            .get(&(task, run))
            .map_or_else(|| "".into(), |course| course.saved.clone())
    }

    /// Returns how long a run will still take at the rate that it had so far.
    pub fn remaining(&self, now: Duration, task: Task, run: Run, estimate: Duration) -> Duration {
        let Some(course) = self.runs.get(&(task, run)) else {
            return estimate;
        };
        let elapsed = now.saturating_sub(course.since);
        if course.percent < PREDICTABLE {
            return estimate
                .saturating_sub(elapsed)
                .max(estimate.mul_f64(OVERDUE));
        }
        let done = f64::from(course.percent) / 100.0;
        elapsed.mul_f64((1.0 - done) / done)
    }

    /// Tells whether a run is much slower than its estimate, if that is known yet.
    pub fn slow(&self, task: Task, run: Run, estimate: Duration) -> Option<bool> {
        let course = self.runs.get(&(task, run))?;
        let rate = course.rate.filter(|_| course.moves())?;
        Some(rate / 100.0 * estimate.as_secs_f64() < SLOW)
    }

    /// Returns for how long a run has made no progress, if its progress is known.
    pub fn still(&self, now: Duration, task: Task, run: Run) -> Option<Duration> {
        let course = self.runs.get(&(task, run))?;
        course.moves().then(|| now.saturating_sub(course.moved))
    }

    /// Returns the time since a run was first listed.
    pub fn elapsed(&self, now: Duration, task: Task, run: Run) -> Option<Duration> {
        let course = self.runs.get(&(task, run))?;
        Some(now.saturating_sub(course.since))
    }

    /// Tells whether a run was listed.
    pub fn listed(&self, task: Task, run: Run) -> bool {
        self.runs.contains_key(&(task, run))
    }

    /// Notes that all members of a gang are listed.
    pub fn whole(&mut self, task: Task, run: Run) {
        if let Some(course) = self.runs.get_mut(&(task, run)) {
            course.whole = true;
        }
    }

    /// Tells whether all members of a run's gang were listed at the same time.
    pub fn was_whole(&self, task: Task, run: Run) -> bool {
        self.runs
            .get(&(task, run))
            .is_some_and(|course| course.whole)
    }

    /// Returns for how long nothing has moved on each worker where the progress of some run is known.
    pub fn standstills(&self, now: Duration) -> Standstills {
        let mut standstills = Standstills::new();
        for course in self.runs.values().filter(|course| course.moves()) {
            let still = now.saturating_sub(course.moved);
            standstills
                .entry(course.host.clone())
                .and_modify(|least| *least = still.min(*least))
                .or_insert(still);
        }
        standstills
    }

    /// Tells whether a run failed quickly on a worker since one last ended well there.
    pub fn is_suspect(&self, life: &Life) -> bool {
        self.workers
            .get(life)
            .is_some_and(|conduct| conduct.suspect)
    }

    /// Tells whether a worker gets new tasks.
    pub fn trusted(&self, now: Duration, life: &Life, standstills: &Standstills) -> bool {
        let punished = self
            .workers
            .get(life)
            .is_some_and(|conduct| conduct.until > now);
        let still = standstills
            .get(&life.host)
            .is_some_and(|still| *still > STILL);
        !punished && !still
    }
}

impl Course {
    /// Tells whether progress is to be expected: it is shown for tasks that save it, and a member of
    /// a gang that has done its work waits for the others.
    const fn moves(&self) -> bool {
        self.percent > 0 && self.percent < ALL_DONE
    }
}

impl Conduct {
    /// Puts the worker into quarantine. Returns the decision, unless it is in one.
    fn punish(&mut self, now: Duration, life: &Life) -> Option<Decision> {
        if self.until > now {
            return None;
        }
        let time = self.next.unwrap_or(FIRST);
        self.until = now + time;
        self.next = Some((time * 2).min(LONGEST));
        Some(Decision::Quarantined {
            life: life.clone(),
            failures: self.failed.len(),
            time,
        })
    }
}
