//! Authority of this instance: its right to act as the owner of its backend servers.
//!
//! Another instance takes the servers over only by proof that the old owner is gone. With one kind of
//! proof the old owner can still be running without noticing: another instance fenced it (marked its
//! entry at the platform, which revokes its authority) while it was cut off from the platform. The old
//! owner must then stop acting by itself before the other instance becomes the owner. An instance
//! therefore has authority only while none of its neighbours (the instances with which it exchanges
//! heartbeats) can have fenced it: each neighbour has echoed (confirmed) a recently sent heartbeat, or
//! the platform lists the instance.
//!
//! To an instance that may be cut off from the platform, a neighbour that reads the list reports beside an
//! echo that the list names the instance, and how long ago it read the list. It sent that report after the
//! echoed heartbeat. Counted back from the time at which the echoed heartbeat was sent, the age therefore
//! gives a time no later than that of the neighbour's read, and the instance has the authority of a read of
//! its own at that time.
//!
//! One case is not covered: an instance is cut off from the platform, and from a new instance that
//! started after the cut, while both reach the backend servers and the new instance reaches the
//! platform. The old instance has no record of the new one. A zone that is cut off as a whole is not
//! such a case, because none of its instances reaches the platform.

use damaskvane_core::time::{SpanMs, TimeMs};

use crate::state::GoneProof;
use crate::view::member::Member;
use crate::view::membership::Membership;

/// Limit on the authority of this instance after the proof that a silent neighbour is gone.
///
/// The limit applies until a list of the platform shows whether the neighbour fenced this instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct LostNeighbour {
    /// Time until which this instance has authority at most.
    pub(super) authority_until: TimeMs,
    /// A list that was created at this time or later ends the limit.
    pub(super) needs_list_from: TimeMs,
}

/// End of an authority without time limit, which lasts until an event ends it.
const UNLIMITED: TimeMs = TimeMs::new(u64::MAX);

impl Membership {
    /// Returns the time until which this instance has authority, or `None` if it has none.
    #[must_use]
    pub fn authority_until(&self) -> Option<TimeMs> {
        if self.is_fenced {
            return None;
        }
        let by_platform = self
            .platform_seen_at
            .max(self.listed_by_neighbour_at)
            .filter(|_| self.is_listed)
            .map(|seen_at| seen_at + self.settings.authority_ms);
        let until = by_platform.max(self.authority_from_neighbours());
        until.filter(|until| *until > self.now)
    }

    /// Discards the echoes of heartbeats that were sent before a pause of this process.
    ///
    /// Heartbeats that arrive during a pause are delivered when the pause is over. Their content is
    /// outdated: a neighbour that could not fence other instances when it sent them may have done so
    /// since.
    pub(super) fn discard_echoes(&mut self, pause: SpanMs) {
        let lost_ms = self.settings.platform_lost_ms.get() + pause.get();
        self.resumed_at = self.now;
        let had_platform = self
            .platform_seen_at
            .is_some_and(|seen_at| self.now.since(seen_at).get() < lost_ms);
        if had_platform {
            self.require_newer_list();
        }
        for member in self.members.values_mut() {
            member.echoed_sent_at = None;
        }
    }

    /// Suspends the authority that rests on echoes of neighbours, until a list of the platform arrives
    /// that is recent enough to show whether this instance was fenced before now.
    pub(super) fn require_newer_list(&mut self) {
        self.needs_list_from = Some(self.now + self.settings.list_lag_ms);
    }

    /// Records that a silent neighbour is gone which was cut off from the platform at its last
    /// heartbeat.
    ///
    /// The neighbour may have reached the platform again and fenced this instance. This instance keeps
    /// its authority for as long as it would have if the neighbour were silent but not gone. It takes
    /// no backend servers over, because those of the neighbour may have passed to another instance.
    pub(super) fn record_lost_neighbour(&mut self, sent_at: Option<TimeMs>) {
        let authority_until = sent_at.unwrap_or(self.now) + self.settings.cut_off_authority_ms;
        let earlier = self.lost_neighbour.map(|lost| lost.authority_until);
        self.lost_neighbour = Some(LostNeighbour {
            authority_until: earlier.map_or(authority_until, |until| until.min(authority_until)),
            needs_list_from: self.now + self.settings.list_lag_ms,
        });
    }

