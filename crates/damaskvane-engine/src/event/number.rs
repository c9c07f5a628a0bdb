//! Numbers by which the engine and its driver, which does the I/O, identify requests and exchanges.
//!
//! An exchange is one request sent to a backend server, with its response.
//!
//! ```
//! use damaskvane_engine::event;
//!
//! assert!(event::ExchangeNumber::new(1) < event::ExchangeNumber::new(2));
//! ```

/// The number of a client's request on this instance, assigned by the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(u64);

/// The number of an exchange with a backend server, assigned by the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeNumber(u64);

impl RequestNumber {
    /// Wraps an integer.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number as an integer.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl ExchangeNumber {
    /// Wraps an integer.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number as an integer.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}
