//! The `blocks` sub-command: the client-block table against a binary search and a hash map.
//!
//! ```
//! use damaskvane_bench::blocks;
//!
//! let figures = blocks::measure(&blocks::BlockSettings { blocks: 1_000, look_ups: 100, seed: 1 });
//! assert_eq!(figures.len(), 3);
//! ```

pub mod command;

mod measure;

pub use measure::{BlockSettings, Figures, measure};
