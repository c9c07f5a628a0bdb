//! One backend server: its listener, running requests, counters and faults.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let server = backend::Server::start("s-1:6".parse()?, backend::DEFAULT_SEED)?;
//! server.set_faults(backend::Faults { shed: true, ..backend::Faults::default() });
//! assert!(server.faults().shed);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::collections::HashMap;
use std::io;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend;
use crate::backend::{ExecutionLog, Faults, ServerSpec, ServerStats, connection};

/// The time that a crashed server refuses connections.
const CRASH_DOWNTIME: Duration = Duration::from_secs(2);
/// The time that an idle thread waits for another connection before it ends.
const THREAD_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which a server that is down checks whether it can listen again.
const DOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The reason why a running request ends early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Abort {
    /// The caller cancelled the request, or the deadline passed.
    Cancelled,
    /// The server crashed or was switched off.
    Crashed,
}

/// A handle to one running backend server; clones refer to the same server.
#[derive(Debug, Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    spec: ServerSpec,
    address: net::SocketAddr,
    seed: u64,
    log: Arc<ExecutionLog>,
    state: Mutex<State>,
    /// Hands a connection to an idle thread; unbuffered, so that sending fails if none is waiting.
    hand_over_to: flume::Sender<(u64, net::TcpStream)>,
    handed_over: flume::Receiver<(u64, net::TcpStream)>,
}

#[derive(Debug, Default)]
struct State {
    stats: ServerStats,
    faults: Faults,
    /// The time at which the faults were last set; a cold start begins there.
    faults_since: Option<Instant>,
    /// Connections with a lower number get no responses while `freeze_connections` is on.
    frozen_below: u64,
    next_connection: u64,
    connections: HashMap<u64, net::TcpStream>,
    running: HashMap<usize, Running>,
    down_until: Option<Instant>,
}

#[derive(Debug)]
struct Running {
    request_id: String,
    abort: flume::Sender<Abort>,
}

impl Server {
    /// Starts a server with its own execution log on a free loopback port.
    pub fn start(spec: ServerSpec, seed: u64) -> io::Result<Self> {
        Self::start_with_log(spec, seed, Arc::default())
    }

