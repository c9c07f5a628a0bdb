//! One try of a non-repeatable request.
//!
//! ```
//! use damaskvane_dispatch::home;
//!
//! assert_eq!(home::Attempt::UNNUMBERED, 0);
//! ```

use damaskvane_core::{ids, time};

use crate::fingerprint;
use crate::home::{name, scope};

/// One try of a non-repeatable request, as it reached an entry instance.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The client's name for the request.
    pub key: ids::IdempotencyKey,
    /// The home that the client names on every try.
    pub home: name::Home,
    /// What is to run.
    pub fingerprint: fingerprint::Fingerprint,
    /// Which try of the client this is, from 1, or [`Attempt::UNNUMBERED`].
    ///
    /// It makes *not run* hold for the past too: a try that was delayed in the network and arrives
    /// after a later one was answered with *not run* is not dispatched.
    pub try_number: u32,
    /// The time left until the client's deadline.
    pub time_left: time::SpanMs,
}

impl Attempt {
    /// The number of a try whose client does not number its tries.
    pub const UNNUMBERED: u32 = 0;

    pub(super) fn scope(&self) -> scope::Scope {
        scope::Scope::new(self.home.instance.clone(), self.key.clone())
    }
}
