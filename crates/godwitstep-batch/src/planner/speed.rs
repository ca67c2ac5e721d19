//! Relative speed of workers, estimated from the run times of equal tasks.
//!
//! Workers of the same kind differ by a quarter and more, and none of them reports it. The
//! independent tasks of a step are equal, so their run times on different workers show the
//! difference. [`super::speed_fit`] decides by it.

use crate::id::{Incarnation, JobId, Task};
use std::collections::HashMap;
use std::time::Duration;

/// Number of tasks of a step whose run times must be known before further ones are compared with them.
const MIN_SAMPLES: f64 = 2.0;
/// Weight of the prior assumption that a worker has average speed. Unit: tasks.
const PRIOR_WEIGHT: f64 = 1.0;
/// Maximum deviation that a single task counts for, so that a temporarily delayed worker is not
/// considered slow for long.
const MAX_DEVIATION: f64 = 0.5;
/// Maximum number of steps, and of workers, for which samples are kept.
const MAX_TRACKED: usize = 2_000;

#[derive(Debug, Default, Clone, Copy)]
struct Samples {
    total: f64,
    count: f64,
}

/// Speed estimates from the run times of tasks.
#[derive(Debug, Default)]
pub(super) struct WorkerSpeeds {
    /// Logarithms of the run times of each step's tasks, corrected by the estimated speed of their
    /// workers.
    steps: HashMap<(JobId, u16), Samples>,
    /// Deviations of the tasks on each worker from the mean of their step.
    workers: HashMap<Incarnation, Samples>,
}

impl WorkerSpeeds {
    /// Records the run time of an independent task that ran from start to end on one worker.
    pub fn record(&mut self, incarnation: &Incarnation, task: Task, run_time: Duration) {
        if run_time.is_zero() {
            return;
        }
        if self.steps.len() > MAX_TRACKED {
            self.steps.clear();
        }
        if self.workers.len() > MAX_TRACKED {
            self.workers.clear();
        }
        let log_run_time = run_time.as_secs_f64().ln();
        let corrected = log_run_time - self.log_slowdown(incarnation);
        let step = self.steps.entry((task.job, task.step)).or_default();
        if step.count >= MIN_SAMPLES {
            let worker = self.workers.entry(incarnation.clone()).or_default();
            let deviation = log_run_time - step.total / step.count;
            worker.add(deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION));
        }
        step.add(corrected);
    }

    /// Returns the logarithm of the run time of tasks on a worker relative to equal tasks
    /// elsewhere; 0 if unknown.
    pub fn log_slowdown(&self, incarnation: &Incarnation) -> f64 {
        self.workers.get(incarnation).map_or(0.0, |samples| {
            samples.total / (samples.count + PRIOR_WEIGHT)
        })
    }
}

impl Samples {
    fn add(&mut self, value: f64) {
        self.total += value;
        self.count += 1.0;
    }
}
