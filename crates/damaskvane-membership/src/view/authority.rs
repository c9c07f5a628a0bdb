//! Whether this instance may use what it owns.
//!
//! Another instance takes over only by proof. Three of the proofs leave the old owner alive and unaware:
//! it was marked in the platform, or dropped from the list, while it was cut off. It must then stop by
//! itself, earlier than the other begins. It goes on only while none of its neighbours can have marked
//! it: each says that it heard a heartbeat sent lately, or the platform shows no mark.

use damaskvane_core::time::TimeMs;

use crate::view::member::Member;
use crate::view::membership::Membership;

/// What stays for ever unless something happens.
const FOREVER: TimeMs = TimeMs::new(u64::MAX);

impl Membership {
    /// Until when this instance may use what it owns; nothing if it may not.
    #[must_use]
    pub fn authority_until(&self) -> Option<TimeMs> {
        if self.is_fenced {
            return None;
        }
        let by_platform = self
            .platform_seen_at
            .filter(|_| self.is_listed)
            .map(|seen_at| seen_at + self.settings.authority_ms);
        let until = by_platform.max(self.authority_by_neighbours());
        until.filter(|until| *until > self.now)
    }

    fn authority_by_neighbours(&self) -> Option<TimeMs> {
        let mut until = FOREVER;
        for member in self.neighbours() {
            match member.supported_from {
                Some(sent_at) if !self.is_cut_off_too(member, sent_at) => {
                    until = until.min(sent_at + self.settings.authority_ms);
                }
                Some(_) => {}
                None => return None,
            }
        }
        Some(until)
    }

    /// Whether a silent neighbour had lost the platform before it fell silent.
    ///
    /// In a zone that is cut off from the platform nobody can mark anybody. If the last other instance
    /// of the zone dies then, this one goes on with what it owns; otherwise the zone would stop serving.
    fn is_cut_off_too(&self, member: &Member, supported_from: TimeMs) -> bool {
        let is_stale = self.now.since(supported_from) >= self.settings.authority_ms;
        is_stale && !member.could_fence(&self.settings)
    }
}
