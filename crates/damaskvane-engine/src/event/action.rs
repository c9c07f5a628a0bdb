//! The actions that the engine returns to its driver, which does the engine's I/O.
//!
//! A home is an instance and its incarnation, the number of its start or renewal.
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

/// An exchange that the driver has to run: send one request to a backend server and read the response.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// The number of the exchange, assigned by the engine.
    pub number: number::ExchangeNumber,
    /// The backend server that gets the request.
    pub backend_server: ids::BackendServerId,
    /// The address that the backend server listens on.
    pub address: net::SocketAddr,
    /// The request to send.
    pub request: Arc<message::ServiceRequest>,
    /// The deadline that is sent to the backend server, as a span that starts when the request is sent.
    pub deadline: time::SpanMs,
    /// The end of the lease of the slot, the right to run one request on the backend server; the request must
    /// not be sent at or after this time.
    pub begin_before: time::TimeMs,
}

/// An action for the driver, which carries out actions in the order of the list.
#[derive(Debug)]
pub enum Action {
    /// Send a client its final response.
    Respond {
        /// The request, by the number that the driver assigned.
        number: number::RequestNumber,
        /// The outcome of the request: a response, a refusal or unknown.
        outcome: outcome::Outcome<Arc<message::BackendResponse>>,
    },
    /// Run an exchange and report its end with an `ExchangeEnded` event.
    Start(Exchange),
    /// Request a backend server to cancel a request; the end of its exchange is still reported.
    Cancel {
        /// The address that the backend server listens on.
        address: net::SocketAddr,
        /// The identifier of the attempt to cancel.
        request_id: ids::RequestId,
    },
    /// Send a message to another entry instance.
    Send {
        /// The instance that receives the message.
        to: ids::InstanceId,
        /// The message to send.
        message: Box<peer::PeerMessage>,
    },
    /// Name this home in lookup responses for its instance, which may be the local one or another. Requests
    /// with new keys that name an older incarnation of the same process end as *unknown* after 30 s.
    HomeRenewed {
        /// The instance with its new incarnation; heartbeats and leases continue under the old incarnation.
        home: home::Home,
    },
    /// Increment the counter of a refusal reason.
    CountRefusal(refusal::RefusalReason),
    /// Increment the counter of a retry reason.
    CountRetry(retry::RetryReason),
    /// Increment a counter of another family.
    Count {
        /// The family of the counter.
        family: &'static str,
        /// The label of the counter within its family.
        label: &'static str,
    },
    /// Report a broken invariant; the engine has not carried out the unsafe operation.
    Broken {
        /// The description of the invariant, which is also a label of the counters.
        invariant: &'static str,
    },
}
