//! Turns the weights of a route into a sequence of services.
//!
//! A random draw would miss a declared share by several points over a few hundred requests; the smooth
//! weighted round robin misses it by at most one request for each destination.
//!
//! ```
//! use damaskvane_routing::{configuration, split};
//!
//! let parts = [("a", 3), ("b", 1)].map(|(service, weight)| configuration::Destination {
//!     service: service.parse().expect("a valid name"),
//!     weight,
//! });
//! let mut splits = split::Splits::default();
//! let picked = (0..4).filter(|_| splits.next("r", &parts) == Some(0)).count();
//! assert_eq!(picked, 3);
//! ```

use std::collections::HashMap;

use crate::configuration::Destination;

#[derive(Debug, Default)]
struct Sequence {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl Sequence {
    fn next(&mut self, parts: &[Destination]) -> Option<usize> {
        let is_same = self.weights.len() == parts.len()
            && self.weights.iter().zip(parts).all(|(w, p)| *w == p.weight);
        if !is_same {
            self.weights = parts.iter().map(|part| part.weight).collect();
            self.credits = vec![0; parts.len()];
        }
        let total: i64 = self.weights.iter().map(|weight| i64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += i64::from(*weight);
        }
        let (best, credit) = self
            .credits
            .iter_mut()
            .enumerate()
            .max_by_key(|(index, credit)| (**credit, std::cmp::Reverse(*index)))?;
        *credit -= total;
        Some(best)
    }
}

/// The sequences of all routes, by the routes' names.
#[derive(Debug, Default)]
pub struct Splits {
    sequences: HashMap<String, Sequence>,
}

impl Splits {
    /// The index of the destination that takes the route's next request; `None` where no destination
    /// has a weight.
    pub fn next(&mut self, route: &str, parts: &[Destination]) -> Option<usize> {
        if parts.len() == 1 {
            return Some(0);
        }
        if let Some(sequence) = self.sequences.get_mut(route) {
            return sequence.next(parts);
        }
        let sequence = self.sequences.entry(route.to_owned()).or_default();
        sequence.next(parts)
    }
}
