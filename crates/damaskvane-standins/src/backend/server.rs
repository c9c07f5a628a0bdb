//! One backend server: its listener, what it runs and its faults.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let server = backend::Server::start("s-1:6".parse()?, backend::START_SEED)?;
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

/// How long a crashed server refuses connections.
const CRASH_DOWN: Duration = Duration::from_secs(2);
/// How long a thread without a connection waits for another.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// How often a server that is down looks whether it may come back.
const DOWN_POLL: Duration = Duration::from_millis(50);

/// Why a running request ends early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Abort {
    /// The caller cancelled it.
    Cancelled,
    /// The server died under it.
    Crashed,
}

/// One backend server of the stand-in; clones share it.
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
    /// Takes a connection only while a thread waits for one.
    idle: flume::Sender<(u64, net::TcpStream)>,
    waiting: flume::Receiver<(u64, net::TcpStream)>,
}

#[derive(Debug, Default)]
struct State {
    stats: ServerStats,
    faults: Faults,
    /// When the faults were last set; a cold start counts from here.
    faults_since: Option<Instant>,
    /// Connections numbered below this are silent while the fault stands.
    silent_below: u64,
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
    /// Starts a server with a log of its own on a free loopback port.
    pub fn start(spec: ServerSpec, seed: u64) -> io::Result<Self> {
        Self::start_with_log(spec, seed, Arc::default())
    }

    /// Starts a server that shares a log with others.
    pub fn start_with_log(spec: ServerSpec, seed: u64, log: Arc<ExecutionLog>) -> io::Result<Self> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let stats = ServerStats {
            slots: spec.slots,
            ..ServerStats::default()
        };
        let (idle, waiting) = flume::bounded(0);
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
                idle,
                waiting,
            }),
        };
        let acceptor = server.clone();
        thread::spawn(move || acceptor.accept(listener));
        Ok(server)
    }

    /// The name of the server.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.spec.name
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.shared.address
    }

    /// What it saw so far.
    #[must_use]
    pub fn stats(&self) -> ServerStats {
        self.lock().stats
    }

    /// The log of executions.
    #[must_use]
    pub fn log(&self) -> &ExecutionLog {
        &self.shared.log
    }

    /// The faults that are switched on.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        let down = faults.down;
        let mut state = self.lock();
        state.silent_below = state.next_connection;
        state.faults_since = Some(Instant::now());
        state.faults = faults;
        drop(state);
        if down {
            self.close_all();
        }
    }

    /// Dies as a process does: closes everything, aborts what runs, refuses for a while.
    pub(crate) fn crash(&self) {
        let mut state = self.lock();
        state.stats.crashes += 1;
        state.down_until = Some(Instant::now() + CRASH_DOWN);
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
        // Wakes the acceptor, which then sees that it is down and closes the listener.
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
                thread::sleep(DOWN_POLL);
                continue;
            };
            let _ = stream.set_nodelay(true);
            let Some(number) = self.open(&stream) else {
                continue;
            };
            self.hand_over(number, stream);
        }
    }

    /// Gives a connection to an idle thread, or to a new one. Starting a thread for each connection would
    /// cost a caller that opens one for each request more than the connection itself.
    fn hand_over(&self, number: u64, stream: net::TcpStream) {
        let Err(refused) = self.shared.idle.try_send((number, stream)) else {
            return;
        };
        let server = self.clone();
        let mut connection = Some(refused.into_inner());
        thread::spawn(move || {
            while let Some((number, stream)) = connection.take() {
                connection::serve(&server, number, stream);
                server.close(number);
                connection = server.shared.waiting.recv_timeout(IDLE_LIMIT).ok();
            }
        });
    }

    fn listen_again(&self) -> net::TcpListener {
        loop {
            thread::sleep(DOWN_POLL);
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

    /// Whether connection `number` has lost its other end.
    pub(crate) fn is_silent(&self, number: u64) -> bool {
        let state = self.lock();
        state.faults.silent_connections && number < state.silent_below
    }

    /// Notes a refusal.
    pub(crate) fn count_shed(&self) {
        self.lock().stats.shed += 1;
    }

    /// Notes a call of `/health` or `/load`.
    pub(crate) fn count_report(&self) {
        self.lock().stats.reports += 1;
    }

    /// Takes a slot, free or not, and logs the start.
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

    /// Gives the slot back and logs the end.
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

    /// Asks the runs of a request to stop; whether there was one.
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

    /// How long a request runs: the middle time give or take half, settled by seed and request id.
    pub(crate) fn service_time(&self, request_id: &str, asked_ms: Option<u64>) -> Duration {
        let middle_ms = asked_ms.unwrap_or_else(|| self.jittered_ms(request_id));
        let state = self.lock();
        let cold = state.faults_since.is_some_and(|since| {
            since.elapsed() < Duration::from_millis(state.faults.cold_start_ms)
        });
        let factor = if cold {
            state.faults.cold_factor.max(1)
        } else {
            1
        };
        Duration::from_millis(middle_ms * factor)
    }

    fn jittered_ms(&self, request_id: &str) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.shared.seed.to_le_bytes());
        hasher.update(request_id.as_bytes());
        let byte = u64::from(hasher.finalize().as_bytes()[0]);
        let middle_ms = self.shared.spec.service_ms;
        middle_ms / 2 + middle_ms * byte / 255
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
