//! The part of the aggregate that says who is to own a backend server, and whom to ask until then.

use damaskvane_core::ids;
use damaskvane_membership::ownership;

use crate::exchange::aggregate::SlotExchange;
use crate::exchange::server::Ownership;

impl SlotExchange {
    /// Whether the hash names this instance as owner; it then borrows without a message.
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

    /// Whether asks still go to the owner of before: it lends until it has consented to another.
    ///
    /// The hash names a newcomer as soon as it is heard of, but it can claim only once it has seen itself
    /// on the platform's list, which an outage can hold up. Were it asked before, nobody would lend, and
    /// requests would be refused beside a backend server with free slots.
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

    /// The owner of before lends no more: asks go to whom the hash names.
    pub(super) fn reset_owner(&mut self, name: &ids::BackendServerId) {
        let acquire_target = self.acquire_target(name);
        if let Some(server) = self.servers.get_mut(name) {
            server.set_owner(acquire_target);
        }
    }

    /// Whom to ask for slots: the owner by hash, or, while this instance may not claim what it is named
    /// for, the owner without it, who goes on lending until then.
    fn acquire_target(&self, name: &ids::BackendServerId) -> Option<ids::InstanceId> {
        let is_barred = self.is_assigned(name) && !self.may_claim();
        let others = self
            .candidates()
            .filter(|candidate| !is_barred || **candidate != self.own.instance);
        ownership::owner(name.as_str(), others).or_else(|| self.assigned_owner(name))
    }

    /// Who may own backend servers. One that is merely silent stays: it may still lend.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &ids::InstanceId> {
        self.roster
            .members
            .iter()
            .filter(|member| !member.leaving && member.gone.is_none())
            .map(|member| &member.instance)
    }

    pub(super) fn assigned_owner(&self, server: &ids::BackendServerId) -> Option<ids::InstanceId> {
        ownership::owner(server.as_str(), self.candidates())
    }
}
