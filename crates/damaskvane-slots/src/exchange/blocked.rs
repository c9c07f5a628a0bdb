//! Why this instance grants no slots of a backend server, whom it waits for, and until when.
//!
//! A slot is the right to run one request on the server. The owner, one of the zone's instances, grants the
//! slots. The hash assigns each server to an instance, which claims it: it requests the consent of the other
//! instances, and then waits until no earlier owner can grant slots and no lease of one is in use.

use damaskvane_core::{ids, time};
use damaskvane_membership::view;

use crate::claim::Claim;
use crate::exchange::blocked_by::BlockedBy;
use crate::exchange::server::{Ownership, Server};
use crate::exchange::slot_exchange::SlotExchange;
use crate::exchange::wait::Wait;

/// Why this instance grants no slots of a backend server; another instance may grant them meanwhile.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blocked {
    /// The reason.
    pub by: BlockedBy,
    /// The instances that are waited for, in the order of their ids; for [`BlockedBy::EarlierLeases`] the one
    /// that reported the wait, if any.
    ///
    /// Empty if the reason names none, and for [`BlockedBy::MissingConsent`] once all have consented: then
    /// the claim is completed at its next retry.
    pub instances: Vec<ids::InstanceId>,
    /// When the wait ends, in milliseconds on this instance's clock; `None` if an event ends it, not a time.
    pub until: Option<time::TimeMs>,
}

impl Blocked {
    const fn until_event(by: BlockedBy, instances: Vec<ids::InstanceId>) -> Self {
        Self {
            by,
            instances,
            until: None,
        }
    }
}

impl From<&Wait> for Blocked {
    fn from(wait: &Wait) -> Self {
        Self {
            by: wait.by,
            instances: wait.instance.iter().cloned().collect(),
            until: Some(wait.until),
        }
    }
}

impl SlotExchange {
    /// Returns why this instance grants no slots of the backend server; `None` if it grants them, or if
    /// another instance is to grant them and has not refused to.
    pub(super) fn blocked(&self, name: &ids::BackendServerId, server: &Server) -> Option<Blocked> {
        match &server.ownership {
            Ownership::None => self.blocked_without_claim(name, server),
            Ownership::Claiming(claim) => Some(self.blocked_claim(claim)),
            Ownership::Waiting(_) => {
                let wait = server.wait.last(self.settings.expiry_ms());
                wait.as_ref().map(Blocked::from)
            }
            Ownership::Serving(_) if self.has_authority() => None,
            Ownership::Serving(_) => Some(Blocked::until_event(BlockedBy::NoAuthority, Vec::new())),
        }
    }

    fn blocked_without_claim(
        &self,
        name: &ids::BackendServerId,
        server: &Server,
    ) -> Option<Blocked> {
        if self.candidates().next().is_none() {
            return Some(Blocked::until_event(BlockedBy::NoCandidate, Vec::new()));
        }
        // An instance that may claim its servers has claimed all of them, so the hash need not be computed.
        if self.may_claim() || !self.is_assigned(name) {
            let owner = server.owner.iter().filter(|_| server.owner_refuses);
            let owner: Vec<ids::InstanceId> = owner.cloned().collect();
            return (!owner.is_empty())
                .then(|| Blocked::until_event(BlockedBy::OwnerRefuses, owner));
        }
        if !self.roster.is_listed {
            return Some(Blocked::until_event(BlockedBy::NotListed, Vec::new()));
        }
        let unaware =
            self.others_where(|member| !member.has_acknowledged_own && !member.is_unheard_newcomer);
        (!unaware.is_empty()).then(|| Blocked::until_event(BlockedBy::Unacknowledged, unaware))
    }

    fn blocked_claim(&self, claim: &Claim) -> Blocked {
        let missing = self.others_where(|member| !claim.has_consent(&member.instance));
        let by = if !missing.is_empty() {
            BlockedBy::MissingConsent
        } else if !self.has_authority() {
            BlockedBy::NoAuthority
        } else if !self.roster.may_take_over {
            BlockedBy::LostNeighbour
        } else {
            BlockedBy::MissingConsent
        };
        Blocked::until_event(by, missing)
    }

    fn others_where(&self, matches: impl Fn(&view::RosterMember) -> bool) -> Vec<ids::InstanceId> {
        let others = self.others().filter(|member| matches(member));
        others.map(|member| member.instance.clone()).collect()
    }

    /// Adds the time since the last tick to the counter of each backend server's reason.
    pub(super) fn count_blocked(&mut self) {
        let last_tick = self.last_tick.replace(self.now).unwrap_or(self.now);
        let elapsed = self.now.since(last_tick);
        for (name, server) in &self.servers {
            let blocked = self.blocked(name, server).map(|blocked| blocked.by);
            if let Some(by) = blocked.filter(|by| by.is_of_owner()) {
                *self.counters.blocked_ms.entry(by).or_default() += elapsed.get();
            }
        }
    }
}
