//! Instances with one server of one slot, by what they do in a history, and the start of such a history.

use damaskvane_core::ids;
use damaskvane_membership::view;
use damaskvane_slots::permit::ReleasedPermit;

use super::parties::{Parties, member};
use super::script;

const NAMES: [&str; 4] = ["a-1", "a-2", "a-3", "a-4"];

/// Instances of a zone with one server of one slot, in the order of the hash.
pub(crate) struct Roles {
    pub(crate) claimant: ids::InstanceId,
    pub(crate) owner: ids::InstanceId,
    pub(crate) holder: ids::InstanceId,
    pub(crate) other: ids::InstanceId,
}

impl Roles {
    pub(crate) fn new() -> Self {
        let [claimant, owner, holder, other] = script::ranked(NAMES);
        Self {
            claimant,
            owner,
            holder,
            other,
        }
    }

    pub(crate) const fn running(&self) -> [&ids::InstanceId; 3] {
        [&self.owner, &self.holder, &self.other]
    }

    pub(crate) const fn all(&self) -> [&ids::InstanceId; 4] {
        [&self.claimant, &self.owner, &self.holder, &self.other]
    }

    /// Returns the roster of all instances, of which some are as given.
    pub(crate) fn roster_with(&self, changed: &[view::RosterMember]) -> Vec<view::RosterMember> {
        let members = self.all().map(|name| {
            let changed = changed.iter().find(|member| member.instance == *name);
            changed.cloned().unwrap_or_else(|| member(name))
        });
        members.into()
    }

    pub(crate) fn leaving(name: &ids::InstanceId) -> view::RosterMember {
        view::RosterMember {
            leaving: true,
            ..member(name)
        }
    }
}

/// Returns parties without the claimant, in which the holder has a standing lease on the only slot.
pub(crate) fn with_standing_lease(roles: &Roles) -> Parties {
    let (mut parties, request) = with_request(roles);
    parties.finish(&roles.holder, &request);
    parties
}

/// Returns parties without the claimant, in which a request of the holder runs under a standing lease.
pub(crate) fn with_request(roles: &Roles) -> (Parties, ReleasedPermit) {
    let mut parties = Parties::with_owner(&roles.running(), &roles.claimant);
    let request = parties.acquire(&roles.holder);
    (parties, request)
}
