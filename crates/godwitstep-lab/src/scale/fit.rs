//! Straight lines through measured points, plain and on logarithmic scales.

use serde::Serialize;

/// How a figure grows with size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Growth of the figure for each unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Exponent of size in the figure: 0 is constant, 1 is linear.
    pub exponent: f64,
    /// Standard error of the exponent.
    pub exponent_error: f64,
}

/// Fits points of size and figure.
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let (slope, slope_error) = line(points);
    let logs: Vec<(f64, f64)> = points
        .iter()
        .filter(|(x, y)| *x > 0.0 && *y > 0.0)
        .map(|(x, y)| (x.ln(), y.ln()))
        .collect();
    let (exponent, exponent_error) = line(&logs);
    Fit {
        slope,
        slope_error,
        exponent,
        exponent_error,
    }
}

/// Returns the slope of the least-squares line and its standard error.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    // A run has a handful of points, which a float counts without loss.
    #[allow(clippy::cast_precision_loss)]
    let count = points.len() as f64;
    if count < 3.0 {
        return (0.0, 0.0);
    }
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let square = |value: f64| value * value;
    let spread: f64 = points.iter().map(|point| square(point.0 - mean_x)).sum();
    let joint = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y));
    let slope = joint.sum::<f64>() / spread;
    let residual: f64 = points
        .iter()
        .map(|point| square(point.1 - mean_y - slope * (point.0 - mean_x)))
        .sum();
    (slope, (residual / (count - 2.0) / spread).sqrt())
}
