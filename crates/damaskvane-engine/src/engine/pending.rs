//! A request on its way through the engine.
//!
//! ```text
//! Queued -> Running -> (Backoff -> Running)* -> answered
//! Joined -> answered by the try that runs
//! Forwarded -> answered by the home
//! ```

use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{deadline, exchange, fingerprint, home};

use crate::engine::servers::SlotPermit;
use crate::event::{ExchangeNumber, RequestNumber};
use crate::message;

/// A request on this instance, whoever it came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LocalId(pub(super) u64);

/// Who waits for the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Origin {
    /// A client of this instance.
    Client(RequestNumber),
    /// Another instance, which passed the request on.
    Peer {
        /// The process that did; a later start of it counts its correlations anew.
        forwarder: home::Home,
        correlation: u64,
        request_id: ids::RequestId,
    },
}

/// Where the request is.
#[derive(Debug)]
pub(super) enum Stage {
    /// Waits for its first slot.
    Queued(exchange::Received),
    /// Waits for the slot of a further try.
    Requeued(exchange::Admitted),
    /// Waits before a further try.
    Backoff {
        admitted: exchange::Admitted,
        until: time::TimeMs,
    },
    /// A backend server has it.
    Running(ExchangeNumber),
    /// Waits for the outcome of another try of the same key.
    Joined {
        scope: home::Scope,
        waiter: home::WaiterId,
    },
    /// Another instance has it.
    Forwarded {
        forwarded: exchange::Forwarded,
        to: home::Home,
    },
}

impl Stage {
    /// Whether it waits for a slot.
    pub(super) const fn is_waiting(&self) -> bool {
        matches!(self, Self::Queued(_) | Self::Requeued(_))
    }
}

/// A request on its way.
#[derive(Debug)]
pub(super) struct Pending {
    /// Who waits; none once the client went away or was answered.
    pub(super) origin: Option<Origin>,
    pub(super) request: Arc<message::ServiceRequest>,
    /// What the request is recognised by on other servers and instances.
    pub(super) fingerprint: fingerprint::Fingerprint,
    pub(super) deadline: deadline::Deadline,
    pub(super) stage: Stage,
}

/// A request at a backend server.
#[derive(Debug)]
pub(super) struct ActiveExchange {
    pub(super) id: LocalId,
    pub(super) service: ids::ServiceId,
    pub(super) request_id: ids::RequestId,
    pub(super) fingerprint: fingerprint::Fingerprint,
    pub(super) sent: exchange::Sent,
    pub(super) slot_permit: SlotPermit,
}
