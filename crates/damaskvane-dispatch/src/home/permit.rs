//! The permit to dispatch an idempotency key (to send its request to a backend server), and the id of an
//! attempt that waits for the outcome.
//!
//! ```
//! use damaskvane_dispatch::home;
//!
//! assert!(home::WaiterId::new(1) < home::WaiterId::new(2));
//! ```

use crate::home::scope;

/// The permit to dispatch a key once.
///
/// A permit can't be copied: two holders would send a booking to two backend servers, and the booking
/// would run twice. Only the table creates permits, and finishing the key consumes its permit.
#[derive(Debug)]
#[must_use = "the key of a dropped permit counts as running until it is abandoned as unknown"]
pub struct DispatchPermit {
    scope: scope::Scope,
    serial: u64,
}

/// The id of an attempt that waits for the outcome of an earlier attempt of its key; unique within a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(u64);

impl DispatchPermit {
    pub(super) const fn new(scope: scope::Scope, serial: u64) -> Self {
        Self { scope, serial }
    }

    /// Returns the key that may be dispatched, with its home instance.
    #[must_use]
    pub const fn scope(&self) -> &scope::Scope {
        &self.scope
    }

    pub(super) fn into_parts(self) -> (scope::Scope, u64) {
        (self.scope, self.serial)
    }
}

impl WaiterId {
    /// Returns the id with the given number.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }
}
