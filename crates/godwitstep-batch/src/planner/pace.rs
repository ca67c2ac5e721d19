//! How fast each worker is, by the lengths of equal tasks.
//!
//! Workers of one kind differ by a quarter and more, and none says so. Independent tasks of one step are
//! equal, so their lengths on different workers tell. Urgent jobs, which have little time to spare, go to
//! the faster workers and patient ones to the others.

use crate::id::{JobId, Life, Task};
use std::collections::HashMap;
use std::time::Duration;

/// Logarithm of the length of a task against its equals from which a worker counts as slow.
pub(super) const SLOW: f64 = 0.06;
/// Tasks of a step that have to be known before another one is compared with them.
const MIN_EQUALS: f64 = 2.0;
/// Weight of the assumption that a worker is like the others. Unit: tasks.
const PRIOR: f64 = 1.0;
/// Greatest deviation that one task counts for: a worker that is held up for a while is not slow for good.
const MAX_DEVIATION: f64 = 0.5;
/// Most steps and workers that are remembered.
const MAX_KEPT: usize = 2_000;

#[derive(Debug, Default, Clone, Copy)]
struct Sum {
    total: f64,
    count: f64,
}

/// What the lengths of tasks have shown.
#[derive(Debug, Default)]
pub(super) struct Pace {
    /// Logarithms of the lengths of each step's tasks, corrected by the pace of their workers.
    steps: HashMap<(JobId, u16), Sum>,
    /// Deviations of the tasks on each worker.
    workers: HashMap<Life, Sum>,
}

impl Pace {
    /// Counts an independent task that ran from its beginning to its end on one worker.
    pub fn note(&mut self, life: &Life, task: Task, length: Duration) {
        if length.is_zero() {
            return;
        }
        if self.steps.len() > MAX_KEPT {
            self.steps.clear();
        }
        if self.workers.len() > MAX_KEPT {
            self.workers.clear();
        }
        let length = length.as_secs_f64().ln();
        let corrected = length - self.of(life);
        let step = self.steps.entry((task.job, task.step)).or_default();
        if step.count >= MIN_EQUALS {
            let worker = self.workers.entry(life.clone()).or_default();
            let deviation = length - step.total / step.count;
            worker.add(deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION));
        }
        step.add(corrected);
    }

    /// Returns the logarithm of the length of tasks on a worker against their equals; 0 if not known.
    pub fn of(&self, life: &Life) -> f64 {
        self.workers
            .get(life)
            .map_or(0.0, |sum| sum.total / (sum.count + PRIOR))
    }
}

impl Sum {
    fn add(&mut self, value: f64) {
        self.total += value;
        self.count += 1.0;
    }
}
