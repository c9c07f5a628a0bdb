//! The state that an instance keeps for one backend server of its zone.
//!
//! The owner of a backend server is the instance that grants the server's slots; a slot is the right to run
//! one request on the server. An incarnation is one start of an instance's process.

use std::collections::{BTreeMap, VecDeque};

use damaskvane_core::{ids, time, units};

use crate::claim::Claim;
use crate::exchange::promises::Promises;
use crate::exchange::takeover::TakeoverWait;
use crate::holder::LeasePool;
use crate::ledger::{Serving, SlotLedger, Waiting};
use crate::message::{GrantKey, GrantNumber};

/// The phase of this instance in the ownership of a backend server.
#[derive(Debug, Default)]
pub(super) enum Ownership {
    /// The instance neither owns nor claims the backend server.
    #[default]
    None,
    /// The instance is to be the owner, and requests consent from the zone's other instances.
    Claiming(Claim),
    /// The instance is the owner and waits for grants of earlier owners to expire.
    Waiting(SlotLedger<Waiting>),
    /// The instance is the owner and grants slots.
    Serving(SlotLedger<Serving>),
}

/// A holder's acquire request that waits at the owner until a slot is free.
#[derive(Debug)]
pub(super) struct QueuedAcquire {
    pub(super) key: GrantKey,
    pub(super) slots: units::Slots,
    pub(super) requested_at: time::TimeMs,
}

/// One incarnation of an instance: the sender or the recipient of a message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct InstanceIncarnation {
    pub(super) instance: ids::InstanceId,
    pub(super) incarnation: ids::Incarnation,
}

/// The state that an instance keeps for one backend server of its zone.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) slots: units::Slots,
    pub(super) ownership: Ownership,
    pub(super) pool: LeasePool,
    pub(super) queue: VecDeque<QueuedAcquire>,
    /// The owner, to which acquire requests are sent; after this instance consented to a claim, the claimant.
    pub(super) owner: Option<ids::InstanceId>,
    pub(super) recalled_at: Option<time::TimeMs>,
    /// Whether the owner has refused this instance slots since it last granted or recalled some.
    pub(super) owner_refuses: bool,
    /// What an owner has to wait for, as far as this instance was told of it; kept after a consent, because the
    /// consent may be lost and others that knew of it may have ended.
    pub(super) wait: TakeoverWait,
    /// The instances whose consents made this instance the owner; `None` if it never became the owner, or did
    /// so by the previous owner's ledger.
    pub(super) consented: Option<BTreeMap<ids::InstanceId, ids::Incarnation>>,
    /// Time by which grants and requests of this instance that its consents do not report have expired: those
    /// of its earlier incarnations, and grants that it made as an owner.
    pub(super) unreported_until: time::TimeMs,
    /// The claims that this instance has consented to, and those of others that are over.
    pub(super) promises: Promises,
    /// When this instance last asked the holders of standing leases for their grants.
    pub(super) audited_at: time::TimeMs,
}

impl Server {
    /// Creates the state of a backend server, whose slots may have been used until `unreported_until` in a way
    /// that is not recorded.
    pub(super) fn new(
        slots: units::Slots,
        last_number: GrantNumber,
        unreported_until: time::TimeMs,
    ) -> Self {
        Self {
            slots,
            ownership: Ownership::None,
            pool: LeasePool::after(last_number),
            queue: VecDeque::new(),
            owner: None,
            recalled_at: None,
            owner_refuses: false,
            wait: TakeoverWait::default(),
            consented: None,
            unreported_until,
            promises: Promises::default(),
            audited_at: time::TimeMs::ZERO,
        }
    }

    pub(super) fn set_slots(&mut self, slots: units::Slots) {
        self.slots = slots;
        match &mut self.ownership {
            Ownership::Waiting(ledger) => ledger.set_slots(slots),
            Ownership::Serving(ledger) => ledger.set_slots(slots),
            Ownership::None | Ownership::Claiming(_) => {}
        }
    }

    /// Sets the owner; grants in response to requests to the previous owner are no longer accepted.
    pub(super) fn set_owner(&mut self, owner: Option<ids::InstanceId>) {
        if self.owner != owner {
            self.owner = owner;
            self.owner_refuses = false;
            self.pool.discard_pending_requests();
        }
    }
}
