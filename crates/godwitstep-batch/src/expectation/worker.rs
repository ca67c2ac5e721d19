//! Slowness of workers: the logarithm of run times there relative to equal tasks elsewhere.
//!
//! Workers of the same kind differ by a quarter and more, and none of them reports it. The independent tasks of a step
//! are equal, so their run times on different workers show the difference. A gang takes as long as on its slowest worker,
//! so its time says something of that one, as precisely as the expected run time of its class is known.
//!
//! Slowness belongs to a machine, so it is kept by host, and outlives the worker's process. Other hardware under the
//! same name starts without history.

use super::Source;
use crate::demand::Demand;
use crate::id::Host;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Number of tasks of a step whose run times must be known before they are compared, at least.
const MIN_TASKS: u16 = 3;
/// Number of tasks from which on they are compared even if the step has many more.
const MAX_TASKS: u16 = 64;
/// Weight of the prior assumption that a worker has average speed. Unit: tasks.
const PRIOR_WEIGHT: f64 = 1.0;
/// Weight of the earlier tasks on a worker, at most, so that a change of its speed is tracked: three quarters of it
/// within ten tasks. Unit: tasks.
pub(super) const MAX_WEIGHT: f64 = 6.0;
/// Weight from which on the slowness of a worker counts in decisions. Of clusters of eight equal workers with a spread of
/// 0.15, 22 of 120 were placed on as unequal ones after one to three tasks on each; from 3 on 5 of 120 still were, from 4
/// on none. Unit: tasks.
const MIN_GIVEN_WEIGHT: f64 = 4.0;
/// Distance from what is known at which a task counts in full. Limits the influence of a task that takes several times as
/// long for a reason of its own.
const MAX_DEVIATION: f64 = 0.5;
/// Bounds of the slowness.
pub(super) const MAX_LOG_SLOWDOWN: f64 = 2.0;
/// Spread among the run times of equal tasks on equal workers. With the spread of a class it gives the weight of a gang
/// relative to a task that is compared with its own step.
const EQUAL_TASKS_SPREAD: f64 = 0.15;
/// Upper bound of that weight.
const MAX_GANG_WEIGHT: f64 = 0.5;
/// Difference in slowness by which one member of a gang is certain to be the slowest.
const CLEAR_DIFFERENCE: f64 = 0.1;
/// Maximum number of workers that are remembered, of about 100 bytes each.
const MAX_WORKERS: usize = 40_000;
/// Maximum number of steps with means of their own, of about 70 bytes each.
const MAX_STEPS: usize = 4_096;
/// Maximum number of tasks of all steps that wait to be compared, of 32 to 64 bytes each, or about 110 if nothing else
/// holds the name of the host.
const MAX_WAITING: usize = 32_768;

/// Digest of what a worker provides: its capacity and its labels. Other toolchains may compute another one, in which
/// case workers start without history.
pub type Hardware = u64;

/// Returns the digest of a worker's capacity and labels.
#[must_use]
pub fn hardware(capacity: &Demand, labels: &[Arc<str>]) -> Hardware {
    let mut labels: Vec<&Arc<str>> = labels.iter().collect();
    labels.sort_unstable();
    let mut hasher = DefaultHasher::new();
    (capacity.cpu, capacity.memory, capacity.accelerators).hash(&mut hasher);
    labels.hash(&mut hasher);
    hasher.finish()
}

/// A worker by its machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Host of the worker.
    pub host: Host,
    /// Check that the machine is still the same kind.
    pub hardware: Hardware,
}

/// What is known of one worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Speed {
    pub hardware: Hardware,
    /// Within ±[`MAX_LOG_SLOWDOWN`].
    pub log_slowdown: f64,
    /// Weight of the tasks that it rests on, at most [`MAX_WEIGHT`].
    pub weight: f64,
    /// Position of the last sample among all samples.
    pub used: u64,
}

impl Speed {
    const fn unknown(hardware: Hardware, mean: f64) -> Self {
        Self {
            hardware,
            log_slowdown: mean,
            weight: 0.0,
            used: 0,
        }
    }

