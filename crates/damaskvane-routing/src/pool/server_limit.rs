//! What is known of the limit that a backend server names for its requests, in sum over all instances.
//!
//! A server names its limit in each response for as long as the limit holds. Responses to requests that were sent
//! concurrently arrive in any order, so that the one to the request that was sent last decides.

use damaskvane_core::time::{SpanMs, TimeMs};

use crate::limit::RequestRate;

/// Time by which another instance's report that a limit has ended has to be newer than what is known, in milliseconds: the
/// delay of the report counts as none.
const REPORT_DELAY_MS: u64 = 100;

/// What a response says of the limit of the server that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitStatement {
    /// Nothing: there is no response, or it is not certain that the server made it.
    #[default]
    Nothing,
    /// The server takes requests without a limit.
    Unlimited,
    /// The server takes this rate of requests from all instances together.
    Limited(RequestRate),
    /// The server names a limit that is no rate.
    Unreadable,
}

/// A change of what is known, which the caller logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// Limit that was known before.
    pub before: Option<RequestRate>,
    /// Limit that is known now; `None` if the server takes requests without a limit.
    pub after: Option<RequestRate>,
}

impl LimitChange {
    /// Returns the label of the change for logs and counters.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match (self.before, self.after) {
            (None, _) => "named",
            (Some(_), None) => "ended",
            (Some(before), Some(after)) if after < before => "lowered",
            (Some(_), Some(_)) => "raised",
        }
    }
}

/// The limit of one server, as far as this instance knows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLimit {
    rate: Option<RequestRate>,
    /// When the last request was sent whose response decided on the limit; `None` if nothing is known of a limit.
    as_of: Option<TimeMs>,
    /// Start of the server's incarnation; responses to earlier requests may be another one's.
    incarnation_at: TimeMs,
    learned_at: TimeMs,
    /// Whether another instance has reported this limit.
    is_known_to_peers: bool,
    /// Until when requests of [`Self::refused_priority`] and less urgent ones get no token.
    refused_until: TimeMs,
    refused_priority: u32,
}

impl ServerLimit {
    /// Returns the knowledge about an incarnation of a server of which nothing was heard yet. It began at
    /// `incarnation_at`, or 0 if it may have begun at any time.
    #[must_use]
    pub const fn unknown(incarnation_at: TimeMs) -> Self {
        Self {
            rate: None,
            as_of: None,
            incarnation_at,
            learned_at: incarnation_at,
            is_known_to_peers: false,
            refused_until: TimeMs::ZERO,
            refused_priority: u32::MAX,
        }
    }

    /// Returns the limit, or `None` if the server is not known to have one.
    #[must_use]
    pub const fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns when the request was sent whose response decided on the limit or ended it, or `None` if nothing is known of
    /// a limit.
    #[must_use]
    pub const fn as_of(&self) -> Option<TimeMs> {
        self.as_of
    }

    /// Returns the time since the request was sent whose response decided on the limit; 0 if nothing is known of a limit.
    #[must_use]
    pub fn age(&self, now: TimeMs) -> SpanMs {
        self.as_of.map_or(SpanMs::ZERO, |as_of| now.since(as_of))
    }

    /// Returns whether a response to a request that was sent at `sent_at` is of the known incarnation of the server.
    #[must_use]
    pub fn is_of_incarnation(&self, sent_at: TimeMs) -> bool {
        sent_at >= self.incarnation_at
    }

    /// Returns when this instance learned of the limit, or that there is none.
    #[must_use]
    pub const fn learned_at(&self) -> TimeMs {
        self.learned_at
    }

    /// Applies a response to a request that was sent at `sent_at`; returns the change, if any.
    ///
    /// A response to an earlier request can't end or raise a limit, which was named since. It can impose one: a request
    /// that runs for long may be the first one whose response names it.
    pub fn apply_response(
        &mut self,
        now: TimeMs,
        sent_at: TimeMs,
        statement: LimitStatement,
    ) -> Option<LimitChange> {
        if !self.is_of_incarnation(sent_at) {
            return None;
        }
        let is_later = self.as_of.is_none_or(|as_of| sent_at > as_of);
        let is_earlier = self.as_of.is_some_and(|as_of| sent_at < as_of);
        let rate = match statement {
            LimitStatement::Nothing | LimitStatement::Unreadable => return None,
            LimitStatement::Unlimited if !is_later || self.rate.is_none() => return None,
            LimitStatement::Unlimited => None,
            LimitStatement::Limited(rate) => {
                let is_lower = self.rate.is_none_or(|known| rate < known);
                if is_earlier && !is_lower {
                    return None;
                }
                Some(rate)
            }
        };
        self.as_of = self.as_of.max(Some(sent_at));
        self.replace(now, rate)
    }

    /// Applies another instance's report, made of a response to a request that was sent at `sent_at`; `None` reports
    /// that the server has no limit. Returns the change, if any.
    pub fn apply_report(
        &mut self,
        now: TimeMs,
        sent_at: TimeMs,
        rate: Option<RequestRate>,
    ) -> Option<LimitChange> {
        self.is_known_to_peers |= rate == self.rate;
        let delay = SpanMs::new(if rate.is_none() { REPORT_DELAY_MS } else { 0 });
        let is_late = self.as_of.is_some_and(|as_of| sent_at <= as_of + delay);
        if !self.is_of_incarnation(sent_at) || is_late {
            return None;
        }
        self.as_of = Some(sent_at);
        let change = self.replace(now, rate);
        self.is_known_to_peers = true;
        change
    }

    /// Returns whether a limit is known to have ended.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        self.rate.is_none() && self.as_of.is_some()
    }

    /// Returns whether this instance is the first one that is known to have learned of the limit.
    #[must_use]
    pub const fn is_news(&self) -> bool {
        !self.is_known_to_peers
    }

    /// Records that this instance has reported the limit to the others.
    pub const fn record_reported(&mut self) {
        self.is_known_to_peers = true;
    }

    /// Records that a request of this priority got no token, and that no token is expected before `until`.
    pub fn record_refused(&mut self, until: TimeMs, priority: u32) {
        self.refused_until = until;
        self.refused_priority = priority;
    }

    /// Returns whether a request of this priority may get a token: the server has no limit, or no request as urgent was
    /// refused one lately.
    #[must_use]
    pub fn may_have_token(&self, now: TimeMs, priority: u32) -> bool {
        self.rate.is_none() || now >= self.refused_until || priority < self.refused_priority
    }

    fn replace(&mut self, now: TimeMs, rate: Option<RequestRate>) -> Option<LimitChange> {
        let before = core::mem::replace(&mut self.rate, rate);
        if before == rate {
            return None;
        }
        self.learned_at = now;
        self.is_known_to_peers = false;
        self.refused_until = TimeMs::ZERO;
        Some(LimitChange {
            before,
            after: rate,
        })
    }
}
