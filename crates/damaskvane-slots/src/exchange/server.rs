//! One backend server as an instance of its zone sees it.

use std::collections::{BTreeMap, VecDeque};

use damaskvane_core::{ids, time, units};

use crate::claim::Claim;
use crate::holder::LeasePool;
use crate::ledger::{Serving, SlotLedger, Waiting};
use crate::message::GrantKey;

/// The instance's part in owning a backend server.
#[derive(Debug, Default)]
pub(super) enum Ownership {
    /// It does not own it.
    #[default]
    None,
    /// It is to own it and asks the others.
    Claiming(Claim),
    /// It owns it and waits for what was lent before to lapse.
    Waiting(SlotLedger<Waiting>),
    /// It owns it and lends.
    Serving(SlotLedger<Serving>),
}

/// An ask that waits for a free slot.
#[derive(Debug)]
pub(super) struct QueuedAcquire {
    pub(super) key: GrantKey,
    pub(super) slots: units::Slots,
    pub(super) requested_at: time::TimeMs,
}

/// One start of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct InstanceIncarnation {
    pub(super) instance: ids::InstanceId,
    pub(super) incarnation: ids::Incarnation,
}

/// One backend server as an instance of its zone sees it.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) slots: units::Slots,
    pub(super) ownership: Ownership,
    pub(super) pool: LeasePool,
    pub(super) queue: VecDeque<QueuedAcquire>,
    /// To whom this instance has consented, or whom its asks go to.
    pub(super) owner: Option<ids::InstanceId>,
    pub(super) recalled_at: Option<time::TimeMs>,
    /// Who consented to the ownership that is waited for; nothing if a ledger was handed over.
    pub(super) consented: Option<BTreeMap<ids::InstanceId, ids::Incarnation>>,
}

impl Server {
    pub(super) fn new(slots: units::Slots) -> Self {
        Self {
            slots,
            ownership: Ownership::None,
            pool: LeasePool::default(),
            queue: VecDeque::new(),
            owner: None,
            recalled_at: None,
            consented: None,
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

    /// Recognises an owner; grants that were asked of another are not taken any more.
    pub(super) fn set_owner(&mut self, owner: Option<ids::InstanceId>) {
        if self.owner != owner {
            self.owner = owner;
            self.pool.discard_pending_acquires();
        }
    }
}
