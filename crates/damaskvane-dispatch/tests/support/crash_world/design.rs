//! The designs of the quarantine that the histories compare.

use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::quarantine::{RequestIdentity, Scope};

/// Which fingerprints of a request are suspected, and by which rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Design {
    /// Only with the caller.
    CallerOnly,
    /// Only without the caller; any two crashes refuse a request.
    AnyTwoCrashes,
    /// With the caller, and without in waves.
    Waves,
}

impl Design {
    /// Returns the fingerprints under which a request is suspected, with the scope of the rule.
    pub(super) fn suspects(self, request: &RequestIdentity) -> Vec<(Scope, Fingerprint)> {
        let any_caller = request.fingerprint(Scope::AnyCaller);
        match self {
            Self::CallerOnly => vec![(Scope::Caller, request.fingerprint(Scope::Caller))],
            Self::AnyTwoCrashes => vec![(Scope::Caller, any_caller)],
            Self::Waves => Scope::ALL
                .map(|scope| (scope, request.fingerprint(scope)))
                .to_vec(),
        }
    }
}
