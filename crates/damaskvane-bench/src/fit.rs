//! Linear models through measured points, in one or several variables.
//!
//! ```
//! use damaskvane_bench::fit;
//!
//! let points = [(vec![1.0], 3.0), (vec![2.0], 5.0), (vec![3.0], 7.0)];
//! let model = fit::Model::through(&points).expect("three points");
//! assert!((model.at(&[420.0]) - 841.0).abs() < 1e-6);
//! ```

use serde::{Deserialize, Serialize};

/// Below this, a column depends on the others and no model is found.
const SMALLEST_PIVOT: f64 = 1e-9;

/// The variables of a measurement and the value measured.
pub type Point = (Vec<f64>, f64);

/// A linear model fitted by least squares.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The value where every variable is zero.
    pub intercept: f64,
    /// What one more of each variable adds.
    pub slopes: Vec<f64>,
    /// The largest distance of a point from the model, as a share of the largest value.
    pub residual: f64,
    /// How many points it was fitted to.
    pub points: usize,
}

impl Model {
    /// The model through points; none where they don't settle every variable.
    #[must_use]
    pub fn through(points: &[Point]) -> Option<Self> {
        let variables = points.first()?.0.len();
        if points.len() <= variables {
            return None;
        }
        let solution = solve(normal_equations(points, variables))?;
        let (intercept, slopes) = solution.split_first()?;
        let model = Self {
            intercept: *intercept,
            slopes: slopes.to_vec(),
            residual: 0.0,
            points: points.len(),
        };
        let residual = model.largest_residual(points);
        Some(Self { residual, ..model })
    }

    /// What the model says there.
    #[must_use]
    pub fn at(&self, variables: &[f64]) -> f64 {
        let terms = self.slopes.iter().zip(variables);
        self.intercept + terms.map(|(slope, variable)| slope * variable).sum::<f64>()
    }

    fn largest_residual(&self, points: &[Point]) -> f64 {
        let distances = points
            .iter()
            .map(|(variables, value)| (value - self.at(variables)).abs());
        let scale = points
            .iter()
            .map(|(_, value)| value.abs())
            .fold(0.0, f64::max);
        if scale == 0.0 {
            0.0
        } else {
            distances.fold(0.0, f64::max) / scale
        }
    }
}

/// One row for the constant and for each variable: coefficients, then the right-hand side.
fn normal_equations(points: &[Point], variables: usize) -> Vec<Vec<f64>> {
    let size = variables + 1;
    let mut rows = vec![vec![0.0; size + 1]; size];
    for (variables, value) in points {
        let columns: Vec<f64> = [1.0].into_iter().chain(variables.iter().copied()).collect();
        for (row, left) in rows.iter_mut().zip(&columns) {
            for (cell, right) in row.iter_mut().zip(columns.iter().chain([value])) {
                *cell += left * right;
            }
        }
    }
    rows
}

/// Gaussian elimination with the largest pivot of each column.
fn solve(mut rows: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let size = rows.len();
    for column in 0..size {
        let by_size = |left: &usize, right: &usize| {
            rows[*left][column]
                .abs()
                .total_cmp(&rows[*right][column].abs())
        };
        let pivot = (column..size).max_by(by_size)?;
        if rows[pivot][column].abs() < SMALLEST_PIVOT {
            return None;
        }
        rows.swap(column, pivot);
        let pivot_row = rows[column].clone();
        for (_, row) in rows
            .iter_mut()
            .enumerate()
            .filter(|(index, _)| *index != column)
        {
            let factor = row[column] / pivot_row[column];
            for (cell, pivot_cell) in row.iter_mut().zip(&pivot_row) {
                *cell -= factor * pivot_cell;
            }
        }
    }
    Some(
        rows.iter()
            .enumerate()
            .map(|(index, row)| row[size] / row[index])
            .collect(),
    )
}
