//! The events that the engine handles, passed in by its driver, which does the engine's I/O.
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

/// An event for the engine.
#[derive(Debug)]
pub enum Event {
    /// A complete request of a client was received.
    Submit {
        /// The number of the request, assigned by the driver.
        number: number::RequestNumber,
        /// The request of the client.
        request: Box<message::ServiceRequest>,
    },
    /// The client closed its connection before it got a response.
    ClientDisconnected {
        /// The request whose response the client was waiting for.
        number: number::RequestNumber,
    },
    /// An exchange, one request sent to a backend server, ended.
    ExchangeEnded {
        /// The number of the exchange, assigned by the engine.
        exchange: number::ExchangeNumber,
        /// The result of the exchange.
        end: exchange_end::ExchangeEnd,
    },
    /// A message of another entry instance was received.
    Peer {
        /// The instance that sent the message, with the incarnation of its process.
        from: home::Home,
        /// The received message.
        message: Box<peer::PeerMessage>,
    },
    /// The configuration or the membership (the set of entry instances) changed.
    Directory(Arc<directory::Directory>),
    /// The current instances of the local availability zone, among which the ownership of the backend servers'
    /// slots is divided.
    Roster(Box<view::Roster>),
    /// A health report of a backend server was received.
    HealthReported {
        /// The backend server that the report is about.
        backend_server: ids::BackendServerId,
        /// Whether the backend server is healthy.
        healthy: bool,
    },
    /// An operator removed a request from the quarantine.
    ClearQuarantine(fingerprint::Fingerprint),
    /// A planned stop of this instance has begun.
    Leave,
    /// The driver's timer fired; deadlines, backoffs and expiries are checked.
    Tick,
}