    fn authority_from_neighbours(&self) -> Option<TimeMs> {
        if self.needs_list_from.is_some() || self.has_fenced_zone_member() {
            return None;
        }
        let lost_neighbour = self.lost_neighbour.map(|lost| Some(lost.authority_until));
        self.neighbours()
            .map(|member| self.authority_from_neighbour(member))
            .chain(lost_neighbour)
            .min()
            .unwrap_or(Some(UNLIMITED))
    }

    /// Returns whether this instance has a record of a gone instance of its zone that was fenced or
    /// left the list.
    ///
    /// Such an instance may be alive, restart and fence this instance, while none of its heartbeats
    /// arrive here.
    fn has_fenced_zone_member(&self) -> bool {
        let zone = &self.own.zone;
        let mut gone = self
            .members
            .values()
            .filter(|member| member.record.zone == *zone);
        gone.any(|member| {
            member
                .gone
                .is_some_and(|gone| gone.proof != GoneProof::Refused)
        })
    }

    /// Returns the time until which a neighbour certainly does not fence this instance; `None` if there
    /// is no such certainty, because no echo of the neighbour is recorded.
    fn authority_from_neighbour(&self, member: &Member) -> Option<TimeMs> {
        let sent_at = member.echoed_sent_at?;
        let is_cut_off_too = self.is_cut_off_too(member, sent_at);
        Some(sent_at + self.settings.authority(is_cut_off_too))
    }

    /// Returns whether a neighbour may have been without heartbeats of this instance for so long that
    /// it has fenced this instance by now.
    ///
    /// If the neighbour is then proven gone itself, the mark that it set remains, and only the platform
    /// can show the mark. A neighbour fences as soon as it has received no heartbeats for
    /// `min_fence_silence`, which may be well before its last echo is too old to give authority.
    pub(super) fn may_have_fenced_own(&self, member: &Member) -> bool {
        let min_fence_silence = self.settings.min_fence_silence();
        let lacks_echoes = member
            .echoed_sent_at
            .is_none_or(|sent_at| self.now.since(sent_at) >= min_fence_silence);
        member.is_neighbour && lacks_echoes
    }

    /// Returns whether the last heartbeat that a neighbour echoed was sent `authority_ms` or longer
    /// ago, and the neighbour could not reach the platform at its own last heartbeat.
    ///
    /// In a zone that is cut off from the platform no instance can fence another. If the last other
    /// instance of such a zone crashes, this instance keeps its authority; otherwise the zone would
    /// stop serving.
    fn is_cut_off_too(&self, member: &Member, echoed_sent_at: TimeMs) -> bool {
        let is_stale = self.now.since(echoed_sent_at) >= self.settings.authority_ms;
        is_stale && !member.could_fence(&self.settings)
    }

    /// Returns how long a member may act as an owner after its last contact with a neighbour or the
    /// platform.
    pub(super) fn max_authority(&self, member: &Member) -> SpanMs {
        self.settings
            .authority(self.may_continue_without_peers(member))
    }

    /// Returns whether a member may consider itself the last instance of a zone that is cut off from
    /// the platform.
    ///
    /// It may if it has echoed no later heartbeat of this instance than the last one which reported
    /// that this instance could not reach the platform. A member that never echoed a heartbeat may also
    /// do so if the flag in its fence record (its entry with the mark) says so.
    pub(super) fn may_continue_without_peers(&self, member: &Member) -> bool {
        let was_reported = self.last_cut_off_round.is_some_and(|round| {
            let was_known = round.sent_at + self.settings.list_lag_ms >= member.known_from;
            was_known && member.echoed_sequence <= Some(round.sequence)
        });
        was_reported || (member.echoed_sequence.is_none() && member.fence_record_goes_on_alone)
    }
}
