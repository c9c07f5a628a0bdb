//! Numbers that the engine and its driver use to talk about the same thing.
//!
//! ```
//! use damaskvane_engine::event;
//!
//! assert!(event::ExchangeNumber::new(1) < event::ExchangeNumber::new(2));
//! ```

/// A request on this instance; the driver counts it up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(u64);

/// An exchange with a backend server; the engine counts it up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeNumber(u64);

impl RequestNumber {
    /// Wraps a plain number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The plain number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl ExchangeNumber {
    /// Wraps a plain number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The plain number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}
