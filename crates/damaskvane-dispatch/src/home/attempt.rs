//! One attempt of a non-repeatable request.
//!
//! ```
//! use damaskvane_dispatch::home;
//!
//! assert_eq!(home::Attempt::UNNUMBERED, 0);
//! ```

use damaskvane_core::{ids, time};

use crate::fingerprint;
use crate::home::{name, scope};

/// One attempt of a client to run a non-repeatable request, as received by an entry instance.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The idempotency key, by which the client names the request; the same on every attempt.
    pub key: ids::IdempotencyKey,
    /// The instance and incarnation that alone may run the key; the client names them on every attempt.
    pub home: name::Home,
    /// The fingerprint of the request to run.
    pub fingerprint: fingerprint::Fingerprint,
    /// The client's number of the attempt, from 1, or [`Attempt::UNNUMBERED`].
    ///
    /// If the client numbers its attempts, the answer *not run* also covers earlier attempts: an attempt that
    /// was delayed in the network and arrives after a later one was answered with *not run* is not dispatched.
    pub try_number: u32,
    /// The remaining time until the client's deadline.
    pub time_left: time::SpanMs,
}

impl Attempt {
    /// The number of an attempt whose client does not number its attempts.
    pub const UNNUMBERED: u32 = 0;

    pub(super) fn scope(&self) -> scope::Scope {
        scope::Scope::new(self.home.instance.clone(), self.key.clone())
    }
}
