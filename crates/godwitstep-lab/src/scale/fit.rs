//! Least-squares fits of measured points, on linear and on logarithmic scales.

use serde::Serialize;

/// Growth of a figure with size.
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

/// Fits points of a size and a figure.
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let (slope, slope_error) = slope_with_error(points);
    let logs: Vec<(f64, f64)> = points
        .iter()
        .filter(|(x, y)| *x > 0.0 && *y > 0.0)
        .map(|(x, y)| (x.ln(), y.ln()))
        .collect();
    let (exponent, exponent_error) = slope_with_error(&logs);
    Fit {
        slope,
        slope_error,
        exponent,
        exponent_error,
    }
}

/// Returns the slope of the least-squares line and its standard error; zeros for fewer than three
/// points.
fn slope_with_error(points: &[(f64, f64)]) -> (f64, f64) {
    // A run has a handful of points, far below the 2^52 up to which a float is exact.
    #[allow(clippy::cast_precision_loss)]
    let count = points.len() as f64;
    if count < 3.0 {
        return (0.0, 0.0);
    }
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let square = |value: f64| value * value;
    let squares_x: f64 = points.iter().map(|point| square(point.0 - mean_x)).sum();
    let products = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y));
    let slope = products.sum::<f64>() / squares_x;
    let squared_residuals: f64 = points
        .iter()
        .map(|point| square(point.1 - mean_y - slope * (point.0 - mean_x)))
        .sum();
    (
        slope,
        (squared_residuals / (count - 2.0) / squares_x).sqrt(),
    )
}
