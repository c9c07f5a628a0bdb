//! Why none of a request's servers was selected.

use damaskvane_core::time::TimeMs;

use crate::placement::RefusalReason;

/// Why none of the servers that were looked at takes a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rejection {
    /// The reason that counts most among those of the servers.
    pub(super) reason: RefusalReason,
    /// Earliest time at which a server that rests takes requests again; `None` if none rests.
    pub(super) rest_ends_at: Option<TimeMs>,
}

impl Rejection {
    /// Returns the rejection by no server at all.
    pub(super) const fn none() -> Self {
        Self {
            reason: RefusalReason::NoServer,
            rest_ends_at: None,
        }
    }

    /// Adds the reason of one more server.
    ///
    /// A server that only rests counts least: the others may take the request sooner.
    pub(super) fn add(&mut self, reason: RefusalReason) {
        let counts_more = match (self.reason, reason) {
            (RefusalReason::NoServer | RefusalReason::Resting, _) => true,
            (RefusalReason::Limited, _) => false,
            (_, RefusalReason::Limited | RefusalReason::Overloaded) => true,
            _ => false,
        };
        if counts_more && reason != RefusalReason::Resting || self.reason == RefusalReason::NoServer
        {
            self.reason = reason;
        }
    }

    /// Adds a server that rests until `ends_at`.
    pub(super) fn add_resting(&mut self, ends_at: TimeMs) {
        self.add(RefusalReason::Resting);
        let earliest = self
            .rest_ends_at
            .map_or(ends_at, |known| known.min(ends_at));
        self.rest_ends_at = Some(earliest);
    }

    /// Returns whether servers are excluded for what they have said or for their recent start, so that servers which have not
    /// handled the object recently are better than no response.
    pub(super) const fn calls_for_others(&self) -> bool {
        matches!(
            self.reason,
            RefusalReason::Cold | RefusalReason::Limited | RefusalReason::Resting
        ) || self.rest_ends_at.is_some()
    }
}
