//! The rest that a backend server has asked this instance for: a time in which it wants no request from it.
//!
//! A rejection that names a time begins one. Each such rejection counts by itself: a later one that names a shorter time
//! does not end an earlier rest, and neither does a success. After the end the requests return by and by: many instances may
//! end their rests at the same moment.

use damaskvane_core::time::{SpanMs, TimeMs};

use crate::pool::{RetryAfter, StatementSource};

/// Step of the clock: times are rounded down, and a rest must not end earlier than the server meant.
const CLOCK_STEP: SpanMs = SpanMs::new(1);
/// Longest time in which the requests return after a rest, in milliseconds. A rest that was shorter takes its own length.
const MAX_RETURN_MS: u64 = 1_400;
/// Time by which requests of each lower level of priority return later, in milliseconds.
const PRIORITY_DELAY_MS: u64 = 100;
/// Number of levels of priority that return one after the other; the rest return with the last of them.
const DELAYED_PRIORITIES: u32 = 4;

/// What a response says of the rest that its server wants.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RestStatement {
    /// Nothing.
    #[default]
    Nothing,
    /// The server wants no request from this instance for this time.
    Rest(RetryAfter),
    /// The server rejects a request with a time that can't be read.
    Unreadable,
}

/// A rest that has begun or become longer, which the caller logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestChange {
    /// Whether the server was resting before.
    pub was_resting: bool,
    /// Time until the end of the rest.
    pub remaining: SpanMs,
}

impl RestChange {
    /// Returns the label of the change for logs and counters.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        if self.was_resting {
            "extended"
        } else {
            "begun"
        }
    }
}

/// The rest of one server towards this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerRest {
    begun_at: TimeMs,
    ends_at: TimeMs,
    /// When requests begin to return: the end of the rest, or of another instance's if that is later.
    returns_from: TimeMs,
    /// Time in which the requests return after the end.
    return_ms: u64,
    source: Option<StatementSource>,
}

impl ServerRest {
    /// Begins a rest at `now`, unless the server rests for longer already; returns the change, if any.
    pub fn begin(
        &mut self,
        now: TimeMs,
        span: SpanMs,
        source: StatementSource,
    ) -> Option<RestChange> {
        if span == SpanMs::ZERO {
            return None;
        }
        let ends_at = now + span + CLOCK_STEP;
        if ends_at <= self.ends_at.max(now) {
            return None;
        }
        let was_resting = self.is_resting(now);
        if !was_resting {
            self.begun_at = now;
        }
        // A short rest in the return from a longer one must not bring all requests back sooner.
        let return_ms = if self.is_over(now) { 0 } else { self.return_ms };
        let length_ms = ends_at.since(self.begun_at).get();
        self.ends_at = ends_at;
        self.returns_from = self.returns_from.max(ends_at);
        self.return_ms = return_ms.max(length_ms.min(MAX_RETURN_MS));
        self.source = Some(source);
        Some(RestChange {
            was_resting,
            remaining: span,
        })
    }

    /// Returns whether the server wants no request now.
    #[must_use]
    pub fn is_resting(&self, now: TimeMs) -> bool {
        now < self.ends_at
    }

    /// Returns the time until the end of the rest; zero if the server does not rest.
    #[must_use]
    pub fn remaining(&self, now: TimeMs) -> SpanMs {
        self.ends_at.since(now)
    }

    /// Lets requests return no earlier than `remaining` from now: the server rests towards another instance, and this one
    /// has sent it nothing yet.
    pub fn defer_return(&mut self, now: TimeMs, remaining: SpanMs) {
        self.returns_from = self.returns_from.max(now + remaining);
        self.return_ms = self.return_ms.max(remaining.get().min(MAX_RETURN_MS));
        self.source.get_or_insert(StatementSource::Peer);
    }

    /// Returns when requests begin to return; in the past if the server does not rest.
    #[must_use]
    pub const fn returns_from(&self) -> TimeMs {
        self.returns_from
    }

    /// Returns the share of this instance's requests of a priority that the server gets: 0 while it rests, 1 without a rest,
    /// and in between for some time after a rest.
    #[must_use]
    pub fn returned_share(&self, now: TimeMs, priority: u32) -> f64 {
        if now < self.returns_from {
            return 0.0;
        }
        if self.return_ms == 0 {
            return 1.0;
        }
        let delay_ms = PRIORITY_DELAY_MS * u64::from(priority.min(DELAYED_PRIORITIES));
        let since_end_ms = now.since(self.returns_from).get().saturating_sub(delay_ms);
        (since_end_ms as f64 / self.return_ms as f64).min(1.0)
    }

    /// Returns whether the server has rested and all requests have returned to it.
    #[must_use]
    pub fn is_over(&self, now: TimeMs) -> bool {
        self.source.is_some() && self.returned_share(now, DELAYED_PRIORITIES) >= 1.0
    }

    /// Returns for how long the server has rested, or `None` if it does not rest.
    #[must_use]
    pub fn rested(&self, now: TimeMs) -> Option<SpanMs> {
        self.is_resting(now).then(|| now.since(self.begun_at))
    }

    /// Returns how this instance learned of the rest, or `None` if the server has never asked for one.
    #[must_use]
    pub const fn source(&self) -> Option<StatementSource> {
        self.source
    }
}