    /// Moves the slowness by the deviation of a sample from it.
    fn update(&mut self, deviation: f64, weight: f64) {
        self.weight = (self.weight + weight).min(MAX_WEIGHT);
        let gain = weight / (self.weight + PRIOR_WEIGHT);
        let moved = self.log_slowdown + gain * deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.log_slowdown = moved.clamp(-MAX_LOG_SLOWDOWN, MAX_LOG_SLOWDOWN);
    }
}

/// Mean of the logarithms of the run times of a step's tasks, corrected by the slowness of their workers.
///
/// The tasks are compared with the mean once half of them have ended. Those that end first are on fast workers, which
/// would count as usual ones if they were the measure.
#[derive(Debug, Default, Clone)]
struct StepMean {
    total: f64,
    count: f64,
    used: u64,
    /// Tasks that have not been compared yet, at most [`MAX_TASKS`].
    waiting: Vec<(Machine, f64)>,
    /// Whether tasks are compared at once.
    compared: bool,
}

impl StepMean {
    fn mean(&self) -> f64 {
        self.total / self.count
    }

    /// Adds a task. A task far from the others counts as if it was nearer.
    fn add(&mut self, log_run_time: f64) {
        let counted = if self.count > 0.0 {
            let mean = self.mean();
            log_run_time.clamp(mean - MAX_DEVIATION, mean + MAX_DEVIATION)
        } else {
            log_run_time
        };
        self.total += counted;
        self.count += 1.0;
    }
}

/// Slowness of all workers.
#[derive(Debug, Default)]
pub(super) struct Workers {
    steps: HashMap<Source, StepMean>,
    by_host: HashMap<Host, Speed>,
    /// Number of tasks that wait to be compared in all steps, at most [`MAX_WAITING`].
    waiting: usize,
    /// Sum of the slowness of all workers in `by_host`.
    total: f64,
    /// Number of samples so far.
    samples: u64,
}

impl Workers {
    /// Returns the mean slowness of all known workers. It need not be 0, as tasks are compared with those that other
    /// workers happened to run of the same step.
    #[allow(clippy::cast_precision_loss)] // At most [`MAX_WORKERS`].
    pub fn mean(&self) -> f64 {
        if self.by_host.is_empty() {
            return 0.0;
        }
        self.total / self.by_host.len() as f64
    }

    /// Returns the slowness of a worker relative to the mean of all known ones; 0 if it is unknown or rests on less than
    /// [`MIN_GIVEN_WEIGHT`].
    pub fn relative(&self, host: &str, hardware: Hardware) -> f64 {
        let known = self.by_host.get(host);
        known
            .filter(|speed| speed.hardware == hardware)
            .map_or(0.0, |speed| self.given(speed))
    }

    /// Returns the same for the worker that was last known on a host.
    pub fn relative_of_host(&self, host: &str) -> f64 {
        let known = self.by_host.get(host);
        known.map_or(0.0, |speed| self.given(speed))
    }

    fn given(&self, speed: &Speed) -> f64 {
        if speed.weight < MIN_GIVEN_WEIGHT {
            return 0.0;
        }
        speed.log_slowdown - self.mean()
    }

    /// Returns the slowness of a worker as samples are compared; the mean if unknown.
    fn log_slowdown(&self, host: &str, hardware: Hardware) -> f64 {
        self.by_host
            .get(host)
            .filter(|speed| speed.hardware == hardware)
            .map_or_else(|| self.mean(), |speed| speed.log_slowdown)
    }

    /// Records an independent task of a step of `tasks` equal ones. Returns the mean of its step so far, corrected by the
    /// workers' slowness.
    pub fn record_task(
        &mut self,
        source: Source,
        tasks: u16,
        machine: &Machine,
        log_run_time: f64,
    ) -> f64 {
        let corrected = log_run_time - self.log_slowdown(&machine.host, machine.hardware);
        self.samples += 1;
        let used = self.samples;
        let step = self.steps.entry(source).or_default();
        step.add(corrected);
        step.used = used;
        step.waiting.push((machine.clone(), log_run_time));
        self.waiting += 1;
        let needed = (tasks / 2).clamp(MIN_TASKS, MAX_TASKS);
        step.compared |= step.waiting.len() >= usize::from(needed);
        let mean = step.mean();
        let comparable = if step.compared {
            std::mem::take(&mut step.waiting)
        } else {
            Vec::new()
        };
        self.waiting -= comparable.len();
        for (machine, log_run_time) in comparable {
            let corrected = log_run_time - self.log_slowdown(&machine.host, machine.hardware);
            self.update(&machine, corrected - mean, 1.0);
        }
        self.limit_steps();
        self.limit_waiting();
        mean
    }

