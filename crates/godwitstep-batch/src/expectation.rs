//! Expected run times, learned from finished runs.
//!
//! Callers' estimates are unreliable: those of one queue may be off by a constant factor, those of another may say
//! nothing. The logarithm of a run's time is taken for the sum of an expectation for its class and the
//! slowness of its worker. The expectation is a regression on the estimate that starts as the
//! estimate itself, so decisions are those of the estimates until enough runs have shown otherwise.
//!
//! ```
//! use godwitstep_batch::expectation::{Class, End, Expectations, FinishedRun, Source};
//! use std::time::Duration;
//!
//! let class = Class { queue: "nest", gang: false };
//! let estimate = Duration::from_secs(2);
//! let mut expectations = Expectations::default();
//! assert_eq!(expectations.expected(class, estimate).typical(), estimate);
//! for job in 0..20 {
//!     expectations.record(&FinishedRun {
//!         class,
//!         source: Source { job, step: 0 },
//!         estimate,
//!         run_time: Duration::from_secs(6),
//!         machines: Vec::new(),
//!         equals: 1,
//!         end: End::Done,
//!     });
//! }
//! expectations.refresh();
//! assert!(expectations.expected(class, estimate).typical() > Duration::from_secs(5));
//! ```

mod distribution;
mod regression;
mod snapshot;
mod worker;

pub use distribution::Expectation;
pub use snapshot::{MAX_RECORD_BYTES, Snapshot};
pub use worker::{Hardware, Machine, hardware};

use crate::id::{self, JobId};
use crate::job::{Job, MAX_ESTIMATE, Step};
use regression::{Regression, Sample};
use std::collections::HashMap;
use std::time::Duration;
use worker::Workers;

/// Number of tasks of a step from which on they are compared with each other.
const MIN_EQUALS: u16 = 3;
/// Correction of an estimate, as a logarithm, up to which the estimate is used as it is. Good estimates leave decisions
/// unchanged.
const MIN_CORRECTION: f64 = 0.1;
/// Maximum number of queues that are remembered, of at most 15 KiB each.
const MAX_QUEUES: usize = 128;
/// Number of kinds of steps in a queue: independent tasks and gangs, each with and without estimates.
const KINDS: usize = 4;
/// Estimate that stands for none in the regression of steps without estimates.
const NO_ESTIMATE: Duration = Duration::from_secs(1);

/// Steps whose run times are alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class<'a> {
    /// Name of the queue.
    pub queue: &'a str,
    /// Whether the tasks are a gang.
    pub gang: bool,
}

impl<'a> Class<'a> {
    /// Returns the class of a job's step.
    #[must_use]
    pub fn of(job: &'a Job, step: &Step) -> Self {
        Self {
            queue: &job.queue.name,
            gang: step.gang,
        }
    }

    /// Returns the index of the steps with this estimate among the kinds of a queue. Callers that give no estimates have
    /// a regression of their own.
    fn kind(self, estimate: Duration) -> usize {
        usize::from(self.gang) + 2 * usize::from(estimate.is_zero())
    }
}

/// Step of a job; its tasks are equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Source {
    /// Identifier of the job.
    pub job: JobId,
    /// Index of the step.
    pub step: u16,
}

/// How a run ended that is learned from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It completed.
    Done,
    /// It was stopped, and would have taken longer.
    Stopped,
}

/// First run of a task, or of a gang as a whole.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedRun<'a> {
    /// Class of the step.
    pub class: Class<'a>,
    /// Step of the run.
    pub source: Source,
    /// The caller's estimate; zero if there is none.
    pub estimate: Duration,
    /// Time from its start, for a gang from that of its last member.
    pub run_time: Duration,
    /// Worker of the task, or of each member of the gang.
    pub machines: Vec<Machine>,
    /// Number of tasks that are comparable to the run: those of a step of independent tasks, 1 for a gang.
    pub equals: u16,
    /// How the run ended.
    pub end: End,
}

/// Regressions of one queue.
#[derive(Debug, Default)]
struct QueueModel {
    kinds: [Regression; KINDS],
    /// Position of the last sample among all samples.
    used: u64,
}

/// Expected run times by class and slowness by worker. Bounded by the numbers of queues and workers that are remembered.
#[derive(Debug, Default)]
pub struct Expectations {
    queues: HashMap<id::Queue, QueueModel>,
    workers: Workers,
    /// Number of samples so far.
    samples: u64,
    /// Number of samples when the last [`Snapshot`] was taken.
    in_snapshot: u64,
    /// Number of samples in the last snapshot that was stored.
    stored: u64,
}

