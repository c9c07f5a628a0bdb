//! The transport: one listener for all that comes in, one connection for each peer that is sent to.
//!
//! A connection can go silent for good while new ones work. TCP notices that after many minutes, so the
//! program notices it by its own heartbeats and calls [`Transport::reconnect`], which dials with a fresh
//! socket.
//!
//! ```
//! use damaskvane_peer::{settings, transport};
//!
//! impl transport::MessageKind for Tick {
//!     fn kind(&self) -> &'static str {
//!         "tick"
//!     }
//! }
//! #[derive(serde::Serialize, serde::Deserialize)]
//! struct Tick;
//!
//! let (transport, _received) =
//!     transport::Transport::<Tick>::listen(settings::PeerSettings::default())?;
//! assert_ne!(transport.local_address().get().port(), 0);
//! # Ok::<(), damaskvane_peer::error::PeerError>(())
//! ```

use core::marker::PhantomData;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use damaskvane_core::{ids, units};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::address::PeerAddress;
use crate::counters::{CounterSnapshot, DropReason, PeerCounters};
use crate::envelope;
use crate::error::PeerError;
use crate::inbound::Inbound;
use crate::outbound::{Discarded, Outbound};
use crate::settings::PeerSettings;

/// A message that can be counted by its kind.
pub trait MessageKind: Serialize + DeserializeOwned + Send + 'static {
    /// The word under which the message is counted.
    fn kind(&self) -> &'static str;
}

/// A message that came in from a listed instance, within its rate.
#[derive(Debug)]
pub struct Received<M> {
    /// The instance that says it sent it.
    pub from: ids::InstanceId,
    /// Which start of that instance it says it is.
    pub incarnation: ids::Incarnation,
    /// The encoded size, envelope included.
    pub bytes: units::Bytes,
    /// The message.
    pub message: M,
}

/// Sends messages to peers and receives theirs.
///
/// It needs no thread for each peer. Until [`Transport::set_allowed_senders`] is called nothing is received.
#[derive(Debug)]
pub struct Transport<M> {
    header: envelope::Header,
    max_message_bytes: usize,
    inbound: Inbound,
    outbound: Mutex<Outbound>,
    counters: Arc<PeerCounters>,
    message: PhantomData<fn(M)>,
}

impl<M: MessageKind> Transport<M> {
    /// Listens at the address of the settings; received messages come out of the second value.
    ///
    /// # Errors
    ///
    /// [`PeerError::Listen`] if the address is in use or not one of this machine.
    pub fn listen(
        settings: PeerSettings,
    ) -> Result<(Self, flume::Receiver<Received<M>>), PeerError> {
        let counters = Arc::new(PeerCounters::default());
        let (sender, receiver) = flume::bounded(settings.received_messages);
        let inbound = Inbound::listen(&settings, Arc::clone(&counters), sender)?;
        let transport = Self {
            outbound: Mutex::new(Outbound::new(&settings)),
            header: envelope::Header::new(settings.instance, settings.incarnation),
            max_message_bytes: settings.max_message_bytes,
            inbound,
            counters,
            message: PhantomData,
        };
        Ok((transport, receiver))
    }

    /// Where this transport listens, with the port that was found for port 0.
    #[must_use]
    pub const fn local_address(&self) -> &PeerAddress {
        self.inbound.address()
    }

    /// Replaces the list of instances that are listened to.
    pub fn set_allowed_senders(&self, allowed: impl IntoIterator<Item = ids::InstanceId>) {
        self.inbound.set_allowed_senders(allowed);
    }

    /// Queues a message for a peer and returns at once; it connects first if need be.
    ///
    /// # Errors
    ///
    /// [`PeerError::QueueFull`] if the peer does not keep up or can't be reached,
    /// [`PeerError::TooLarge`], [`PeerError::ConnectionLimit`], [`PeerError::Dial`] or
    /// [`PeerError::Encode`]. The message is dropped and the reason counted.
    pub fn send(&self, to: &PeerAddress, message: &M) -> Result<(), PeerError> {
        let bytes = envelope::encode(&self.header, message)?;
        if bytes.len() > self.max_message_bytes {
            self.counters.count_drop(DropReason::TooLarge);
            return Err(PeerError::TooLarge {
                bytes: bytes.len(),
                limit_bytes: self.max_message_bytes,
            });
        }
        let mut discarded = Discarded::default();
        let result = self
            .outbound()
            .send(*to, &bytes, Instant::now(), &mut discarded);
        self.count_unsent(&discarded);
        match result {
            Ok(()) => {
                self.counters.count_sent(message.kind(), bytes.len());
                Ok(())
            }
            Err((reason, error)) => {
                self.counters.count_drop(reason);
                Err(error)
            }
        }
    }

    /// Drops the connection to a peer with what is queued on it; the next message dials anew.
    ///
    /// Call it when a peer that should send heartbeats has been silent, before it is judged dead.
    pub fn reconnect(&self, to: &PeerAddress) {
        let mut discarded = Discarded::default();
        self.outbound().remove(*to, &mut discarded);
        self.count_unsent(&discarded);
    }

    /// Closes idle connections, and those that can't be made; call it about once a second.
    pub fn maintain(&self) {
        let discarded = self.outbound().maintain(Instant::now());
        self.count_unsent(&discarded);
    }

    /// How many outgoing connections there are, up or being made.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.outbound().len()
    }

    /// Whether the connection to a peer is up as far as TCP knows.
    #[must_use]
    pub fn is_connected(&self, to: &PeerAddress) -> bool {
        self.outbound().is_up(*to)
    }

    /// A copy of all counts.
    #[must_use]
    pub fn counters(&self) -> CounterSnapshot {
        self.counters.snapshot()
    }

    fn outbound(&self) -> MutexGuard<'_, Outbound> {
        self.outbound.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_unsent(&self, discarded: &Discarded) {
        self.counters
            .count_drops(DropReason::NotConnected, discarded.unsent);
    }
}
