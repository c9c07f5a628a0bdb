//! The platform's list as read by a neighbour, for an instance that can't read it.
//!
//! The neighbours of an instance are those with which it exchanges heartbeats. A neighbour echoes (confirms)
//! a heartbeat by returning its sequence number. An instance has authority, the right to act as the owner
//! of backend servers, for a limited time after the platform's list named it.

use damaskvane_core::{ids, time};

use crate::heartbeat::Heartbeat;
use crate::view::member::Member;
use crate::view::membership::Membership;

/// Divisor of `authority_ms` that gives the age of a neighbour's list from which on the neighbour is told
/// what this instance read.
const AUTHORITY_PARTS: u64 = 2;

impl Membership {
    /// Returns the incarnation of a neighbour to name in a heartbeat to it; `None` if the neighbour reads
    /// the list itself, or the last copy that this instance read did not name its latest incarnation.
    pub(super) fn listed_incarnation(&self, member: &Member) -> Option<ids::Incarnation> {
        let heartbeat = &member.last_received.as_ref()?.heartbeat;
        let min_age_ms = self.settings.authority_ms.get() / AUTHORITY_PARTS;
        let reads_list = heartbeat
            .platform_age_ms
            .is_some_and(|age| age.get() < min_age_ms);
        let listed_at = member.listed_at?;
        let is_listed = Some(listed_at) == self.platform_seen_at;
        (is_listed && !reads_list).then_some(member.incarnation)
    }

    /// Returns the age of the list that named this incarnation when the sender of a heartbeat read it.
    pub(super) fn list_age_by_neighbour(&self, heartbeat: &Heartbeat) -> Option<time::SpanMs> {
        let is_own = heartbeat.listed_incarnation == Some(self.own.incarnation);
        heartbeat.platform_age_ms.filter(|_| is_own)
    }

    /// Records that the list named this instance, by a heartbeat that echoes one sent at `sent_at`.
    ///
    /// The neighbour read the list `list_age` before it sent its heartbeat, which was at `sent_at` or
    /// later.
    pub(super) fn record_list_of_neighbour(
        &mut self,
        sent_at: time::TimeMs,
        list_age: Option<time::SpanMs>,
    ) {
        let listed_at_ms = list_age.and_then(|age| sent_at.get().checked_sub(age.get()));
        let listed_at = listed_at_ms.map(time::TimeMs::new);
        self.listed_by_neighbour_at = self.listed_by_neighbour_at.max(listed_at);
    }
}
