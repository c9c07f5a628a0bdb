//! The three final answers to a request: a backend server's response, *not run*, and *outcome unknown*.
//!
//! ```
//! use damaskvane_dispatch::{outcome, refusal};
//!
//! let answer: outcome::Outcome<&str> = outcome::Outcome::unknown(refusal::RefusalReason::HomeRestarted);
//! assert_eq!(answer.as_str(), "unknown");
//! ```

mod answer;
mod refused;

pub use answer::Outcome;
pub use refused::{NotRun, Unknown};
