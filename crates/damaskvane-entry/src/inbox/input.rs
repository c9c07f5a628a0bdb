//! One message to the engine's thread.
//!
//! ```
//! use damaskvane_entry::inbox;
//!
//! let input = inbox::Input::Stop;
//! assert!(format!("{input:?}").contains("Stop"));
//! ```

use std::sync::Arc;

use damaskvane_core::ids;
use damaskvane_dispatch::{fingerprint, home, outcome};
use damaskvane_engine::{directory, event, message, peer};
use damaskvane_membership::view;

/// Where a client's handler waits for its answer.
pub type Reply = flume::Sender<outcome::Outcome<Arc<message::BackendAnswer>>>;

/// One message to the engine's thread.
#[derive(Debug)]
pub enum Input {
    /// A client's request.
    Submit {
        /// Its number.
        number: event::RequestNumber,
        /// The request.
        request: Box<message::ServiceRequest>,
        /// Where its answer goes.
        reply: Reply,
    },
    /// A client closed its connection before its answer.
    ClientGone {
        /// The request it waited for.
        number: event::RequestNumber,
    },
    /// An exchange ended.
    ExchangeEnded {
        /// Which one.
        exchange: event::ExchangeNumber,
        /// How.
        end: event::ExchangeEnd,
    },
    /// Another entry instance's engine sent a message.
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
    /// The engine's thread ends.
    Stop,
}
