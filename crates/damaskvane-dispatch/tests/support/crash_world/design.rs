//! The designs of the quarantine that the histories compare.

use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::quarantine::{QuarantineSettings, RequestIdentity, Scope};

/// Which fingerprints of a request are suspected and by which rule, and which copies run meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Design {
    /// Only with the caller.
    CallerOnly,
    /// Only without the caller; any two crashes refuse a request.
    AnyTwoCrashes,
    /// With the caller, and without in waves.
    Waves,
    /// As waves; after two crashes each instance runs one copy at a time.
    OneCopyEach,
    /// As waves; after two crashes one instance runs one copy at a time, and copies in flight run on.
    Trials,
    /// As trials; copies in flight are withdrawn.
    TrialsWithdrawn,
    /// As trials with copies withdrawn, from the first crash on.
    TrialsFromFirst,
}

impl Design {
    /// Returns the fingerprints under which a request is suspected, with the scope of the rule.
    pub(super) fn suspects(self, request: &RequestIdentity) -> Vec<(Scope, Fingerprint)> {
        let any_caller = request.fingerprint(Scope::AnyCaller);
        match self {
            Self::CallerOnly => vec![(Scope::Caller, request.fingerprint(Scope::Caller))],
            Self::AnyTwoCrashes => vec![(Scope::Caller, any_caller)],
            _ => Scope::ALL
                .map(|scope| (scope, request.fingerprint(scope)))
                .to_vec(),
        }
    }

    /// Returns whether instances tell each other that a suspect completed.
    pub(super) const fn tells_completions(self) -> bool {
        !matches!(self, Self::CallerOnly | Self::AnyTwoCrashes)
    }

    /// Returns whether copies in flight are withdrawn once they may not run.
    pub(super) const fn withdraws(self) -> bool {
        matches!(self, Self::TrialsWithdrawn | Self::TrialsFromFirst)
    }

    pub(super) fn settings(self) -> QuarantineSettings {
        let built = QuarantineSettings::default();
        match self {
            Self::CallerOnly | Self::AnyTwoCrashes | Self::Waves => QuarantineSettings {
                trial_crashes: usize::MAX,
                ..built
            },
            Self::OneCopyEach => QuarantineSettings {
                trial_turn_ms: 0,
                ..built
            },
            Self::Trials | Self::TrialsWithdrawn => built,
            Self::TrialsFromFirst => QuarantineSettings {
                trial_crashes: 1,
                ..built
            },
        }
    }
}
