//! Read-only access to the state that decides when an instance becomes an owner, for diagnosis and tests.
//!
//! The owner of a backend server grants its slots. A new owner first needs the consent of the zone's other
//! instances, and then waits until the grants of earlier owners have expired.

use damaskvane_core::{ids, time};
use damaskvane_membership::view;

use crate::exchange::server::Ownership;
use crate::exchange::slot_exchange::SlotExchange;

impl SlotExchange {
    /// Returns the roster (the instances of the zone) that this instance acts on.
    #[must_use]
    pub const fn roster(&self) -> &view::Roster {
        &self.roster
    }

    /// Returns the time until which this instance, as the new owner, grants no slots of a backend server;
    /// `None` if it does not wait.
    #[must_use]
    pub fn waits_until(&self, server: &ids::BackendServerId) -> Option<time::TimeMs> {
        match &self.servers.get(server)?.ownership {
            Ownership::Waiting(ledger) => Some(ledger.until()),
            _ => None,
        }
    }

    /// Returns whether this instance became the owner of a backend server by the consents of all others, and
    /// not by the ledger of the previous owner.
    #[must_use]
    pub fn is_owner_by_consents(&self, server: &ids::BackendServerId) -> bool {
        let server = self.servers.get(server);
        server.is_some_and(|server| server.consented.is_some())
    }

    /// Returns the instances whose consent to this instance's claim of a backend server is missing; none if
    /// it claims nothing.
    #[must_use]
    pub fn missing_consents(&self, server: &ids::BackendServerId) -> Vec<ids::InstanceId> {
        let Some(Ownership::Claiming(claim)) =
            self.servers.get(server).map(|server| &server.ownership)
        else {
            return Vec::new();
        };
        let missing = self
            .others()
            .filter(|member| !claim.has_consent(&member.instance));
        missing.map(|member| member.instance.clone()).collect()
    }
}
