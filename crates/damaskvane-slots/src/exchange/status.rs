//! The state of ownership and slots by backend server, for the status page and tests.
//!
//! A slot is the right to run one request on a backend server. The server's owner, one of the zone's
//! instances, grants slots to holders.

use damaskvane_core::{ids, time, units};

use crate::exchange::blocked::Blocked;
use crate::exchange::server::Ownership;
use crate::exchange::slot_exchange::SlotExchange;

/// The phase of an instance in the ownership of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerPhase {
    /// The instance neither owns nor claims the backend server.
    None,
    /// The instance requests the consent of the zone's other instances to its ownership.
    Claiming,
    /// The instance is the owner and waits for grants of earlier owners to expire.
    Waiting,
    /// The instance is the owner and grants slots.
    Serving,
}

impl OwnerPhase {
    /// Returns the word for log lines and the status page.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Claiming => "claiming",
            Self::Waiting => "waiting",
            Self::Serving => "serving",
        }
    }
}

/// The state of one backend server as this instance has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStatus<'a> {
    /// The backend server, one of this instance's zone.
    pub server: &'a ids::BackendServerId,
    /// The owner, to which this instance sends its requests for slots; `None` if there is none.
    pub owner: Option<&'a ids::InstanceId>,
    /// The phase of this instance in the ownership of the backend server.
    pub phase: OwnerPhase,
    /// Why this instance grants no slots; `None` if it grants them, or if another instance is to grant them
    /// and has not refused to.
    pub blocked: Option<Blocked>,
    /// Slots that this instance has granted as the owner, to itself included.
    pub granted: units::Slots,
    /// Slots that the owner has granted to this instance and whose lease has not expired.
    pub held: units::Slots,
    /// Held slots on which requests run or may still run.
    pub busy: units::Slots,
}

impl SlotExchange {
    /// Returns the state of each backend server, in the order of their ids.
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
                blocked: self.blocked(name, server),
                granted,
                held: server.pool.held(now),
                busy: server.pool.busy(now),
            }
        })
    }
}
