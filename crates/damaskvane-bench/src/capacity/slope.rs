//! Measured points of a quantity and the linear model through them.
//!
//! ```
//! use damaskvane_bench::capacity;
//!
//! let blocks = capacity::Quantity::named("block-memory").expect("it is measured");
//! let slope = capacity::Slope::new(blocks, vec![(vec![1e5], 1.0), (vec![1e6], 8.0)]);
//! assert_eq!(slope.within_budget(), Some(true));
//! ```

use serde_json::json;

use crate::capacity::Quantity;
use crate::fit;

/// Measured points of a quantity and the linear model through them.
#[derive(Debug, Clone, PartialEq)]
pub struct Slope {
    /// What was measured.
    pub quantity: Quantity,
    /// Sizes and measured values.
    pub points: Vec<fit::Point>,
    /// The model, where there are enough sizes.
    pub model: Option<fit::Model>,
}

impl Slope {
    /// Fits a model through the points.
    #[must_use]
    pub fn new(quantity: Quantity, points: Vec<fit::Point>) -> Self {
        let model = fit::Model::through(&points);
        Self {
            quantity,
            points,
            model,
        }
    }

    /// What the model says at the target size.
    #[must_use]
    pub fn at_target(&self) -> Option<f64> {
        let model = self.model.as_ref()?;
        Some(model.at(self.quantity.size.targets))
    }

    /// Whether that is within the budget; none without a model or a budget.
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
            "sizes": self.quantity.size.names,
            "targets": self.quantity.size.targets,
            "points": self.points,
            "model": self.model,
            "at_target": self.at_target(),
            "budget": self.quantity.budget,
            "within_budget": self.within_budget(),
        })
    }
}

/// The slope of a named quantity in one variable, if it is one.
pub(crate) fn named(key: &str, points: Vec<(f64, f64)>) -> Option<Slope> {
    let points = points.into_iter().map(|(size, value)| (vec![size], value));
    Quantity::named(key).map(|quantity| Slope::new(quantity, points.collect()))
}
