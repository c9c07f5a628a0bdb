//! What happens next, and what instances tell each other.

use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::quarantine::{Incident, RequestIdentity, Scope};

use super::run::Run;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    Arrive {
        is_crashing: bool,
    },
    Attempt(Run),
    End {
        run: u64,
        server: usize,
    },
    Crash {
        server: usize,
    },
    CrashUnder {
        run: u64,
        server: usize,
    },
    Withdraw {
        run: u64,
        server: usize,
    },
    Prove {
        instance: usize,
        server: String,
    },
    Deliver {
        instance: usize,
        notice: usize,
    },
    Record {
        instance: usize,
        fingerprint: Fingerprint,
    },
    Disturb,
    Heal,
    RemoveOutdated,
    FailTogether,
}

#[derive(Debug, Clone)]
pub enum Notice {
    Incident(Scope, Incident),
    Completed(RequestIdentity, u64),
}
