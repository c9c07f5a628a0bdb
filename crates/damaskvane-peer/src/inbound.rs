//! The listener, which decodes, checks and queues the messages of peers.

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
use crate::sender_filter::SenderFilter;
use crate::settings::PeerSettings;
use crate::transport::{MessageKind, Received};

/// The maximum number of free ports to try, since another process may take a port before it is bound.
const MAX_PORT_TRIES: usize = 8;

/// The listening socket; dropping it stops the reception of messages.
#[derive(Debug)]
pub(crate) struct Inbound {
    socket: nng::Socket,
    _receive: nng::Aio,
    filter: Arc<Mutex<SenderFilter>>,
    started: Instant,
    address: PeerAddress,
}

/// The state of the callback that the transport library invokes for each received message.
struct Receiver<M> {
    socket: nng::Socket,
    filter: Arc<Mutex<SenderFilter>>,
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
        let listen_error = |error: nng::Error| PeerError::Listen {
            address: settings.listen_address,
            cause: error.to_string(),
        };
        let socket = nng::Socket::new(nng::Protocol::Pull0).map_err(listen_error)?;
        socket
            .set_opt::<options::RecvMaxSize>(settings.max_message_bytes)
            .map_err(listen_error)?;
        limit_connections(&socket, settings.connection_limit, Arc::clone(&counters))
            .map_err(listen_error)?;
        let address = bind(&socket, settings.listen_address).map_err(listen_error)?;
        let filter = Arc::new(Mutex::new(SenderFilter::new(
            settings.max_messages_per_second,
        )));
        let started = Instant::now();
        let receiver = Receiver {
            socket: socket.clone(),
            filter: Arc::clone(&filter),
            counters,
            messages,
            started,
            message: PhantomData,
        };
        let receive = nng::Aio::new(move |aio, result| receiver.on_event(&aio, result))
            .map_err(listen_error)?;
        socket.recv_async(&receive).map_err(listen_error)?;
        Ok(Self {
            socket,
            _receive: receive,
            filter,
            started,
            address,
        })
    }

    pub(crate) const fn address(&self) -> &PeerAddress {
        &self.address
    }

    pub(crate) fn set_allowed_senders(&self, allowed: impl IntoIterator<Item = ids::InstanceId>) {
        let now = elapsed(self.started);
        self.filter
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .set_allowed_senders(allowed, now);
    }

    pub(crate) fn set_admits_unlisted(&self, admits_unlisted: bool) {
        let now = elapsed(self.started);
        self.filter
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .set_admits_unlisted(admits_unlisted, now);
    }
}

impl Drop for Inbound {
    fn drop(&mut self) {
        // The callback holds a handle of the socket, so that without a close the socket would listen
        // for ever.
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
        // Fails only if the socket has been closed meanwhile; then there is nothing to receive.
        let _ = self.socket.recv_async(aio);
    }

    fn on_message(&self, bytes: &[u8]) {
        match self.accept(bytes) {
            Ok(received) => self.enqueue(received, bytes.len()),
            Err(reason) => self.counters.count_drop(reason),
        }
    }

    fn accept(&self, bytes: &[u8]) -> Result<Received<M>, DropReason> {
        let (header, body) = envelope::split(bytes).map_err(|_| DropReason::Malformed)?;
        self.filter
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

    fn enqueue(&self, received: Received<M>, bytes: usize) {
        let kind = received.message.kind();
        // Waiting for a slow consumer here would stop the reception of all messages from all peers,
        // heartbeats included.
        match self.messages.try_send(received) {
            Ok(()) => self.counters.count_received(kind, bytes),
            Err(_) => self.counters.count_drop(DropReason::ReceiverFull),
        }
    }
}

fn elapsed(started: Instant) -> time::TimeMs {
    time::TimeMs::new(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX))
}

/// Closes incoming connections above the limit before they are established.
///
/// The count of open connections goes up with the `AddPre` event and not with `AddPost`. Each `AddPre`
/// is followed by one `RemovePost`, but for a connection that the remote side breaks while it is being
/// established, `RemovePost` can come before `AddPost`. A count of `AddPost` events fell below zero in
/// that case: every later connection exceeded the limit, and closing a connection that was already
/// removed ended the process.
fn limit_connections(
    socket: &nng::Socket,
    limit: usize,
    counters: Arc<PeerCounters>,
) -> nng::Result<()> {
    let open = AtomicUsize::new(0);
    socket.pipe_notify(move |pipe, event| {
        let open_before = match event {
            nng::PipeEvent::AddPre => open.fetch_add(1, Ordering::Relaxed),
            nng::PipeEvent::RemovePost => open.fetch_sub(1, Ordering::Relaxed),
            _ => return,
        };
        if event == nng::PipeEvent::AddPre && open_before >= limit {
            counters.count_drop(DropReason::ConnectionLimit);
            pipe.close();
        }
    })
}

/// Listens on the address and returns it.
///
/// Port 0 is replaced by a free port first, since the library does not report the port that it selects.
fn bind(socket: &nng::Socket, requested: PeerAddress) -> nng::Result<PeerAddress> {
    let mut tries = 1;
    loop {
        let address = with_port(requested)?;
        match socket.listen(&address.to_url()) {
            Err(nng::Error::AddressInUse)
                if requested.get().port() == 0 && tries < MAX_PORT_TRIES =>
            {
                tries += 1;
            }
            Err(error) => return Err(error),
            Ok(()) => return Ok(address),
        }
    }
}

fn with_port(requested: PeerAddress) -> nng::Result<PeerAddress> {
    if requested.get().port() != 0 {
        return Ok(requested);
    }
    net::TcpListener::bind(requested.get())
        .and_then(|probe| probe.local_addr())
        .map(PeerAddress::new)
        .map_err(|_| nng::Error::AddressInvalid)
}
