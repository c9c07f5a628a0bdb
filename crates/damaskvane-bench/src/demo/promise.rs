//! One promise with the figure measured.
//!
//! ```
//! use damaskvane_bench::demo;
//!
//! assert!(!demo::Promise::new(false, "cap", "310 of 300 permille".to_owned()).held);
//! ```

use core::fmt;

use serde::Serialize;

/// One promise with the figure measured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Promise {
    /// Whether it held.
    pub held: bool,
    /// The promise.
    pub text: &'static str,
    /// What was measured, with the bound.
    pub figure: String,
}

impl Promise {
    /// A promise as judged.
    #[must_use]
    pub const fn new(held: bool, text: &'static str, figure: String) -> Self {
        Self { held, text, figure }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.held { "held" } else { "BROKEN" };
        write!(f, "{verdict:<7} {}: {}", self.text, self.figure)
    }
}
