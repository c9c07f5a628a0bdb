//! Selection of the instance that owns a backend server, and of the one to acquire its slots from.
//!
//! The owner grants the server's slots; a slot is the right to run one request on the server. "The hash" is
//! the rendezvous hash of `ownership::owner`, which assigns each backend server to an instance. The assigned
//! instance becomes the owner by a claim, to which the other instances consent; until then another instance
//! may be the owner.

use damaskvane_core::ids;
use damaskvane_membership::{ownership, view};

use crate::exchange::server::Ownership;
use crate::exchange::slot_exchange::SlotExchange;

impl SlotExchange {
    /// Returns whether the hash assigns the backend server to this instance.
    ///
    /// An owner acquires slots for its own requests without a message on the network.
    #[must_use]
    pub fn is_assigned(&self, server: &ids::BackendServerId) -> bool {
        self.assigned_owner(server).as_ref() == Some(&self.own.instance)
    }

    pub(super) fn apply_assignments(&mut self) {
        let names: Vec<ids::BackendServerId> = self.servers.keys().cloned().collect();
        for name in names {
            let acquire_target = self.acquire_target(&name);
            let keeps_current_owner = self.keeps_current_owner(&name);
            if let Some(server) = self.servers.get_mut(&name)
                && !keeps_current_owner
            {
                server.set_owner(acquire_target);
            }
            let is_own = self.is_assigned(&name);
            self.apply_assignment(&name, is_own);
        }
    }

    /// Returns whether acquire requests still go to the current owner, which grants slots until it consents
    /// to the claim of the assigned instance.
    ///
    /// The hash assigns servers to a new instance as soon as the roster (the instances of the zone, as this
    /// instance knows them) contains the instance. But the new instance can claim them only after it has seen
    /// itself on the platform's list, which an outage can delay. If acquire requests went to the new instance
    /// before that, no instance would grant slots, and clients' requests would be refused although the
    /// backend server has free slots.
    fn keeps_current_owner(&self, name: &ids::BackendServerId) -> bool {
        let Some(server) = self.servers.get(name) else {
            return false;
        };
        let Some(owner) = server.owner.as_ref() else {
            return false;
        };
        let is_own = *owner == self.own.instance;
        let owns_nothing = matches!(server.ownership, Ownership::None);
        if is_own && owns_nothing && !self.may_claim() {
            return false;
        }
        self.candidates().any(|candidate| candidate == owner)
    }

    /// Selects the owner anew by the hash, after an instance has refused a request because it is not the
    /// owner.
    pub(super) fn reset_owner(&mut self, name: &ids::BackendServerId) {
        let acquire_target = self.acquire_target(name);
        if let Some(server) = self.servers.get_mut(name) {
            server.set_owner(acquire_target);
        }
    }

    /// Returns the instance to send acquire requests to: the one to which the hash assigns the server.
    ///
    /// If that is this instance and it may not claim the server yet, the hash selects among the other
    /// instances instead; the selected one grants slots until the claim.
    fn acquire_target(&self, name: &ids::BackendServerId) -> Option<ids::InstanceId> {
        let is_barred = self.is_assigned(name) && !self.may_claim();
        let others = self
            .candidates()
            .filter(|candidate| !is_barred || **candidate != self.own.instance);
        ownership::owner(name.as_str(), others).or_else(|| self.assigned_owner(name))
    }

    /// Returns the instances that may own backend servers.
    ///
    /// Instances without recent heartbeats are included, because they may still grant slots.
    ///
    /// Instances that have just started own nothing beside others: if a claim of theirs completes without the ledger
    /// of an earlier owner, they have to wait for instances that were fenced before their start.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &ids::InstanceId> {
        let may_own = |member: &&view::RosterMember| {
            !member.leaving && member.gone.is_none() && !member.is_unheard_newcomer
        };
        let members = self.roster.members.iter().filter(may_own);
        let all_start = members.clone().all(|member| member.is_starting);
        members
            .filter(move |member| all_start || !member.is_starting)
            .map(|member| &member.instance)
    }

    /// Returns the instance to which the hash assigns the backend server; `None` if none may own it.
    #[must_use]
    pub fn assigned_owner(&self, server: &ids::BackendServerId) -> Option<ids::InstanceId> {
        ownership::owner(server.as_str(), self.candidates())
    }
}
