//! Straight lines through measured points.
//!
//! ```
//! use damaskvane_bench::fit;
//!
//! let line = fit::Line::through(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]).expect("three points");
//! assert_eq!((line.slope, line.intercept), (2.0, 1.0));
//! assert_eq!(line.at(420.0), 841.0);
//! ```

use serde::{Deserialize, Serialize};

/// A line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// What one more of x adds to y.
    pub slope: f64,
    /// What y is at no x.
    pub intercept: f64,
    /// The largest distance of a point from the line, as a share of the largest y.
    pub residual: f64,
    /// How many points it was fitted to.
    pub points: usize,
}

impl Line {
    /// The line through points; none for fewer than two different x.
    #[must_use]
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let joint: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = joint / spread;
        let line = Self {
            slope,
            intercept: mean_y - slope * mean_x,
            residual: 0.0,
            points: points.len(),
        };
        let residual = line.largest_residual(points);
        Some(Self { residual, ..line })
    }

    /// What the line says at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    fn largest_residual(&self, points: &[(f64, f64)]) -> f64 {
        let largest = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
        let distance = largest(
            &mut points
                .iter()
                .map(|point| (point.1 - self.at(point.0)).abs()),
        );
        let scale = largest(&mut points.iter().map(|point| point.1.abs()));
        if scale == 0.0 { 0.0 } else { distance / scale }
    }
}
