//! How the slots stand, for status and tests.

use damaskvane_core::{ids, time, units};

use crate::exchange::aggregate::SlotExchange;
use crate::exchange::server::Ownership;

/// The instance's part in owning a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerPhase {
    /// It does not own it.
    None,
    /// It asks the others.
    Claiming,
    /// It waits for what was lent before to lapse.
    Waiting,
    /// It lends.
    Serving,
}

/// How one backend server stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStatus<'a> {
    /// The backend server.
    pub server: &'a ids::BackendServerId,
    /// The owner that this instance asks.
    pub owner: Option<&'a ids::InstanceId>,
    /// Its own part.
    pub phase: OwnerPhase,
    /// What it has lent as the owner.
    pub granted: units::Slots,
    /// What it has borrowed.
    pub held: units::Slots,
    /// What it has in use.
    pub busy: units::Slots,
}

impl SlotExchange {
    /// How each backend server stands.
    pub fn status(&self, now: time::TimeMs) -> impl Iterator<Item = ServerStatus<'_>> {
        self.servers.iter().map(move |(name, server)| {
            let (phase, granted) = match &server.ownership {
                Ownership::None => (OwnerPhase::None, units::Slots::ZERO),
                Ownership::Claiming(_) => (OwnerPhase::Claiming, units::Slots::ZERO),
                Ownership::Waiting(ledger) => (OwnerPhase::Waiting, ledger.granted()),
                Ownership::Serving(ledger) => (OwnerPhase::Serving, ledger.granted()),
            };
            ServerStatus {
                server: name,
                owner: server.owner.as_ref(),
                phase,
                granted,
                held: server.pool.held(now),
                busy: server.pool.busy(now),
            }
        })
    }
}
