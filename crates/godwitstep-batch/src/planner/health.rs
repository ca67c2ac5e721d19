//! Workers judged by what becomes of their tasks, and tasks by their progress.
//!
//! A heartbeat shows that a worker lives, not that it works. A worker that fails tasks of several jobs
//! in a row, or refuses them, gets no new ones for a while; the time doubles as long as nothing ends
//! well there. Failures of one job alone say more about the job.

use super::fleet::Fate;
use crate::id::{JobId, Life, Run, Task};
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

/// Record of one worker.
#[derive(Debug, Default)]
struct Conduct {
    /// Jobs that failed since one last ended well.
    failed: Vec<JobId>,
    until: Duration,
    next: Option<Duration>,
}

/// Progress of one run.
#[derive(Debug)]
struct Course {
    host: crate::id::Host,
    percent: u8,
    moved: Duration,
    saved: Arc<str>,
}

/// All workers and runs.
#[derive(Debug, Default)]
pub(super) struct Health {
    workers: BTreeMap<Life, Conduct>,
    runs: HashMap<(Task, Run), Course>,
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

    fn progress(&mut self, now: Duration, host: &crate::id::Host, row: &Running) {
        let course = self
            .runs
            .entry((row.task, row.run))
            .or_insert_with(|| Course {
                host: host.clone(),
                percent: row.percent,
                moved: now,
                saved: "".into(),
            });
        if course.percent != row.percent {
            course.percent = row.percent;
            course.moved = now;
        }
        if !row.saved.is_empty() {
            course.saved = row.saved.clone();
        }
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
                    conduct.punish(now);
                }
            }
            Fate::Refused(Refusal::Unhealthy | Refusal::Room | Refusal::Malformed) => {
                conduct.punish(now);
            }
            Fate::Ended(..) | Fate::Refused(_) | Fate::Lapsed | Fate::Gone | Fate::Silent => {}
        }
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

    /// Returns the share of its work that a run has done. Unit: percent.
    pub fn percent(&self, task: Task, run: Run) -> u8 {
        self.runs.get(&(task, run)).map_or(0, |course| course.percent)
    }

    /// Returns for how long a run has made no progress.
    pub fn still(&self, now: Duration, task: Task, run: Run) -> Duration {
        self.runs
            .get(&(task, run))
            .map_or(Duration::ZERO, |course| now.saturating_sub(course.moved))
    }

    /// Tells whether a worker gets new tasks.
    pub fn trusted(&self, now: Duration, life: &Life) -> bool {
        let punished = self
            .workers
            .get(life)
            .is_some_and(|conduct| conduct.until > now);
        let still = self
            .runs
            .values()
            .any(|course| course.host == life.host && now.saturating_sub(course.moved) > STILL);
        !punished && !still
    }
}

impl Conduct {
    fn punish(&mut self, now: Duration) {
        if self.until > now {
            return;
        }
        let time = self.next.unwrap_or(FIRST);
        self.until = now + time;
        self.next = Some((time * 2).min(LONGEST));
    }
}
