//! Fit of a placement's speed to the time that its job has left.
//!
//! Answers a load of urgent gangs on workers of unequal speed, of which the fast ones are scarce. A gang is as slow as
//! its slowest member, so a fast worker beside usual ones is wasted. On usual workers a gang that is placed at once is
//! just in time, and one that has waited is not; fast workers should then be left for it. Urgent steps therefore get
//! the earliest expected end while there is room for another such gang on workers that fast, and otherwise the slowest
//! workers on which they are in time. Other steps always get the slowest workers on which they are in time.
//!
//! Only workers with capacity are compared, so none is kept empty because it is fast, and a wrong slowness costs no
//! more than a choice that ignores speed. State: none but the classes of a round, at most [`MAX_CLASSES`] for a pool.

use super::place::Placement;
use std::cmp::Ordering;
use std::time::Duration;

/// Maximum number of speed classes of a pool. Each one adds a cut-off to the search for a gang's workers.
pub(super) const MAX_CLASSES: usize = 4;
/// Ratio of run times, as a logarithm, up to which workers count as equally fast: 10 %. Estimates of a worker's
/// slowness from a few runs are no more accurate.
const EQUAL_LOG_RATIO: f64 = 0.095;
/// Minimum distance between the means of two classes. Unit: logarithm of the run time. Above [`EQUAL_LOG_RATIO`], so
/// that one group of workers is not divided where its values happen to cross a limit.
const MIN_CLASS_DISTANCE: f64 = 0.14;
/// Maximum absolute logarithm of a worker's relative run time, a factor of ten. Values beyond it are limited to it,
/// which also limits the number of classes before they are merged.
const MAX_LOG_SLOWDOWN: f64 = 2.3;
/// Ratio up to which expected ends count as equal, and by which a run may take longer than expected and still be in
/// time.
const END_TOLERANCE: f64 = 1.1;
/// Time from the placement to the start of the run and from its end to the record of it. A margin, not a bound.
const START_AND_REPORT_TIME: Duration = Duration::from_millis(300);
/// Number of equal gangs that must fit on workers of a speed for these not to count as scarce: the gang itself and
/// another one that may have waited.
const MIN_GANGS: u64 = 2;
/// Losses below this are compared as equal to it. Unit: weighted core-seconds. A single stop costs more.
const MIN_LOSS: f64 = 0.01;

/// Index of a speed class within its pool; 0 is the fastest one.
pub(super) type SpeedClass = usize;

/// Workers of about the same speed.
#[derive(Debug, Clone, Copy)]
struct Class {
    /// Sum of the logarithms of the workers' relative run times.
    total: f64,
    workers: f64,
    /// Largest logarithm in the class.
    upper: f64,
}

/// Speed classes of a pool, the fastest one first. There is always at least one.
#[derive(Debug, Default)]
pub(super) struct SpeedClasses {
    classes: Vec<Class>,
    /// Mean logarithm of the relative run time of all workers. Expected run times are those of the pool as a whole, so
    /// this is normal speed, whichever workers the slowness was first compared with.
    normal: f64,
}

impl SpeedClasses {
    /// Divides workers into classes by the logarithms of their relative run times. Workers that all lie within
    /// [`EQUAL_LOG_RATIO`] form one class.
    pub fn new(log_slowdowns: &[f64]) -> Self {
        let mut values: Vec<f64> = log_slowdowns.iter().copied().map(limited).collect();
        values.sort_unstable_by(f64::total_cmp);
        let mut classes: Vec<Class> = Vec::new();
        let mut lower = f64::NEG_INFINITY;
        for value in values {
            match classes.last_mut() {
                Some(class) if value - lower <= EQUAL_LOG_RATIO => class.add(value),
                _ => {
                    lower = value;
                    classes.push(Class::of(value));
                }
            }
        }
        merge_close(&mut classes);
        let all = classes.iter().copied().reduce(Class::merged);
        let normal = all.map_or(0.0, |all| all.mean());
        Self { classes, normal }
    }

    /// Returns the class of a worker of the pool.
    pub fn class_of(&self, log_slowdown: f64) -> SpeedClass {
        let value = limited(log_slowdown);
        let class = self.classes.iter().position(|class| value <= class.upper);
        class.unwrap_or(self.slowest())
    }

    /// Returns the slowest class.
    pub const fn slowest(&self) -> SpeedClass {
        self.classes.len().saturating_sub(1)
    }

    /// Returns the mean logarithm of the run time in a class relative to that in the whole pool; 0 for an unknown class.
    pub fn log_slowdown(&self, class: SpeedClass) -> f64 {
        let class = self.classes.get(class);
        class.map_or(0.0, |class| class.mean() - self.normal)
    }

    /// Returns the order in which independent tasks use the classes, by class.
    pub fn ranks(&self, budget: &RunBudget, urgent: bool) -> Vec<SpeedRank> {
        (0..=self.slowest())
            .map(|class| {
                if urgent {
                    return SpeedRank {
                        late: false,
                        steps: class,
                    };
                }
                SpeedRank {
                    late: !budget.in_time(self.log_slowdown(class)),
                    steps: self.slowest() - class,
                }
            })
            .collect()
    }
}

/// Position of a speed class among those that a task may use; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SpeedRank {
    late: bool,
    /// Distance from the preferred class.
    steps: usize,
}

