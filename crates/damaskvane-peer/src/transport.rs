//! The transport: one listener for all peers, and one connection to each peer that receives messages.
//!
//! A connection can stop delivering for good while new connections to the same peer work. TCP detects
//! this after many minutes. The program detects it by missing heartbeats and calls
//! [`Transport::reconnect`], which dials with a new socket.
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
    /// Returns the label under which the message is counted.
    fn kind(&self) -> &'static str;
}

/// A message received from an allowed sender within its rate.
#[derive(Debug)]
pub struct Received<M> {
    /// The sending instance according to the header; the transport does not authenticate it.
    pub from: ids::InstanceId,
    /// The incarnation of the sending instance according to the header.
    pub incarnation: ids::Incarnation,
    /// The encoded size, with the envelope.
    pub bytes: units::Bytes,
    /// The decoded message.
    pub message: M,
}

/// Sends messages to peers and receives messages from them, without a thread for each peer.
///
/// All received messages are dropped until [`Transport::set_allowed_senders`] is called.
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
    /// Starts to listen; the returned channel yields the received messages.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Listen`] if the address is in use or does not belong to this machine.
    pub fn listen(
        settings: PeerSettings,
    ) -> Result<(Self, flume::Receiver<Received<M>>), PeerError> {
        let counters = Arc::new(PeerCounters::default());
        let (sender, receiver) = flume::bounded(settings.receive_queue_messages);
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

    /// Returns the listen address; a port 0 in the settings is replaced by the selected port.
    #[must_use]
    pub const fn local_address(&self) -> &PeerAddress {
        self.inbound.address()
    }

    /// Replaces the list of instances whose messages are accepted.
    pub fn set_allowed_senders(&self, allowed: impl IntoIterator<Item = ids::InstanceId>) {
        self.inbound.set_allowed_senders(allowed);
    }

    /// Sets whether messages of instances that are not on the list are accepted too; at first they are
    /// not. All such senders together have the maximum rate of one sender.
    pub fn set_admits_unlisted(&self, admits_unlisted: bool) {
        self.inbound.set_admits_unlisted(admits_unlisted);
    }

    /// Queues a message for a peer and returns at once; opens a connection if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::QueueFull`] if the peer is too slow or can't be reached, or
    /// [`PeerError::TooLarge`], [`PeerError::ConnectionLimit`], [`PeerError::Dial`] or
    /// [`PeerError::Encode`]. The message is dropped; every reason but `Encode` is counted.
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

    /// Closes the connection to a peer and drops its queued messages; the next message dials again.
    ///
    /// Called when expected heartbeats of a peer are missing, before the peer is declared dead.
    pub fn reconnect(&self, to: &PeerAddress) {
        let mut discarded = Discarded::default();
        self.outbound().remove(*to, &mut discarded);
        self.count_unsent(&discarded);
    }

    /// Closes connections that are idle or can't be established; called about once per second.
    pub fn maintain(&self) {
        let discarded = self.outbound().maintain(Instant::now());
        self.count_unsent(&discarded);
    }

    /// Returns the number of outgoing connections, established or being dialled.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.outbound().len()
    }

    /// Returns whether TCP considers the connection to a peer established.
    #[must_use]
    pub fn is_connected(&self, to: &PeerAddress) -> bool {
        self.outbound().is_up(*to)
    }

    /// Returns a copy of all counters.
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
