//! What it costs to find the team that holds a key.
//!
//! ```
//! use damaskvane_bench::keys;
//!
//! let figure = keys::measure(5, 100);
//! assert_eq!(figure.keys, 20);
//! ```

pub mod command;

mod measure;

pub use measure::{KeyFigure, measure};
