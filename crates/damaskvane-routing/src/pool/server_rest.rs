//! The rest that a backend server has asked this instance for: a time in which it wants no request from it.
//!
//! A rejection that names a time begins one. Each such rejection counts by itself: a later one that names a shorter time
//! does not end an earlier rest, and neither does a success.

use damaskvane_core::time::{SpanMs, TimeMs};

use crate::pool::{RetryAfter, StatementSource};

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
        let ends_at = now + span;
        if ends_at <= self.ends_at.max(now) {
            return None;
        }
        let was_resting = self.is_resting(now);
        if !was_resting {
            self.begun_at = now;
        }
        self.ends_at = ends_at;
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
