//! Outgoing connections, one for each peer, opened with the first message to the peer.

use core::sync::atomic::{AtomicBool, Ordering};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nng::options::{self, Options};

use crate::address::PeerAddress;
use crate::counters::DropReason;
use crate::error::PeerError;
use crate::settings::PeerSettings;

const REDIAL_MIN: Duration = Duration::from_millis(50);
const REDIAL_MAX: Duration = Duration::from_millis(1_000);

/// A connection to one peer, up or being dialled.
#[derive(Debug)]
struct Connection {
    socket: nng::Socket,
    is_up: Arc<AtomicBool>,
    last_up: Instant,
    last_used: Instant,
    unsent: u64,
}

/// The outgoing connections to all peers.
#[derive(Debug)]
pub(crate) struct Outbound {
    connections: BTreeMap<PeerAddress, Connection>,
    connection_limit: usize,
    send_queue_messages: i32,
    idle: Duration,
    connect_grace: Duration,
}

/// Sockets of removed connections, and the number of their unsent messages.
///
/// Dropping this value closes the sockets, which may take a moment. Functions return it to the caller,
/// so that the sockets are closed after the lock on the connections is released.
#[derive(Debug, Default)]
pub(crate) struct Discarded {
    pub(crate) unsent: u64,
    sockets: Vec<nng::Socket>,
}

impl Connection {
    fn dial(
        address: PeerAddress,
        send_queue_messages: i32,
        now: Instant,
    ) -> Result<Self, PeerError> {
        let is_up = Arc::new(AtomicBool::new(false));
        let socket = dial(address, send_queue_messages, Arc::clone(&is_up)).map_err(|error| {
            PeerError::Dial {
                address,
                cause: error.to_string(),
            }
        })?;
        Ok(Self {
            socket,
            is_up,
            last_up: now,
            last_used: now,
            unsent: 0,
        })
    }

    /// Updates the time at which the connection was last up; returns whether it has been down for longer
    /// than `grace`.
    fn is_stale(&mut self, now: Instant, grace: Duration) -> bool {
        if self.is_up.load(Ordering::Relaxed) {
            self.last_up = now;
            self.unsent = 0;
        }
        now.duration_since(self.last_up) > grace
    }
}

fn dial(
    address: PeerAddress,
    send_queue_messages: i32,
    is_up: Arc<AtomicBool>,
) -> nng::Result<nng::Socket> {
    let socket = nng::Socket::new(nng::Protocol::Push0)?;
    socket.set_opt::<options::SendBufferSize>(send_queue_messages)?;
    socket.set_opt::<options::ReconnectMinTime>(Some(REDIAL_MIN))?;
    socket.set_opt::<options::ReconnectMaxTime>(Some(REDIAL_MAX))?;
    socket.pipe_notify(move |_, event| match event {
        nng::PipeEvent::AddPost => is_up.store(true, Ordering::Relaxed),
        nng::PipeEvent::RemovePost => is_up.store(false, Ordering::Relaxed),
        _ => {}
    })?;
    socket.dial_async(&address.to_url())?;
    Ok(socket)
}

impl Discarded {
    fn take(&mut self, connection: Connection) {
        self.unsent += connection.unsent;
        self.sockets.push(connection.socket);
    }
}

impl Outbound {
    pub(crate) fn new(settings: &PeerSettings) -> Self {
        Self {
            connections: BTreeMap::new(),
            connection_limit: settings.connection_limit,
            send_queue_messages: i32::from(settings.send_queue_messages),
            idle: settings.idle_ms.to_duration(),
            connect_grace: settings.connect_grace_ms.to_duration(),
        }
    }

    /// Queues a message without waiting; opens a connection if there is none.
    pub(crate) fn send(
        &mut self,
        to: PeerAddress,
        bytes: &[u8],
        now: Instant,
        discarded: &mut Discarded,
    ) -> Result<(), (DropReason, PeerError)> {
        self.drop_if_stale(to, now, discarded);
        let connection = self.connection(to, now)?;
        connection.last_used = now;
        connection.socket.try_send(bytes).map_err(|_| {
            let error = PeerError::QueueFull { address: to };
            (DropReason::QueueFull, error)
        })?;
        if !connection.is_up.load(Ordering::Relaxed) {
            connection.unsent += 1;
        }
        Ok(())
    }

    /// Removes a connection that has been down for longer than the grace, with its queued messages.
    ///
    /// Heartbeats that arrive all at once after a network partition would make a dead sender appear
    /// alive, so that other instances would count an instance that stopped long ago as running.
    fn drop_if_stale(&mut self, to: PeerAddress, now: Instant, discarded: &mut Discarded) {
        let grace = self.connect_grace;
        let stale = self
            .connections
            .get_mut(&to)
            .is_some_and(|connection| connection.is_stale(now, grace));
        if stale {
            self.remove(to, discarded);
        }
    }

    fn connection(
        &mut self,
        to: PeerAddress,
        now: Instant,
    ) -> Result<&mut Connection, (DropReason, PeerError)> {
        let is_full = self.connections.len() >= self.connection_limit;
        match self.connections.entry(to) {
            std::collections::btree_map::Entry::Occupied(entry) => Ok(entry.into_mut()),
            std::collections::btree_map::Entry::Vacant(_) if is_full => {
                let limit = self.connection_limit;
                Err((
                    DropReason::ConnectionLimit,
                    PeerError::ConnectionLimit { limit },
                ))
            }
            std::collections::btree_map::Entry::Vacant(entry) => {
                let connection = Connection::dial(to, self.send_queue_messages, now)
                    .map_err(|error| (DropReason::NotConnected, error))?;
                Ok(entry.insert(connection))
            }
        }
    }

    pub(crate) fn remove(&mut self, to: PeerAddress, discarded: &mut Discarded) {
        if let Some(connection) = self.connections.remove(&to) {
            discarded.take(connection);
        }
    }

    /// Removes connections that are idle, or that have been down for longer than the grace.
    pub(crate) fn maintain(&mut self, now: Instant) -> Discarded {
        let (idle, grace) = (self.idle, self.connect_grace);
        let mut discarded = Discarded::default();
        let closing: Vec<PeerAddress> = self
            .connections
            .iter_mut()
            .filter_map(|(address, connection)| {
                let is_idle = now.duration_since(connection.last_used) > idle;
                (connection.is_stale(now, grace) || is_idle).then_some(*address)
            })
            .collect();
        for address in closing {
            self.remove(address, &mut discarded);
        }
        discarded
    }

    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(crate) fn is_up(&self, to: PeerAddress) -> bool {
        self.connections
            .get(&to)
            .is_some_and(|connection| connection.is_up.load(Ordering::Relaxed))
    }
}
