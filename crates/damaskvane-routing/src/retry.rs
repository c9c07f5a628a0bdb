//! What follows an exchange with a backend server.
//!
//! ```
//! use damaskvane_routing::{configuration, pool, retry};
//!
//! let mut progress = retry::Progress::new(configuration::RouteKind::NonIdempotent, 2);
//! progress.record(pool::ExchangeEnd::Broken);
//! assert!(!progress.may_try_again());
//! assert!(!progress.is_proven_not_run());
//! ```

use crate::configuration::{Route, RouteKind};
use crate::placement::Pick;
use crate::pool::ExchangeEnd;

/// Most servers that a request finds unreachable before it is refused: each costs a connection time-out.
const MOST_UNREACHABLE: u32 = 3;

/// A server is silent, and not only slow, after so many objectives without an answer.
const PATIENCE_OBJECTIVES: u64 = 2;
/// How much longer than usual a sound server may take for work that it does for the first time.
const PATIENCE_FACTOR: f64 = 1.4;

/// How long to wait for a server before another one may be asked instead, in milliseconds; nothing where no other
/// one may be asked, or could answer in the time that is left then.
///
/// Some work takes longer than its objective wherever it isn't remembered. Given up at a multiple of the objective
/// alone, it would be run twice on sound servers, at the time when they are busiest with such first runs.
#[must_use]
pub fn attempt_timeout_ms(
    route: &Route,
    pick: &Pick,
    progress: &Progress,
    left_ms: u64,
) -> Option<u64> {
    let mut next = progress.clone();
    next.record(ExchangeEnd::Abandoned);
    let first_ms = pick.first_ms as u64;
    let sound_ms = (pick.first_ms * PATIENCE_FACTOR) as u64;
    let attempt_timeout_ms = sound_ms.max(route.objective_ms * PATIENCE_OBJECTIVES);
    let needed_ms = attempt_timeout_ms.saturating_add(first_ms);
    (next.may_try_again() && needed_ms <= left_ms).then_some(attempt_timeout_ms)
}

/// The exchanges of one request so far.
///
/// The proof that a request has not run is kept here: it is lost with the first exchange that wrote the
/// request and can't show the server's word that it didn't run.
#[derive(Debug, Clone)]
pub struct Progress {
    kind: RouteKind,
    attempts: u32,
    sent: u32,
    unreachable: u32,
    may_have_run: bool,
}

impl Progress {
    /// Nothing was sent yet.
    #[must_use]
    pub const fn new(kind: RouteKind, attempts: u32) -> Self {
        Self {
            kind,
            attempts,
            sent: 0,
            unreachable: 0,
            may_have_run: false,
        }
    }

    /// Notes the end of an exchange.
    pub const fn record(&mut self, end: ExchangeEnd) {
        match end {
            ExchangeEnd::Unreachable => self.unreachable += 1,
            ExchangeEnd::Shed | ExchangeEnd::Misdirected => self.sent += 1,
            ExchangeEnd::Answered
            | ExchangeEnd::Failed
            | ExchangeEnd::Broken
            | ExchangeEnd::Malformed
            | ExchangeEnd::Silent
            | ExchangeEnd::Abandoned => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Whether another server may be tried, time and budget aside.
    #[must_use]
    pub const fn may_try_again(&self) -> bool {
        self.sent < self.attempts
            && self.unreachable < MOST_UNREACHABLE
            && (!self.may_have_run || self.kind.may_run_again())
    }

    /// Whether the request certainly has not run on any server.
    #[must_use]
    pub const fn is_proven_not_run(&self) -> bool {
        !self.may_have_run
    }

    /// Whether any server has got the request.
    #[must_use]
    pub const fn was_sent(&self) -> bool {
        self.sent > 0
    }
}
