//! Events that the exchange takes, and actions that it returns.

use damaskvane_core::{ids, units};
use damaskvane_membership::view;

use crate::message::AddressedMessage;

/// A backend server of this instance's zone with its number of slots, from the active configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSlots {
    /// The backend server.
    pub server: ids::BackendServerId,
    /// How many requests the backend server may run at once.
    pub slots: units::Slots,
}

/// An event that the program passes to [`crate::exchange::SlotExchange::handle`].
#[derive(Debug, Clone)]
pub enum Event {
    /// All backend servers of this instance's zone; servers that are missing are no longer used.
    Servers(Vec<ServerSlots>),
    /// The instances of this instance's zone.
    ///
    /// The program sends the roster whenever membership has handled an event.
    Roster(view::Roster),
    /// A message from another instance.
    Message {
        /// The instance that sent the message.
        from: ids::InstanceId,
        /// The incarnation of the sender.
        incarnation: ids::Incarnation,
        /// The message with the incarnation that it is for.
        message: AddressedMessage,
    },
    /// Requests wait for slots of a backend server.
    Demand {
        /// The backend server.
        server: ids::BackendServerId,
        /// The number of requests that wait now.
        waiting: units::Slots,
    },
    /// Time has passed; the program sends a tick at least ten times a second.
    Tick,
}

/// An action that the program has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another instance of the zone.
    Send {
        /// The recipient.
        to: ids::InstanceId,
        /// The message with the incarnation that it is for.
        message: AddressedMessage,
    },
    /// Slots of a backend server were granted: try [`crate::exchange::SlotExchange::begin`] again.
    Available {
        /// The backend server.
        server: ids::BackendServerId,
    },
    /// Report a broken invariant; the exchange has not carried out the unsafe operation.
    Broken {
        /// A description of the invariant.
        invariant: &'static str,
    },
}