impl Class {
    const fn of(value: f64) -> Self {
        Self {
            total: value,
            workers: 1.0,
            upper: value,
        }
    }

    fn add(&mut self, value: f64) {
        self.total += value;
        self.workers += 1.0;
        self.upper = value;
    }

    /// Returns the class of all workers of this class and a slower one.
    fn merged(self, slower: Self) -> Self {
        Self {
            total: self.total + slower.total,
            workers: self.workers + slower.workers,
            upper: slower.upper,
        }
    }

    fn mean(&self) -> f64 {
        self.total / self.workers
    }
}

/// Returns a valid logarithm of a relative run time; 0 if it is not a number.
fn limited(log_slowdown: f64) -> f64 {
    if log_slowdown.is_nan() {
        return 0.0;
    }
    log_slowdown.clamp(-MAX_LOG_SLOWDOWN, MAX_LOG_SLOWDOWN)
}

/// Merges the closest classes until there are few enough and all are distinct.
fn merge_close(classes: &mut Vec<Class>) {
    loop {
        let distance = |index: usize| classes[index + 1].mean() - classes[index].mean();
        let closest = (0..classes.len().saturating_sub(1))
            .min_by(|a, b| distance(*a).total_cmp(&distance(*b)));
        let Some(closest) = closest else {
            return;
        };
        if classes.len() <= MAX_CLASSES && distance(closest) >= MIN_CLASS_DISTANCE {
            return;
        }
        let slower = classes.remove(closest + 1);
        classes[closest] = classes[closest].merged(slower);
    }
}

/// How long a step is expected to take, and how long it may take.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunBudget {
    /// Expected time of a run on a worker of normal speed.
    pub run: Duration,
    /// Expected time of the steps after it on the job's critical path, on workers of normal speed.
    pub rest: Duration,
    /// Time until the job's objective; zero if it has passed.
    pub left: Duration,
}

impl RunBudget {
    /// Returns when the job is expected to end if the step starts now on workers of a speed.
    pub fn expected_end(&self, log_slowdown: f64) -> Duration {
        let run = self.run.mul_f64(limited(log_slowdown).exp());
        run.saturating_add(self.rest)
    }

    /// Returns whether the job is expected to meet its objective, with a margin, on workers of a speed.
    pub fn in_time(&self, log_slowdown: f64) -> bool {
        let end = self.expected_end(log_slowdown).mul_f64(END_TOLERANCE);
        end.saturating_add(START_AND_REPORT_TIME) <= self.left
    }
}

/// A possible placement of all members of a gang.
#[derive(Debug)]
pub(super) struct Candidate {
    pub placements: Vec<Placement>,
    /// Class of the slowest member.
    pub slowest: SpeedClass,
    /// Number of classes by which each member is faster than the slowest class of the pool, summed over the members.
    pub speed_used: usize,
    /// Summed shares of free capacity on the workers before the placement.
    pub unused_share: f64,
}

/// Chooses among placements of a gang. `gangs_within` returns how many equal gangs have room on workers of at most a
/// class.
pub(super) fn choose(
    mut candidates: Vec<Candidate>,
    classes: &SpeedClasses,
    budget: &RunBudget,
    urgent: bool,
    gangs_within: impl Fn(SpeedClass) -> u64,
) -> Option<Candidate> {
    let fastest = candidates.iter().map(|candidate| candidate.slowest).min()?;
    let expected_end = |class| budget.expected_end(classes.log_slowdown(class));
    let in_time = |class| budget.in_time(classes.log_slowdown(class));
    let saves_fast_workers = !urgent || gangs_within(fastest) < MIN_GANGS;
    // If the fastest placement is late, all are.
    if saves_fast_workers && in_time(fastest) {
        candidates.retain(|candidate| in_time(candidate.slowest));
    } else if urgent {
        let latest = expected_end(fastest).mul_f64(END_TOLERANCE);
        candidates.retain(|candidate| expected_end(candidate.slowest) <= latest);
    }
    candidates.into_iter().min_by(|a, b| {
        let speed_used = a.speed_used.cmp(&b.speed_used);
        speed_used.then_with(|| a.unused_share.total_cmp(&b.unused_share))
    })
}

/// What a placement costs that requires preemption.
#[derive(Debug, Clone, Copy)]
pub(super) struct PreemptionCost {
    /// Work that is lost. Unit: weighted core-seconds.
    pub loss: f64,
    /// Class of the slowest worker.
    pub slowest: SpeedClass,
}

impl PreemptionCost {
    /// Orders placements by loss. Of two with about the same loss, the faster one comes first.
    pub fn compare(&self, other: &Self) -> Ordering {
        let by_speed = || self.slowest.cmp(&other.slowest);
        let by_loss = self.loss.total_cmp(&other.loss);
        if by_loss.is_eq() {
            return by_speed();
        }
        let by_band = self.loss_band().total_cmp(&other.loss_band());
        by_band.then_with(by_speed).then(by_loss)
    }

    /// Returns the number of the band of losses within [`END_TOLERANCE`] that contains the loss.
    fn loss_band(&self) -> f64 {
        (self.loss.max(MIN_LOSS).ln() / END_TOLERANCE.ln()).round()
    }
}
