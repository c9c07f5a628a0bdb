//! Decides whether a request is sent to another server after an exchange with a backend server.
//!
//! An exchange is one request sent to a server, with the response. A first run is the first request for an object that
//! a server handles in some time, which takes longer than the next ones.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_routing::{configuration, pool, retry};
//!
//! let mut progress = retry::Progress::new(configuration::RouteKind::NonIdempotent, 2);
//! progress.record(pool::ExchangeEnd::Broken, time::SpanMs::ZERO);
//! assert!(!progress.may_try_again());
//! assert!(!progress.is_proven_not_run());
//! ```

use damaskvane_core::time::SpanMs;

use crate::configuration::{Route, RouteKind};
use crate::placement::Pick;
use crate::pool::ExchangeEnd;

/// Maximum number of unreachable servers for one request: more than fail together in a rack.
const MAX_UNREACHABLE: u32 = 8;
/// Time that unreachable servers may cost one request, in milliseconds. One that refuses a connection costs a round trip,
/// one that gives no sign a timeout.
const MAX_UNREACHABLE_MS: u64 = 1_200;

/// Multiple of the route's response time objective after which a server without a response counts as silent, not only
/// slow.
const TIMEOUT_OBJECTIVES: u64 = 2;
/// Factor by which a healthy server may exceed the usual time of a first run.
const FIRST_RUN_TIMEOUT_FACTOR: f64 = 1.4;

/// Returns the time in milliseconds to wait for a server's response before another server is tried.
///
/// Returns `None` if no other server may be tried, or if another server couldn't respond in the time that remains
/// after the timeout.
///
/// Some requests take longer than the route's objective on every server that hasn't handled their object recently. With
/// a timeout that is only a multiple of the objective, such requests would run on two healthy servers, at the time when
/// servers are busiest with first runs.
#[must_use]
pub fn attempt_timeout_ms(
    route: &Route,
    pick: &Pick,
    progress: &Progress,
    remaining_ms: u64,
) -> Option<u64> {
    let mut after_timeout = progress.clone();
    after_timeout.record(ExchangeEnd::Abandoned, SpanMs::ZERO);
    let first_ms = pick.first_ms as u64;
    let first_run_timeout_ms = (pick.first_ms * FIRST_RUN_TIMEOUT_FACTOR) as u64;
    let attempt_timeout_ms = first_run_timeout_ms.max(route.objective_ms * TIMEOUT_OBJECTIVES);
    let needed_ms = attempt_timeout_ms.saturating_add(first_ms);
    (after_timeout.may_try_again() && needed_ms <= remaining_ms).then_some(attempt_timeout_ms)
}

/// The exchanges of one request so far.
///
/// Tracks whether the request certainly has not run on any server. This is no longer certain after the first exchange
/// in which the request was written to a server that didn't report that the request was not run.
#[derive(Debug, Clone)]
pub struct Progress {
    kind: RouteKind,
    attempts: u32,
    sent: u32,
    unreachable: u32,
    unreachable_ms: u64,
    may_have_run: bool,
    was_withdrawn: bool,
}

impl Progress {
    /// Returns the state of a request that was not sent yet; `attempts` is the maximum number of servers that it may be
    /// sent to.
    #[must_use]
    pub const fn new(kind: RouteKind, attempts: u32) -> Self {
        Self {
            kind,
            attempts,
            sent: 0,
            unreachable: 0,
            unreachable_ms: 0,
            may_have_run: false,
            was_withdrawn: false,
        }
    }

    /// Records the end of an exchange that took this time.
    pub const fn record(&mut self, end: ExchangeEnd, took: SpanMs) {
        match end {
            ExchangeEnd::Withheld | ExchangeEnd::Limited | ExchangeEnd::Unavailable => {}
            ExchangeEnd::Unreachable => {
                self.unreachable += 1;
                self.unreachable_ms += took.get();
            }
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
            // The first withdrawal takes no attempt: the server neither answered nor failed.
            ExchangeEnd::Withdrawn => {
                self.sent += self.was_withdrawn as u32;
                self.may_have_run = true;
                self.was_withdrawn = true;
            }
        }
    }

    /// Returns whether another server may be tried, regardless of the remaining time and the retry budget.
    #[must_use]
    pub const fn may_try_again(&self) -> bool {
        self.sent < self.attempts
            && self.unreachable < MAX_UNREACHABLE
            && self.unreachable_ms < MAX_UNREACHABLE_MS
            && (!self.may_have_run || self.kind.may_run_again())
    }

    /// Returns whether the request certainly has not run on any server.
    #[must_use]
    pub const fn is_proven_not_run(&self) -> bool {
        !self.may_have_run
    }

    /// Returns whether the request was written to a server, with or without a response.
    #[must_use]
    pub const fn was_sent(&self) -> bool {
        self.sent > 0 || self.was_withdrawn
    }
}
