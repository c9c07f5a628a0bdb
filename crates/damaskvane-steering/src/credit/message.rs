//! What source and receiver tell each other.
//!
//! ```
//! use damaskvane_steering::{credit, rate};
//!
//! let request = credit::CreditRequest { number: 1, rate: rate::Rate::per_second(5) };
//! assert_eq!(request.number, 1);
//! ```

use damaskvane_core::time;

use crate::rate;

/// A source asks a receiver for rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CreditRequest {
    /// Names the ask; the grant repeats it.
    pub number: u64,
    /// The rate that the source would use.
    pub rate: rate::Rate,
}

/// A receiver grants rate to a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The ask that is answered.
    pub number: u64,
    /// The rate that may be used.
    pub rate: rate::Rate,
    /// How long, counted by the source from its ask.
    pub lifetime: time::SpanMs,
}
