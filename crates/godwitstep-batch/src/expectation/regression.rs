//! Robust regression of the logarithm of run times on that of the estimates of one class.
//!
//! The class keeps its newest samples and fits them anew when they have changed: a median-based start, then a few
//! rounds of weighted least squares in which a sample beyond the usual spread has a weight in inverse proportion to its
//! distance (Huber). A sample therefore moves the fit by a bounded amount, however long its run took. Prior samples
//! without deviation hold the fit at "run time equals estimate" until runs say otherwise.

use super::Source;
use std::collections::VecDeque;

/// Number of newest samples that are kept. Enough for an error of an eighth of the spread, and a queue whose runs change
/// in length is learned anew within as many steps.
pub(super) const MAX_SAMPLES: usize = 64;
/// Number of samples below which the estimates are used unchanged.
pub(super) const MIN_SAMPLES: usize = 5;
/// Weight of the prior assumption that runs take as long as estimated. Unit: samples.
const PRIOR_SAMPLES: f64 = 2.0;
/// Weight of the prior assumption that the run time is proportional to the estimate. Unit: samples.
const PRIOR_SLOPE_SAMPLES: f64 = 3.0;
/// Variance of the logarithm of the estimates among the prior samples.
const PRIOR_ESTIMATE_VARIANCE: f64 = 0.25;
/// Spread of the logarithm of run times around the expectation that is assumed before any run.
const PRIOR_SPREAD: f64 = 0.4;
/// Weight of the assumed spread. Unit: samples.
const PRIOR_SPREAD_SAMPLES: f64 = 4.0;
/// Bounds of the spread. Reports arrive several times a second, so shorter differences are not seen.
const SPREAD_RANGE: (f64, f64) = (0.1, 2.0);
/// Distance from the fit, in units of the spread, up to which a sample has its full weight. The usual choice, at which
/// normally distributed samples are used with 95 % efficiency.
const HUBER_LIMIT: f64 = 1.345;
/// Distance from the fit, in units of the spread, up to which a residual counts towards the spread.
const MAX_RESIDUAL: f64 = 3.0;
/// Number of quantities that are fitted: shift and tilt.
const FITTED: f64 = 2.0;
/// Factor from the median absolute deviation to the standard deviation of a normal distribution.
const MAD_TO_SPREAD: f64 = 1.4826;
/// Distance of an estimate from the median, in units of the spread of the estimates, up to which its influence and the
/// correction grow with it.
const MAX_ESTIMATE_DISTANCE: f64 = 2.5;
/// Smallest spread of the estimates that is assumed for that limit.
const MIN_ESTIMATE_SPREAD: f64 = 0.2;
/// Number of rounds of reweighting. Fits of 64 samples change by less than 0.01 after that.
const ROUNDS: usize = 8;

/// Run time of one step, or of one run that was stopped. Logarithms of seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Sample {
    pub log_estimate: f64,
    /// Time on a worker of average speed.
    pub log_run_time: f64,
    /// Whether the run was stopped, and would have taken longer than this.
    pub censored: bool,
}

impl Sample {
    /// Returns the logarithm of the ratio of run time and estimate.
    fn log_ratio(&self) -> f64 {
        self.log_run_time - self.log_estimate
    }
}

/// Correction of the estimates of a class, and the spread that remains.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Fit {
    /// Logarithm of the ratio of run time and estimate at the median estimate.
    shift: f64,
    /// Change of that logarithm with the logarithm of the estimate: 0 if run times are proportional to estimates, -1 if
    /// estimates say nothing.
    tilt: f64,
    /// Median of the logarithms of the estimates.
    center: f64,
    /// Distance from the center up to which `tilt` applies.
    reach: f64,
    /// Standard deviation of the logarithm of run times around the expectation.
    pub spread: f64,
}

impl Fit {
    /// Returns the expected logarithm of the ratio of run time and estimate.
    pub fn correction(&self, log_estimate: f64) -> f64 {
        self.shift + self.tilt * self.offset(log_estimate)
    }

    /// Returns the distance of an estimate from the center. Estimates far beyond those of the samples are taken for the
    /// farthest one, so that the line is not extended to where no run has shown it to hold.
    fn offset(&self, log_estimate: f64) -> f64 {
        (log_estimate - self.center).clamp(-self.reach, self.reach)
    }

    fn residual(&self, sample: &Sample) -> f64 {
        sample.log_ratio() - self.correction(sample.log_estimate)
    }

