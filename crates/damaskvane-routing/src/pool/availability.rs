//! What a backend server has said of itself that decides whether it gets requests: its limit, its rest, and that it leaves.

use damaskvane_core::time::TimeMs;

use crate::pool::{
    LimitChange, RestChange, RestStatement, ServerLimit, ServerReport, ServerRest, StatementSource,
};

/// The changes that a response has made to what is known of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AvailabilityChanges {
    /// Change of the limit.
    pub limit: Option<LimitChange>,
    /// Change of the rest.
    pub rest: Option<RestChange>,
    /// Whether this instance has learned now that the server leaves.
    pub has_begun_to_leave: bool,
}

/// Why a server gets no request now, by what it has said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// It leaves.
    Leaving,
    /// It wants no request from this instance for some time.
    Resting,
}

impl Unavailable {
    /// Returns the label for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Resting => "resting",
        }
    }
}

/// What one incarnation of a server has said of its availability.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Availability {
    /// Limit on the requests of all instances together.
    pub limit: ServerLimit,
    /// Time in which the server wants no request from this instance.
    pub rest: ServerRest,
    is_leaving: bool,
    /// Whether another instance has reported that the server leaves, or this one has.
    is_leaving_reported: bool,
}

impl Availability {
    /// Returns the knowledge about an incarnation of which nothing was heard yet. It began at `incarnation_at`, or 0 if it
    /// may have begun at any time.
    #[must_use]
    pub fn unknown(incarnation_at: TimeMs) -> Self {
        Self {
            limit: ServerLimit::unknown(incarnation_at),
            rest: ServerRest::default(),
            is_leaving: false,
            is_leaving_reported: false,
        }
    }

    /// Returns whether the server has said that it leaves.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records that the server leaves; returns whether that is news.
    pub const fn learn_leaving(&mut self) -> bool {
        !core::mem::replace(&mut self.is_leaving, true)
    }

    /// Records that another instance has reported that the server leaves; returns whether that is news.
    pub const fn learn_leaving_from_peer(&mut self) -> bool {
        self.is_leaving_reported = true;
        self.learn_leaving()
    }

    /// Returns whether this instance is to report to the others that the server leaves, and records that it does.
    pub const fn take_leaving_report(&mut self) -> bool {
        self.is_leaving && !core::mem::replace(&mut self.is_leaving_reported, true)
    }

    /// Returns whether the server has said anything that holds.
    #[must_use]
    pub fn has_statements(&self) -> bool {
        self.limit.rate().is_some() || self.rest != ServerRest::default() || self.is_leaving
    }

    /// Checks that the server takes a request now; each way to a server passes this check at the moment of writing.
    ///
    /// # Errors
    ///
    /// Returns the reason why the server gets no request.
    pub fn check(&self, now: TimeMs) -> Result<(), Unavailable> {
        if self.rest.is_resting(now) {
            return Err(Unavailable::Resting);
        }
        if self.is_leaving {
            return Err(Unavailable::Leaving);
        }
        Ok(())
    }

    /// Applies what the response to a request that was sent at `sent_at` says.
    ///
    /// What another server has said at the address, or an earlier incarnation, counts for nothing.
    pub fn apply_response(
        &mut self,
        now: TimeMs,
        sent_at: TimeMs,
        report: &ServerReport,
        source: StatementSource,
    ) -> AvailabilityChanges {
        if report.is_other_server || !self.limit.is_of_incarnation(sent_at) {
            return AvailabilityChanges::default();
        }
        let rest = match report.rest {
            RestStatement::Rest(after) => self.rest.begin(now, after.span(), source),
            RestStatement::Nothing | RestStatement::Unreadable => None,
        };
        AvailabilityChanges {
            limit: self
                .limit
                .apply_response(now, sent_at, report.limit_by(source)),
            rest,
            has_begun_to_leave: report.is_leaving && self.learn_leaving(),
        }
    }
}