impl Expectations {
    /// Records a finished run; [`Expectations::refresh`] makes it count. Returns the logarithm of its time over the
    /// expected one if it completed. Runs without a duration are ignored.
    pub fn record(&mut self, run: &FinishedRun) -> Option<f64> {
        if run.run_time.is_zero() || run.run_time > MAX_ESTIMATE {
            return None;
        }
        let log_estimate = log_estimate(run.estimate);
        let log_run_time = run.run_time.as_secs_f64().ln();
        let slowest = self.workers.slowest(&run.machines);
        let known = self.regression(run.class, run.estimate);
        let fit = known.and_then(Regression::fit).copied();
        let correction = fit.map_or(0.0, |fit| fit.correction(log_estimate));
        let error = log_run_time - log_estimate - correction - slowest;
        let log_run_time = match run.end {
            End::Stopped if error <= 0.0 => return None,
            End::Stopped => log_run_time - slowest,
            End::Done if run.equals >= MIN_EQUALS && run.machines.len() == 1 => {
                let machine = &run.machines[0];
                self.workers
                    .record_task(run.source, run.equals, machine, log_run_time)
            }
            End::Done => {
                if let Some(fit) = fit {
                    self.workers
                        .record_deviation(&run.machines, error, fit.spread);
                }
                log_run_time - slowest
            }
        };
        let sample = Sample {
            log_estimate,
            log_run_time,
            censored: run.end == End::Stopped,
        };
        self.add_sample(run, sample);
        (run.end == End::Done && !run.estimate.is_zero()).then_some(error)
    }

    fn add_sample(&mut self, run: &FinishedRun, sample: Sample) {
        self.samples += 1;
        let queue = match self.queues.get_mut(run.class.queue) {
            Some(queue) => queue,
            None => self.queues.entry(run.class.queue.into()).or_default(),
        };
        queue.used = self.samples;
        queue.kinds[run.class.kind(run.estimate)].record(run.source, sample);
        if self.queues.len() > MAX_QUEUES {
            let least_used = self.queues.iter().min_by_key(|(_, queue)| queue.used);
            let name = least_used.map(|(name, _)| name.clone());
            name.and_then(|name| self.queues.remove(&name));
        }
    }

    /// Makes all recorded runs count. Fits only the classes with new samples, so it is called once a round.
    pub fn refresh(&mut self) {
        let queues = self.queues.values_mut();
        for regression in queues.flat_map(|queue| &mut queue.kinds) {
            regression.refresh();
        }
    }

    /// Returns the expected run time of a step's tasks on a worker of average speed. Allocates nothing.
    #[must_use]
    pub fn expected(&self, class: Class, estimate: Duration) -> Expectation {
        let regression = self.regression(class, estimate);
        let Some(fit) = regression.and_then(Regression::fit) else {
            return Expectation::of_estimate(estimate);
        };
        // The fit is for a worker of slowness 0.
        let correction = fit.correction(log_estimate(estimate)) + self.workers.mean();
        if estimate.is_zero() {
            Expectation::new(NO_ESTIMATE, correction, fit.spread)
        } else if correction.abs() <= MIN_CORRECTION {
            Expectation::new(estimate, 0.0, fit.spread)
        } else {
            Expectation::new(estimate, correction, fit.spread)
        }
    }

    /// Returns the logarithm of the run time of tasks on a worker relative to equal tasks elsewhere; 0 if unknown.
    #[must_use]
    pub fn log_slowdown(&self, host: &str, hardware: Hardware) -> f64 {
        self.workers.relative(host, hardware)
    }

    /// Returns the same for whichever worker was last known on a host.
    #[must_use]
    pub fn log_slowdown_of_host(&self, host: &str) -> f64 {
        self.workers.relative_of_host(host)
    }

    fn regression(&self, class: Class, estimate: Duration) -> Option<&Regression> {
        let queue = self.queues.get(class.queue)?;
        queue.kinds.get(class.kind(estimate))
    }
}

/// Returns the logarithm of an estimate in seconds.
fn log_estimate(estimate: Duration) -> f64 {
    let estimate = if estimate.is_zero() {
        NO_ESTIMATE
    } else {
        estimate
    };
    estimate.as_secs_f64().ln()
}