    /// Fits samples; `None` if there are too few runs that ended by themselves.
    fn new<'a>(samples: &(impl Iterator<Item = &'a Sample> + Clone)) -> Option<Self> {
        let completed = samples.clone().filter(|sample| !sample.censored);
        let count = completed.clone().count();
        if count < MIN_SAMPLES {
            return None;
        }
        let center = median(completed.clone().map(|sample| sample.log_estimate));
        let distances = completed.clone();
        let distances = distances.map(|sample| (sample.log_estimate - center).abs());
        let estimate_spread = (MAD_TO_SPREAD * median(distances)).max(MIN_ESTIMATE_SPREAD);
        let mut fit = Self {
            shift: median(completed.clone().map(Sample::log_ratio)),
            tilt: 0.0,
            center,
            reach: MAX_ESTIMATE_DISTANCE * estimate_spread,
            spread: SPREAD_RANGE.1,
        };
        for _ in 0..ROUNDS {
            let deviations = completed.clone().map(|sample| fit.residual(sample).abs());
            fit.spread = (MAD_TO_SPREAD * median(deviations)).clamp(SPREAD_RANGE.0, SPREAD_RANGE.1);
            (fit.shift, fit.tilt) = fit.reweighted(samples.clone());
        }
        fit.spread = fit.remaining_spread(completed);
        Some(fit)
    }

    /// Returns the shift and the tilt by weighted least squares, with weights according to the present fit.
    fn reweighted<'a>(&self, samples: impl Iterator<Item = &'a Sample>) -> (f64, f64) {
        let slope_weight = PRIOR_SLOPE_SAMPLES * PRIOR_ESTIMATE_VARIANCE;
        let (mut weights, mut offsets, mut squares) = (PRIOR_SAMPLES, 0.0, slope_weight);
        let (mut ratios, mut products) = (0.0, 0.0);
        for sample in samples {
            let weight = self.weight(sample);
            let offset = self.offset(sample.log_estimate);
            weights += weight;
            offsets += weight * offset;
            squares += weight * offset * offset;
            ratios += weight * sample.log_ratio();
            products += weight * offset * sample.log_ratio();
        }
        // Both prior weights are positive, so the determinant is too.
        let determinant = weights * squares - offsets * offsets;
        (
            (ratios * squares - products * offsets) / determinant,
            (products * weights - ratios * offsets) / determinant,
        )
    }

    /// Returns the weight of a sample. A run that was stopped before its expected end says nothing.
    fn weight(&self, sample: &Sample) -> f64 {
        let residual = self.residual(sample);
        if sample.censored && residual <= 0.0 {
            return 0.0;
        }
        (HUBER_LIMIT * self.spread / residual.abs().max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns the standard deviation of a further run around the expectation: that of the residuals, in which far ones
    /// count as nearer, and the error of the fit itself.
    fn remaining_spread<'a>(&self, completed: impl Iterator<Item = &'a Sample>) -> f64 {
        let limit = MAX_RESIDUAL * self.spread;
        let mut total = PRIOR_SPREAD_SAMPLES * PRIOR_SPREAD * PRIOR_SPREAD;
        let mut count = 0.0;
        for sample in completed {
            total += self.residual(sample).clamp(-limit, limit).powi(2);
            count += 1.0;
        }
        let variance = total / (PRIOR_SPREAD_SAMPLES + count - FITTED);
        let of_fit = variance * FITTED / count;
        (variance + of_fit)
            .sqrt()
            .clamp(SPREAD_RANGE.0, SPREAD_RANGE.1)
    }
}

/// Samples of one class and their fit.
#[derive(Debug, Default)]
pub(super) struct Regression {
    /// At most [`MAX_SAMPLES`], the oldest first, with the step that each one comes from; `None` if an earlier
    /// decider recorded it.
    samples: VecDeque<(Option<Source>, Sample)>,
    /// `None` while there are fewer than [`MIN_SAMPLES`] completed runs.
    fit: Option<Fit>,
    /// Whether samples have changed since the last fit.
    changed: bool,
}

impl Regression {
    /// Adds the sample of a step, or replaces its earlier one: the tasks of a step are equal, so they count once. A
    /// stopped run says less than the completed ones of its step and does not replace them.
    pub fn record(&mut self, source: Source, sample: Sample) {
        let mut newest_first = self.samples.iter_mut().rev();
        if let Some((_, known)) = newest_first.find(|(other, _)| *other == Some(source)) {
            if known.censored || !sample.censored {
                *known = sample;
                self.changed = true;
            }
            return;
        }
        self.changed = true;
        self.push(Some(source), sample);
    }

    /// Adds a sample of an earlier decider.
    pub fn restore(&mut self, sample: Sample) {
        self.changed = true;
        self.push(None, sample);
    }

    fn push(&mut self, source: Option<Source>, sample: Sample) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.remove(self.evicted_by(&sample));
        }
        self.samples.push_back((source, sample));
    }

    /// Returns the index of the sample that makes room for a new one: the oldest, but stopped runs leave the class the
    /// [`MIN_SAMPLES`] completed ones without which it has no fit.
    fn evicted_by(&self, sample: &Sample) -> usize {
        let completed = self.samples().filter(|known| !known.censored).count();
        if !sample.censored || completed > MIN_SAMPLES {
            return 0;
        }
        self.samples()
            .position(|known| known.censored)
            .unwrap_or_default()
    }

    /// Fits the samples if they have changed.
    pub fn refresh(&mut self) {
        if std::mem::take(&mut self.changed) {
            let fit = Fit::new(&self.samples());
            self.fit = fit;
        }
    }

    /// Returns the fit of the last [`Regression::refresh`].
    pub const fn fit(&self) -> Option<&Fit> {
        self.fit.as_ref()
    }

    /// Returns the samples, the oldest first.
    pub fn samples(&self) -> impl ExactSizeIterator<Item = &Sample> + Clone {
        self.samples.iter().map(|(_, sample)| sample)
    }
}

/// Returns the middle value, the upper one of two; 0 if there is none.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    let middle = values.len() / 2;
    if values.is_empty() {
        return 0.0;
    }
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