    /// Records the deviation of a gang, or of a task without equals, from the time that its class and its slowest worker
    /// let expect. `spread` is that of its class.
    pub fn record_deviation(&mut self, machines: &[Machine], deviation: f64, spread: f64) {
        let weight = (EQUAL_TASKS_SPREAD / spread).powi(2).min(MAX_GANG_WEIGHT);
        let slowest = self.slowest(machines);
        let likelihood = |machine: &Machine| {
            let slowdown = self.log_slowdown(&machine.host, machine.hardware);
            ((slowdown - slowest) / CLEAR_DIFFERENCE).exp()
        };
        let likelihoods: Vec<f64> = machines.iter().map(likelihood).collect();
        // At least 1, as one of the machines is the slowest.
        let total: f64 = likelihoods.iter().sum();
        for (machine, likelihood) in machines.iter().zip(likelihoods) {
            self.update(machine, deviation, weight * likelihood / total);
        }
    }

    /// Returns the slowness of the slowest of several workers; 0 if there is none.
    pub fn slowest(&self, machines: &[Machine]) -> f64 {
        machines
            .iter()
            .map(|machine| self.log_slowdown(&machine.host, machine.hardware))
            .reduce(f64::max)
            .unwrap_or(0.0)
    }

    fn update(&mut self, machine: &Machine, deviation: f64, weight: f64) {
        self.samples += 1;
        let known = self.by_host.get(&machine.host).copied();
        let same = known.filter(|speed| speed.hardware == machine.hardware);
        let mut speed = same.unwrap_or_else(|| Speed::unknown(machine.hardware, self.mean()));
        speed.update(deviation, weight);
        speed.used = self.samples;
        self.insert(machine.host.clone(), speed);
        if self.by_host.len() > MAX_WORKERS {
            let oldest = middle(self.by_host.values().map(|speed| speed.used));
            self.by_host.retain(|_, speed| speed.used > oldest);
            self.total = self.by_host.values().map(|speed| speed.log_slowdown).sum();
        }
    }

    fn insert(&mut self, host: Host, speed: Speed) {
        self.total += speed.log_slowdown;
        if let Some(replaced) = self.by_host.insert(host, speed) {
            self.total -= replaced.log_slowdown;
        }
    }

    /// Drops the means of the steps that have been without a sample for longest.
    fn limit_steps(&mut self) {
        if self.steps.len() > MAX_STEPS {
            let oldest = middle(self.steps.values().map(|step| step.used));
            self.steps.retain(|_, step| step.used > oldest);
            self.count_waiting();
        }
    }

    /// Gives up comparing the tasks of the steps that have been without a sample for longest. Their means stay.
    fn limit_waiting(&mut self) {
        if self.waiting > MAX_WAITING {
            let waiting = self.steps.values().filter(|step| !step.waiting.is_empty());
            let oldest = middle(waiting.map(|step| step.used));
            for step in self.steps.values_mut().filter(|step| step.used <= oldest) {
                step.waiting = Vec::new();
            }
            self.count_waiting();
        }
    }

    fn count_waiting(&mut self) {
        self.waiting = self.steps.values().map(|step| step.waiting.len()).sum();
    }

    /// Restores a worker from a record.
    pub fn restore(&mut self, host: Host, speed: Speed) {
        self.samples = self.samples.max(speed.used);
        self.insert(host, speed);
    }

    /// Returns all workers of which something is known.
    pub fn iter(&self) -> impl Iterator<Item = (&Host, &Speed)> {
        self.by_host.iter()
    }
}

/// Returns the middle one of several numbers; 0 if there is none.
fn middle(numbers: impl Iterator<Item = u64>) -> u64 {
    let mut numbers: Vec<u64> = numbers.collect();
    let index = numbers.len() / 2;
    if numbers.is_empty() {
        return 0;
    }
    *numbers.select_nth_unstable(index).1
}
