//! Planner input declared by operators.
//!
//! ```
//! use damaskvane_steering::input;
//!
//! let topology = input::Topology::default();
//! assert!(topology.zones.is_empty());
//! ```

mod latency;
mod movement;
mod service;
mod topology;

pub use latency::Latency;
pub use movement::Movement;
pub use service::Service;
pub use topology::{Distance, Topology};
