//! What backend servers ran, compared with every answer that clients were given.
//!
//! ```
//! use damaskvane_bench::checker;
//!
//! assert!(checker::check(&[], &[]).holds());
//! ```

pub mod command;
mod verdict;

pub use verdict::{Verdict, check};
