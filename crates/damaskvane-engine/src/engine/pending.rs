//! The state of a request in the engine.
//!
//! A slot is the right to run one request on a backend server. The home of a non-repeatable request is the
//! instance that alone may run the request.
//!
//! ```text
//! Queued -> Running -> (Backoff -> Running)* -> answered
//! Joined -> answered with the outcome of the attempt that runs
//! Forwarded -> answered by the home
//! ```

use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{deadline, exchange, fingerprint, home};

use crate::engine::servers::SlotPermit;
use crate::event::{ExchangeNumber, RequestNumber};
use crate::message;

/// The local number of a request, which came from a client or from another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LocalId(pub(super) u64);

/// The origin of a request, which gets the response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Origin {
    /// A client of this instance.
    Client(RequestNumber),
    /// Another instance, which forwarded the request.
    Peer {
        /// The process that forwarded the request; each later incarnation numbers its requests anew.
        forwarder: home::Home,
        correlation: u64,
        request_id: ids::RequestId,
    },
}

/// The stage of a request.
#[derive(Debug)]
pub(super) enum Stage {
    /// The request waits for a slot for its first attempt at a backend server.
    Queued(exchange::Received),
    /// The request waits for a slot for a retry.
    Requeued(exchange::Admitted),
    /// The request waits for the end of the delay before a retry.
    Backoff {
        admitted: exchange::Admitted,
        until: time::TimeMs,
    },
    /// The request was sent to a backend server.
    Running(ExchangeNumber),
    /// The request waits for the outcome of another attempt with the same key.
    Joined {
        scope: home::Scope,
        waiter: home::WaiterId,
    },
    /// The request was forwarded to another instance.
    Forwarded {
        forwarded: exchange::Forwarded,
        to: home::Home,
    },
}

impl Stage {
    /// Returns whether the request waits for a slot.
    pub(super) const fn is_waiting(&self) -> bool {
        matches!(self, Self::Queued(_) | Self::Requeued(_))
    }
}

/// A request that the engine has not finished.
#[derive(Debug)]
pub(super) struct Pending {
    /// The origin that waits for the response; `None` once the client has disconnected or got its response.
    pub(super) origin: Option<Origin>,
    pub(super) request: Arc<message::ServiceRequest>,
    /// The fingerprint that identifies the request across backend servers and instances.
    pub(super) fingerprint: fingerprint::Fingerprint,
    pub(super) deadline: deadline::Deadline,
    pub(super) stage: Stage,
}

/// An exchange with a backend server that has not ended.
#[derive(Debug)]
pub(super) struct ActiveExchange {
    pub(super) id: LocalId,
    pub(super) service: ids::ServiceId,
    pub(super) request_id: ids::RequestId,
    pub(super) fingerprint: fingerprint::Fingerprint,
    pub(super) sent: exchange::Sent,
    pub(super) slot_permit: SlotPermit,
}
