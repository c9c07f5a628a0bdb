//! What one placement decision costs, by the number of servers.
//!
//! The choice of the gateway is timed beside a plain one that scores and sorts all servers for each request, as the
//! gateway once did. A fleet grows; the time of a decision must not.
//!
//! ```
//! use damaskvane_bench::decisions;
//!
//! let figures = decisions::measure(&decisions::DecisionSettings {
//!     servers: vec![30],
//!     decisions: 100,
//!     ..decisions::DecisionSettings::default()
//! });
//! assert_eq!(figures.len(), 1);
//! ```

pub mod command;

mod measure;

pub use measure::{DecisionFigure, DecisionSettings, measure};
