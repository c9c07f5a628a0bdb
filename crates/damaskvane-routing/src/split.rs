//! Distributes the requests of a route among services by weight.
//!
//! A destination is a service that receives a share of a route's requests. With random selection, its actual share
//! would differ from the declared share by several percentage points over a few hundred requests. With smooth weighted
//! round robin, each destination's share differs by at most one request.
//!
//! ```
//! use damaskvane_routing::{configuration, split};
//!
//! let destinations = [("a", 3), ("b", 1)].map(|(service, weight)| configuration::Destination {
//!     service: service.parse().expect("a valid name"),
//!     weight,
//! });
//! let mut splits = split::Splits::default();
//! let picked = (0..4).filter(|_| splits.next("r", &destinations) == Some(0)).count();
//! assert_eq!(picked, 3);
//! ```

use std::collections::HashMap;

use crate::configuration::Destination;

/// The state of the smooth weighted round robin of one route; a change of the destinations' weights resets the state.
#[derive(Debug, Default)]
struct RoundRobin {
    weights: Vec<u32>,
    current_weights: Vec<i64>,
}

impl RoundRobin {
    fn next(&mut self, destinations: &[Destination]) -> Option<usize> {
        let is_same = self.weights.len() == destinations.len()
            && self
                .weights
                .iter()
                .zip(destinations)
                .all(|(w, p)| *w == p.weight);
        if !is_same {
            self.weights = destinations
                .iter()
                .map(|destination| destination.weight)
                .collect();
            self.current_weights = vec![0; destinations.len()];
        }
        let total: i64 = self.weights.iter().map(|weight| i64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        for (current_weight, weight) in self.current_weights.iter_mut().zip(&self.weights) {
            *current_weight += i64::from(*weight);
        }
        let (best, current_weight) = self
            .current_weights
            .iter_mut()
            .enumerate()
            .max_by_key(|(index, current_weight)| (**current_weight, std::cmp::Reverse(*index)))?;
        *current_weight -= total;
        Some(best)
    }
}

/// The round-robin states of all routes, by the names of the routes.
#[derive(Debug, Default)]
pub struct Splits {
    round_robins: HashMap<String, RoundRobin>,
}

impl Splits {
    /// Returns the index of the destination for the next request of the route, or `None` if all weights are 0.
    ///
    /// A single destination receives all requests, whatever its weight is.
    pub fn next(&mut self, route: &str, destinations: &[Destination]) -> Option<usize> {
        if destinations.len() == 1 {
            return Some(0);
        }
        if let Some(round_robin) = self.round_robins.get_mut(route) {
            return round_robin.next(destinations);
        }
        let round_robin = self.round_robins.entry(route.to_owned()).or_default();
        round_robin.next(destinations)
    }
}
