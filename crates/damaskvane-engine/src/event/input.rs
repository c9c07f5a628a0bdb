//! What the engine is told.
//!
//! ```
//! use damaskvane_engine::event;
//!
//! let event = event::Event::ClientDisconnected { number: event::RequestNumber::new(7) };
//! assert!(format!("{event:?}").contains("ClientDisconnected"));
//! ```

use std::sync::Arc;

use damaskvane_core::ids;
use damaskvane_dispatch::{fingerprint, home};
use damaskvane_membership::view;

use crate::event::{exchange_end, number};
use crate::{directory, message, peer};

/// What the engine is told.
#[derive(Debug)]
pub enum Event {
    /// A client's request arrived, whole.
    Submit {
        /// The driver's number for it.
        number: number::RequestNumber,
        /// The request.
        request: Box<message::ServiceRequest>,
    },
    /// The client closed its connection before the answer.
    ClientDisconnected {
        /// The request it waited for.
        number: number::RequestNumber,
    },
    /// An exchange ended.
    ExchangeEnded {
        /// Which one.
        exchange: number::ExchangeNumber,
        /// How.
        end: exchange_end::ExchangeEnd,
    },
    /// Another entry instance sent a message.
    Peer {
        /// Who sent it.
        from: home::Home,
        /// What it says.
        message: Box<peer::PeerMessage>,
    },
    /// Configuration or membership changed.
    Directory(Arc<directory::Directory>),
    /// The instances of the own zone, as owners of slots.
    Roster(Box<view::Roster>),
    /// A backend server reported its health.
    HealthReported {
        /// The backend server.
        backend_server: ids::BackendServerId,
        /// What it says.
        healthy: bool,
    },
    /// An operator lets a quarantined request go.
    ClearQuarantine(fingerprint::Fingerprint),
    /// A planned stop has begun.
    Leave,
    /// Time passed.
    Tick,
}
