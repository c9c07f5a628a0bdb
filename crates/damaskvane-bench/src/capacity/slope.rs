//! Measured points of a quantity and the line through them.
//!
//! ```
//! use damaskvane_bench::capacity;
//!
//! let memory = capacity::Quantity::named("memory").expect("it is measured");
//! let slope = capacity::Slope::new(memory, vec![(6.0, 8.0), (12.0, 8.5), (40.0, 10.0)]);
//! assert_eq!(slope.within_budget(), Some(true));
//! ```

use serde::Serialize;
use serde_json::json;

use crate::capacity::Quantity;
use crate::fit;

/// Measured points of a quantity and the line through them.
#[derive(Debug, Clone, PartialEq)]
pub struct Slope {
    /// What was measured.
    pub quantity: Quantity,
    /// Size and measured value.
    pub points: Vec<(f64, f64)>,
    /// The line, where there are two sizes at least.
    pub line: Option<fit::Line>,
}

impl Slope {
    /// Fits a line through the points.
    #[must_use]
    pub fn new(quantity: Quantity, points: Vec<(f64, f64)>) -> Self {
        let line = fit::Line::through(&points);
        Self {
            quantity,
            points,
            line,
        }
    }

    /// What the line says at the target size.
    #[must_use]
    pub fn at_target(&self) -> Option<f64> {
        self.line.map(|line| line.at(self.quantity.size.target))
    }

    /// Whether that is within the budget; none without a line or a budget.
    #[must_use]
    pub fn within_budget(&self) -> Option<bool> {
        Some(self.at_target()? <= self.quantity.budget?)
    }

    /// The slope as JSON.
    #[must_use]
    pub fn to_json(&self) -> serde_json::Value {
        json!({
            "quantity": self.quantity.key,
            "unit": self.quantity.unit,
            "size": self.quantity.size.name,
            "target": self.quantity.size.target,
            "points": self.points,
            "line": self.line,
            "at_target": self.at_target(),
            "budget": self.quantity.budget,
            "within_budget": self.within_budget(),
        })
    }
}

impl Serialize for Slope {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.to_json().serialize(serializer)
    }
}

/// The slope of a named quantity, if it is one.
pub(crate) fn named(key: &str, points: Vec<(f64, f64)>) -> Option<Slope> {
    Quantity::named(key).map(|quantity| Slope::new(quantity, points))
}
