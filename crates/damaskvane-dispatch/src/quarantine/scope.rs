//! Under which fingerprint a request is suspected: with its caller, or without.
//!
//! ```
//! use damaskvane_dispatch::{fingerprint, quarantine};
//!
//! let request = fingerprint::Fingerprint::of_fields(["GET", "/bad"], b"");
//! let one = quarantine::RequestIdentity::new(request, "10.0.0.1");
//! let other = quarantine::RequestIdentity::new(request, "10.0.0.2");
//! assert_ne!(one.fingerprint(quarantine::Scope::Caller), other.fingerprint(quarantine::Scope::Caller));
//! assert_eq!(one.fingerprint(quarantine::Scope::AnyCaller), other.fingerprint(quarantine::Scope::AnyCaller));
//! ```

use serde::{Deserialize, Serialize};

use crate::fingerprint;

/// Whether a suspect is one caller's request, or the same request of any caller.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// The request of one caller. A refusal affects this caller only, so any two crashes suffice.
    #[default]
    Caller,
    /// The same request, whoever sends it.
    ///
    /// A refusal affects every caller. When many servers crash at once, for example with their rack, requests that
    /// many callers send are in flight on several of them. Crashes therefore count only once in each wave
    /// ([`crate::quarantine::QuarantineSettings::wave_ms`]): between two waves a harmless request completes
    /// somewhere, which clears it.
    AnyCaller,
}

impl Scope {
    /// All scopes.
    pub const ALL: [Self; 2] = [Self::Caller, Self::AnyCaller];
}

/// The fingerprints of one request in both scopes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestIdentity {
    with_caller: fingerprint::Fingerprint,
    without_caller: fingerprint::Fingerprint,
}

impl RequestIdentity {
    /// Returns the identity of the request with the given fingerprint, which doesn't cover the caller.
    #[must_use]
    pub fn new(request: fingerprint::Fingerprint, caller: &str) -> Self {
        Self {
            with_caller: request.with_caller(caller),
            without_caller: request.any_caller(),
        }
    }

    /// Returns the fingerprint in a scope.
    #[must_use]
    pub const fn fingerprint(&self, scope: Scope) -> fingerprint::Fingerprint {
        match scope {
            Scope::Caller => self.with_caller,
            Scope::AnyCaller => self.without_caller,
        }
    }

    /// Returns whether the request has this fingerprint in any scope.
    #[must_use]
    pub fn has(&self, fingerprint: fingerprint::Fingerprint) -> bool {
        self.with_caller == fingerprint || self.without_caller == fingerprint
    }
}
