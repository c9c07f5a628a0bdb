//! The right to dispatch a key, and the name of a try that waits.
//!
//! ```
//! use damaskvane_dispatch::home;
//!
//! assert!(home::WaiterId::new(1) < home::WaiterId::new(2));
//! ```

use crate::home::scope;

/// The right to dispatch a key once.
///
/// It can't be copied: two holders would send a booking to two backend servers, and the client would
/// find it standing twice. Only the table makes one, and finishing the key consumes it.
#[derive(Debug)]
#[must_use = "a permit that is dropped leaves its key running until it is given up as unknown"]
pub struct DispatchPermit {
    scope: scope::Scope,
    serial: u64,
}

/// Names one try that waits for the outcome of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(u64);

impl DispatchPermit {
    pub(super) const fn new(scope: scope::Scope, serial: u64) -> Self {
        Self { scope, serial }
    }

    /// The key that may be dispatched, at its home.
    #[must_use]
    pub const fn scope(&self) -> &scope::Scope {
        &self.scope
    }

    pub(super) fn into_parts(self) -> (scope::Scope, u64) {
        (self.scope, self.serial)
    }
}

impl WaiterId {
    /// Wraps a plain number.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }
}
