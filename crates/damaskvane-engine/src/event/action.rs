//! What the engine wants done.
//!
//! ```
//! use damaskvane_dispatch::refusal;
//! use damaskvane_engine::event;
//!
//! let action = event::Action::CountRefusal(refusal::RefusalReason::QueueFull);
//! assert!(format!("{action:?}").contains("QueueFull"));
//! ```

use std::net;
use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{home, outcome, refusal, retry};

use crate::event::number;
use crate::{message, peer};

/// An exchange to be run.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// The engine's number for it.
    pub number: number::ExchangeNumber,
    /// The backend server.
    pub backend_server: ids::BackendServerId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// What to send.
    pub request: Arc<message::ServiceRequest>,
    /// The deadline that the backend server is given, as a span from the sending on.
    pub deadline: time::SpanMs,
    /// The lease of its slot ends here: after this point it must not be sent any more.
    pub begin_before: time::TimeMs,
}

/// What the engine wants done; the driver carries it out in order.
#[derive(Debug)]
pub enum Action {
    /// Give a client its final answer.
    Respond {
        /// The request.
        number: number::RequestNumber,
        /// The answer.
        outcome: outcome::Outcome<Arc<message::BackendResponse>>,
    },
    /// Run an exchange and report its end.
    Start(Exchange),
    /// Ask a backend server to stop a request; its exchange still reports its end.
    Cancel {
        /// Where the backend server listens.
        address: net::SocketAddr,
        /// The request.
        request_id: ids::RequestId,
    },
    /// Send a message to another entry instance.
    Send {
        /// The receiver.
        to: ids::InstanceId,
        /// The message.
        message: Box<peer::PeerMessage>,
    },
    /// From now on name this home in look-up answers for its instance, this one or another: new keys of
    /// an older incarnation of the same process are *unknown* after 30 s.
    HomeRenewed {
        /// The instance with its new incarnation; heartbeats and leases go on under the old one.
        home: home::Home,
    },
    /// Count a refusal.
    CountRefusal(refusal::RefusalReason),
    /// Count a retry.
    CountRetry(retry::RetryReason),
    /// Count another event by family and word.
    Count {
        /// The counter's family.
        family: &'static str,
        /// The counter's word.
        label: &'static str,
    },
    /// An invariant was broken and the unsafe action refused.
    Broken {
        /// Which invariant.
        invariant: &'static str,
    },
}
