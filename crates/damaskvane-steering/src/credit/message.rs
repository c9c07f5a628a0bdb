//! Messages about credit between a source zone, which sends its clients' requests to another zone,
//! and this other zone, the receiver.
//!
//! ```
//! use damaskvane_steering::{credit, rate};
//!
//! let request = credit::CreditRequest { number: 1, rate: rate::Rate::per_second(5) };
//! assert_eq!(request.number, 1);
//! ```

use damaskvane_core::time;

use crate::rate;

/// Request of a source zone for rate at a receiving zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CreditRequest {
    /// Number of the credit request, repeated in its grant.
    pub number: u64,
    /// Rate that the source needs.
    pub rate: rate::Rate,
}

/// Grant of rate by a receiving zone to a source zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Number of the credit request that this grant responds to.
    pub number: u64,
    /// Granted rate.
    pub rate: rate::Rate,
    /// Lifetime of the grant, counted by the source from the time of its request.
    pub lifetime: time::SpanMs,
}
