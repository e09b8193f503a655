//! Straight lines through measured points.

use serde::{Deserialize, Serialize};

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// How much of the driver.
    pub x: f64,
    /// What it cost.
    pub y: f64,
}

/// The line of least squares through some points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Cost of one more unit of the driver.
    pub slope: f64,
    /// Cost at none.
    pub intercept: f64,
    /// Standard error of the slope over the slope.
    pub slope_error: f64,
    /// The largest distance of a point from the line, over the largest cost.
    pub worst_residual: f64,
}

/// Fits a line through `points`, of which at least three must differ in `x`.
pub fn fit(points: &[Point]) -> Fit {
    let count = points.len() as f64;
    let mean = |f: fn(&Point) -> f64| points.iter().map(f).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.x), mean(|p| p.y));
    let spread: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
    let joint: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
    let slope = joint / spread;
    let intercept = mean_y - slope * mean_x;
    let residual = |p: &Point| p.y - (slope * p.x + intercept);
    let squares: f64 = points.iter().map(|p| residual(p).powi(2)).sum();
    let error = (squares / (count - 2.0) / spread).sqrt();
    let largest = points
        .iter()
        .map(|p| p.y.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let worst = points.iter().map(|p| residual(p).abs()).fold(0.0, f64::max);
    Fit {
        slope,
        intercept,
        slope_error: if slope == 0.0 {
            0.0
        } else {
            (error / slope).abs()
        },
        worst_residual: worst / largest,
    }
}
