//! The listener: decodes, checks and hands on what peers send.

use core::marker::PhantomData;
use core::sync::atomic::{AtomicUsize, Ordering};
use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use damaskvane_core::{ids, time, units};
use nng::options::{self, Options};

use crate::address::PeerAddress;
use crate::counters::{DropReason, PeerCounters};
use crate::envelope;
use crate::error::PeerError;
use crate::gate::Gate;
use crate::settings::PeerSettings;
use crate::transport::{MessageKind, Received};

/// How often another free port is tried when the one just found is taken by somebody else.
const PORT_TRIES: usize = 8;

/// The listening socket; dropping it ends reception.
#[derive(Debug)]
pub(crate) struct Inbound {
    socket: nng::Socket,
    _receive: nng::Aio,
    gate: Arc<Mutex<Gate>>,
    started: Instant,
    address: PeerAddress,
}

/// What the callback of the library needs for each message.
struct Receiver<M> {
    socket: nng::Socket,
    gate: Arc<Mutex<Gate>>,
    counters: Arc<PeerCounters>,
    messages: flume::Sender<Received<M>>,
    started: Instant,
    message: PhantomData<fn() -> M>,
}

impl Inbound {
    pub(crate) fn listen<M: MessageKind>(
        settings: &PeerSettings,
        counters: Arc<PeerCounters>,
        messages: flume::Sender<Received<M>>,
    ) -> Result<Self, PeerError> {
        let refuse = |error: nng::Error| PeerError::Listen {
            address: settings.listen_address,
            cause: error.to_string(),
        };
        let socket = nng::Socket::new(nng::Protocol::Pull0).map_err(refuse)?;
        socket
            .set_opt::<options::RecvMaxSize>(settings.max_message_bytes)
            .map_err(refuse)?;
        limit_connections(&socket, settings.connection_limit, Arc::clone(&counters))
            .map_err(refuse)?;
        let address = bind(&socket, settings.listen_address).map_err(refuse)?;
        let gate = Arc::new(Mutex::new(Gate::new(settings.max_messages_per_second)));
        let started = Instant::now();
        let receiver = Receiver {
            socket: socket.clone(),
            gate: Arc::clone(&gate),
            counters,
            messages,
            started,
            message: PhantomData,
        };
        let receive =
            nng::Aio::new(move |aio, result| receiver.on_event(&aio, result)).map_err(refuse)?;
        socket.recv_async(&receive).map_err(refuse)?;
        Ok(Self {
            socket,
            _receive: receive,
            gate,
            started,
            address,
        })
    }

    pub(crate) const fn address(&self) -> &PeerAddress {
        &self.address
    }

    pub(crate) fn set_allowed_senders(&self, allowed: impl IntoIterator<Item = ids::InstanceId>) {
        let now = elapsed(self.started);
        self.gate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .set_allowed_senders(allowed, now);
    }
}

impl Drop for Inbound {
    fn drop(&mut self) {
        // The receiver's callback holds a handle of the socket: without this it would listen for ever.
        self.socket.close();
    }
}

impl<M: MessageKind> Receiver<M> {
    fn on_event(&self, aio: &nng::Aio, result: nng::AioResult) {
        match result {
            nng::AioResult::Recv(Ok(message)) => self.on_message(message.as_slice()),
            nng::AioResult::Recv(Err(nng::Error::Closed)) => return,
            _ => {}
        }
        // Fails only on a socket that has been closed meanwhile, and then there is nothing to receive.
        let _ = self.socket.recv_async(aio);
    }

    fn on_message(&self, bytes: &[u8]) {
        match self.accept(bytes) {
            Ok(received) => self.hand_on(received, bytes.len()),
            Err(reason) => self.counters.count_drop(reason),
        }
    }

    fn accept(&self, bytes: &[u8]) -> Result<Received<M>, DropReason> {
        let (header, body) = envelope::split(bytes).map_err(|_| DropReason::Malformed)?;
        self.gate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .admit(&header.from, elapsed(self.started))?;
        let message = envelope::decode(body).map_err(|_| DropReason::UnknownMessage)?;
        Ok(Received {
            from: header.from,
            incarnation: header.incarnation,
            bytes: units::Bytes::new(bytes.len() as u64),
            message,
        })
    }

    fn hand_on(&self, received: Received<M>, bytes: usize) {
        let kind = received.message.kind();
        // Waiting here would stop reception from every peer, heartbeats too, for one slow consumer.
        match self.messages.try_send(received) {
            Ok(()) => self.counters.count_received(kind, bytes),
            Err(_) => self.counters.count_drop(DropReason::ReceiverFull),
        }
    }
}

fn elapsed(started: Instant) -> time::TimeMs {
    time::TimeMs::new(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX))
}

/// Closes incoming connections above the limit before they come up.
///
/// Every connection that was announced before it came up is told to be gone later; one that a stranger broke
/// while it came up can be told to be gone before it is told to be up. Counting those that are up ran below
/// zero then: every later connection counted as one too many, and closing one that was gone already ended
/// the process.
fn limit_connections(
    socket: &nng::Socket,
    limit: usize,
    counters: Arc<PeerCounters>,
) -> nng::Result<()> {
    let open = AtomicUsize::new(0);
    socket.pipe_notify(move |pipe, event| {
        let before = match event {
            nng::PipeEvent::AddPre => open.fetch_add(1, Ordering::Relaxed),
            nng::PipeEvent::RemovePost => open.fetch_sub(1, Ordering::Relaxed),
            _ => return,
        };
        if event == nng::PipeEvent::AddPre && before >= limit {
            counters.count_drop(DropReason::ConnectionLimit);
            pipe.close();
        }
    })
}

/// Listens on the address; port 0 is replaced by a free port, which the library would not tell.
fn bind(socket: &nng::Socket, wanted: PeerAddress) -> nng::Result<PeerAddress> {
    let mut tries = 1;
    loop {
        let address = with_port(wanted)?;
        match socket.listen(&address.to_url()) {
            Err(nng::Error::AddressInUse) if wanted.get().port() == 0 && tries < PORT_TRIES => {
                tries += 1;
            }
            Err(error) => return Err(error),
            Ok(()) => return Ok(address),
        }
    }
}

fn with_port(wanted: PeerAddress) -> nng::Result<PeerAddress> {
    if wanted.get().port() != 0 {
        return Ok(wanted);
    }
    net::TcpListener::bind(wanted.get())
        .and_then(|probe| probe.local_addr())
        .map(PeerAddress::new)
        .map_err(|_| nng::Error::AddressInvalid)
}