    /// Starts a server on a free loopback port that shares an execution log with other servers.
    pub fn start_with_log(spec: ServerSpec, seed: u64, log: Arc<ExecutionLog>) -> io::Result<Self> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let stats = ServerStats {
            slots: spec.slots,
            ..ServerStats::default()
        };
        let (hand_over_to, handed_over) = flume::bounded(0);
        let server = Self {
            shared: Arc::new(Shared {
                spec,
                address: listener.local_addr()?,
                seed,
                log,
                state: Mutex::new(State {
                    stats,
                    ..State::default()
                }),
                hand_over_to,
                handed_over,
            }),
        };
        let acceptor = server.clone();
        thread::spawn(move || acceptor.accept(listener));
        Ok(server)
    }

    /// Returns the name of the server.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.spec.name
    }

    /// Returns the address and port that the server listens on.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.shared.address
    }

    /// Returns a copy of the counters.
    #[must_use]
    pub fn stats(&self) -> ServerStats {
        self.lock().stats
    }

    /// Returns the execution log, which several servers may share.
    #[must_use]
    pub fn log(&self) -> &ExecutionLog {
        &self.shared.log
    }

    /// Returns a copy of the active faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Replaces all active faults.
    pub fn set_faults(&self, faults: Faults) {
        let down = faults.down;
        let mut state = self.lock();
        state.frozen_below = state.next_connection;
        state.faults_since = Some(Instant::now());
        state.faults = faults;
        drop(state);
        if down {
            self.close_all();
        }
    }

    /// Simulates a crash: closes all connections, aborts running requests and refuses connections
    /// for [`CRASH_DOWNTIME`].
    pub(crate) fn crash(&self) {
        let mut state = self.lock();
        state.stats.crashes += 1;
        state.down_until = Some(Instant::now() + CRASH_DOWNTIME);
        drop(state);
        self.close_all();
    }

    fn close_all(&self) {
        let mut state = self.lock();
        for running in state.running.values() {
            let _ = running.abort.try_send(Abort::Crashed);
        }
        for (_, stream) in state.connections.drain() {
            let _ = stream.shutdown(net::Shutdown::Both);
        }
        drop(state);
        // Wakes the accepting thread, which then closes the listener because the server is down.
        let _ = net::TcpStream::connect(self.shared.address);
    }

    fn accept(&self, first: net::TcpListener) {
        let mut listener = first;
        loop {
            let accepted = listener.accept();
            if self.is_down() {
                drop(accepted);
                drop(listener);
                listener = self.listen_again();
                continue;
            }
            let Ok((stream, _)) = accepted else {
                thread::sleep(DOWN_POLL_INTERVAL);
                continue;
            };
            let _ = stream.set_nodelay(true);
            let Some(number) = self.open(&stream) else {
                continue;
            };
            self.hand_over(number, stream);
        }
    }

    /// Passes a connection to an idle thread, or to a new one.
    ///
    /// For callers that open a connection for each request, starting a thread for each connection
    /// would cost more than the connection itself.
    fn hand_over(&self, number: u64, stream: net::TcpStream) {
        let Err(refused) = self.shared.hand_over_to.try_send((number, stream)) else {
            return;
        };
        let server = self.clone();
        let mut connection = Some(refused.into_inner());
        thread::spawn(move || {
            while let Some((number, stream)) = connection.take() {
                connection::serve(&server, number, stream);
                server.close(number);
                connection = server
                    .shared
                    .handed_over
                    .recv_timeout(THREAD_IDLE_TIMEOUT)
                    .ok();
            }
        });
    }

    fn listen_again(&self) -> net::TcpListener {
        loop {
            thread::sleep(DOWN_POLL_INTERVAL);
            if self.is_down() {
                continue;
            }
            if let Ok(listener) = net::TcpListener::bind(self.shared.address) {
                return listener;
            }
        }
    }

    fn is_down(&self) -> bool {
        let state = self.lock();
        state.faults.down || state.down_until.is_some_and(|until| Instant::now() < until)
    }

    fn open(&self, stream: &net::TcpStream) -> Option<u64> {
        let clone = stream.try_clone().ok()?;
        let mut state = self.lock();
        let number = state.next_connection;
        state.next_connection += 1;
        state.connections.insert(number, clone);
        state.stats.accepted += 1;
        state.stats.connections += 1;
        state.stats.max_connections = state.stats.max_connections.max(state.stats.connections);
        Some(number)
    }

    fn close(&self, number: u64) {
        let mut state = self.lock();
        state.connections.remove(&number);
        state.stats.connections -= 1;
    }

    /// Returns whether connection `number` gets no responses because of `freeze_connections`.
    pub(crate) fn is_frozen(&self, number: u64) -> bool {
        let state = self.lock();
        state.faults.freeze_connections && number < state.frozen_below
    }

    /// Counts a request that was rejected without running.
    pub(crate) fn count_shed(&self) {
        self.lock().stats.shed += 1;
    }

    /// Counts a call of `/health` or `/load`.
    pub(crate) fn count_report(&self) {
        self.lock().stats.reports += 1;
    }

    /// Records the start of an execution, also beyond the slots.
    ///
    /// Returns the number of the execution and the channel that aborts it.
    pub(crate) fn begin(&self, execution: backend::Execution) -> (usize, flume::Receiver<Abort>) {
        let (abort, aborted) = flume::bounded(1);
        let request_id = execution.request_id.clone();
        let mut state = self.lock();
        let number = self.shared.log.start(execution);
        if state.stats.running >= state.stats.slots {
            state.stats.over_slots += 1;
        }
        state.stats.executed += 1;
        state.stats.running += 1;
        state.stats.max_running = state.stats.max_running.max(state.stats.running);
        state.running.insert(number, Running { request_id, abort });
        (number, aborted)
    }

    /// Frees the slot of an execution and records its end.
    pub(crate) fn end(&self, number: usize, aborted: bool) {
        let mut state = self.lock();
        state.running.remove(&number);
        state.stats.running -= 1;
        state.stats.aborted += u64::from(aborted);
        drop(state);
        self.shared
            .log
            .finish(number, backend::now_unix_ms(), aborted);
    }

    /// Aborts all executions of a request; returns whether one was running.
    pub(crate) fn cancel(&self, request_id: &str) -> bool {
        let mut state = self.lock();
        let mut found = false;
        for running in state
            .running
            .values()
            .filter(|run| run.request_id == request_id)
        {
            found |= running.abort.try_send(Abort::Cancelled).is_ok();
        }
        state.stats.cancelled += u64::from(found);
        found
    }

    /// Returns the service time of a request, with the factor of a cold start.
    ///
    /// Without `requested_ms`, the time varies by up to half around the server's mean and is
    /// determined by the seed and the request id.
    pub(crate) fn service_time(&self, request_id: &str, requested_ms: Option<u64>) -> Duration {
        let base_ms = requested_ms.unwrap_or_else(|| self.jittered_ms(request_id));
        let state = self.lock();
        let cold = state.faults_since.is_some_and(|since| {
            since.elapsed() < Duration::from_millis(state.faults.cold_start_ms)
        });
        let factor = if cold {
            state.faults.cold_factor.max(1)
        } else {
            1
        };
        Duration::from_millis(base_ms * factor)
    }

    fn jittered_ms(&self, request_id: &str) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.shared.seed.to_le_bytes());
        hasher.update(request_id.as_bytes());
        let byte = u64::from(hasher.finalize().as_bytes()[0]);
        let mean_ms = self.shared.spec.service_ms;
        mean_ms / 2 + mean_ms * byte / 255
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
