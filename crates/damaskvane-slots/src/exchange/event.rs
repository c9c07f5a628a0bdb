//! What the aggregate is told, and what it asks for.

use damaskvane_core::{ids, units};
use damaskvane_membership::view;

use crate::message::AddressedMessage;

/// A backend server of the own zone and its slots, by the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSlots {
    /// The backend server.
    pub server: ids::BackendServerId,
    /// Its slots.
    pub slots: units::Slots,
}

/// What the aggregate is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// The backend servers of the own zone; those that are missing are used no more.
    Servers(Vec<ServerSlots>),
    /// The instances of the own zone; send it whenever membership has handled an event.
    Roster(view::Roster),
    /// A message from another instance.
    Message {
        /// The sender.
        from: ids::InstanceId,
        /// Which start of the sender it is.
        incarnation: ids::Incarnation,
        /// What it says.
        message: AddressedMessage,
    },
    /// Requests wait for a backend server.
    Demand {
        /// The backend server.
        server: ids::BackendServerId,
        /// How many requests wait for it now.
        waiting: units::Slots,
    },
    /// Time has passed; send it at least ten times a second.
    Tick,
}

/// What the aggregate asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// The instance.
        to: ids::InstanceId,
        /// The message.
        message: AddressedMessage,
    },
    /// Slots of a backend server have come: try [`crate::exchange::SlotExchange::begin`] again.
    Available {
        /// The backend server.
        server: ids::BackendServerId,
    },
    /// An invariant was broken, and the action refused.
    Broken {
        /// Which.
        invariant: &'static str,
    },
}
