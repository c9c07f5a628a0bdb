//! Events that the slot exchange takes, and actions that it returns.
//!
//! A slot is the right to run one request on a backend server; the exchange acquires slots for this instance
//! and grants slots of the servers that this instance owns.

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
    /// All backend servers of this instance's zone; the exchange drops servers that are not in the list.
    Servers(Vec<ServerSlots>),
    /// The instances of this instance's zone.
    ///
    /// The program sends the roster whenever membership has handled an event.
    Roster(view::Roster),
    /// A message from another instance.
    Message {
        /// The instance that sent the message.
        from: ids::InstanceId,
        /// The incarnation of the sender, which is one start of its process.
        incarnation: ids::Incarnation,
        /// The message, with the incarnation of this instance that it is for.
        message: AddressedMessage,
    },
    /// Clients' requests wait for slots of a backend server.
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
        /// The message, with the incarnation of the recipient that it is for.
        message: AddressedMessage,
    },
    /// This instance acquired slots of a backend server: for waiting requests, call
    /// [`crate::exchange::SlotExchange::begin`] again.
    Available {
        /// The backend server.
        server: ids::BackendServerId,
    },
    /// Report a broken invariant to operators; the exchange has not carried out the unsafe operation.
    Broken {
        /// A description of the violation.
        invariant: &'static str,
    },
}
