//! A fake backend server, which counts used slots, logs executions and fails by its mode.
//!
//! ```text
//! arrive -> reject | run until completed, cancelled or past the deadline -> respond by mode
//! ```

use std::collections::BTreeMap;
use std::net;

use damaskvane_core::{ids, time, units};
use damaskvane_dispatch::{fingerprint, home};
use damaskvane_engine::{event, message};

use crate::script::ServerMode;
use crate::world::World;
use crate::world::delivery::{Delivery, Input};

/// A request whose path has this prefix crashes the backend server that runs it.
const CRASH_PATH_PREFIX: &str = "/crash";
/// The time from the arrival of a request that crashes its backend server to the crash.
const CRASH_DELAY: time::SpanMs = time::SpanMs::new(5);
/// The time from a crash of a backend server until it accepts requests again.
const RECOVERY_DELAY: time::SpanMs = time::SpanMs::new(300);
/// The time after the order to drain a backend server in which new requests may still arrive.
const DRAIN_TOLERANCE: time::SpanMs = time::SpanMs::new(2_000);
const STATUS_COMPLETED: u16 = 200;
const STATUS_TIMED_OUT: u16 = 504;

/// A log entry for one run of a request on a backend server.
#[derive(Debug, Clone)]
pub struct Execution {
    /// The id of the client's attempt that ran.
    pub request_id: ids::RequestId,
    /// The idempotency key; `None` if the request has no key.
    pub key: Option<ids::IdempotencyKey>,
    /// The number of the client's attempt; 0 if attempts are not numbered.
    pub try_number: u32,
    /// The fingerprint that the key is bound to: another body is another request.
    pub fingerprint: fingerprint::Fingerprint,
    /// The virtual time at which the run began.
    pub at: time::TimeMs,
}

/// A request that is running on a backend server.
#[derive(Debug)]
struct Run {
    from: home::Home,
    exchange: event::Exchange,
    is_aborted: bool,
}

/// A fake backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(super) id: ids::BackendServerId,
    pub(super) address: net::SocketAddr,
    pub(super) slots: units::Slots,
    pub(super) mode: ServerMode,
    pub(super) run_time: time::SpanMs,
    is_crashed: bool,
    runs: BTreeMap<u64, Run>,
    next_run: u64,
    pub(crate) peak: usize,
    pub(crate) cancelled: u64,
    pub(crate) log: Vec<Execution>,
    pub(super) drained_since: Option<time::TimeMs>,
    pub(crate) late_requests: u64,
}

impl Server {
    pub(super) const fn new(
        id: ids::BackendServerId,
        address: net::SocketAddr,
        slots: units::Slots,
        run_time: time::SpanMs,
    ) -> Self {
        Self {
            id,
            address,
            slots,
            mode: ServerMode::Healthy,
            run_time,
            is_crashed: false,
            runs: BTreeMap::new(),
            next_run: 0,
            peak: 0,
            cancelled: 0,
            log: Vec::new(),
            drained_since: None,
            late_requests: 0,
        }
    }

    pub(super) fn set_mode(&mut self, mode: ServerMode) {
        self.mode = mode;
        self.is_crashed = false;
    }

    const fn time(&self) -> time::SpanMs {
        match self.mode {
            ServerMode::Slow(span) => span,
            _ => self.run_time,
        }
    }

    fn record_execution(&mut self, now: time::TimeMs, request: &message::ServiceRequest) {
        let key = request.idempotency.as_ref();
        self.log.push(Execution {
            request_id: request.request_id.clone(),
            key: key.map(|key| key.key.clone()),
            try_number: key.map_or(0, |key| key.try_number),
            fingerprint: request.fingerprint(),
            at: now,
        });
        let is_late = |since: time::TimeMs| now.since(since) > DRAIN_TOLERANCE;
        self.late_requests += u64::from(self.drained_since.is_some_and(is_late));
    }
}

impl World {
    pub(super) fn arrive(&mut self, from: home::Home, exchange: event::Exchange) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&exchange.backend_server) else {
            return;
        };
        let refused = match server.mode {
            _ if server.is_crashed => Some(event::ExchangeEnd::NotSent),
            ServerMode::Down => Some(event::ExchangeEnd::NotSent),
            ServerMode::Shed => Some(event::ExchangeEnd::Refused),
            ServerMode::Silent => return,
            _ => None,
        };
        if let Some(end) = refused {
            self.exchange_ended(&from, exchange.number, end);
            return;
        }
        server.record_execution(now, &exchange.request);
        let (time, id) = (server.time(), server.id.clone());
        if server.mode == ServerMode::HangUp {
            self.exchange_ended(&from, exchange.number, event::ExchangeEnd::Lost);
        }
        let Some(server) = self.servers.get(&id) else {
            return;
        };
        let crashes_server =
            server.mode == ServerMode::Die || exchange.request.path.starts_with(CRASH_PATH_PREFIX);
        let time = self.random_run_time(time);
        let deadline = exchange.deadline;
        let is_aborted = time > deadline;
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.next_run += 1;
        let execution = server.next_run;
        let run = Run {
            from,
            exchange,
            is_aborted,
        };
        server.runs.insert(execution, run);
        server.peak = server.peak.max(server.runs.len());
        if crashes_server {
            self.schedule(CRASH_DELAY, Delivery::Crash(id.clone()));
        }
        let ends = Delivery::RunEnds {
            server: id,
            execution,
        };
        self.schedule(time.min(deadline), ends);
    }

    fn random_run_time(&mut self, span: time::SpanMs) -> time::SpanMs {
        let spread_ms = span.get() * u64::from(self.settings.run_spread_permille) / 1_000;
        self.random_ms(span.get() - spread_ms, span.get() + spread_ms)
    }

    pub(super) fn end_run(&mut self, server: &ids::BackendServerId, execution: u64) {
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        let mode = server.mode;
        if let Some(run) = server.runs.remove(&execution) {
            self.send_response(mode, &run);
        }
    }

    fn send_response(&mut self, mode: ServerMode, run: &Run) {
        let end = match mode {
            ServerMode::Swallow | ServerMode::Silent | ServerMode::HangUp => return,
            ServerMode::Cut => event::ExchangeEnd::TruncatedResponse,
            ServerMode::Cross => event::ExchangeEnd::MismatchedResponse,
            _ => event::ExchangeEnd::Answered(message::BackendResponse {
                status: if run.is_aborted {
                    STATUS_TIMED_OUT
                } else {
                    STATUS_COMPLETED
                },
                headers: Vec::new(),
                body: super::responses::expected_body(&run.exchange.request).into_bytes(),
            }),
        };
        self.exchange_ended(&run.from, run.exchange.number, end);
    }

    pub(super) fn cancel(&mut self, server: &ids::BackendServerId, request_id: &ids::RequestId) {
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        let mode = server.mode;
        let found = server
            .runs
            .iter()
            .find(|(_, run)| run.exchange.request.request_id == *request_id)
            .map(|(execution, _)| *execution);
        let Some(mut run) = found.and_then(|execution| server.runs.remove(&execution)) else {
            return;
        };
        server.cancelled += 1;
        run.is_aborted = true;
        self.send_response(mode, &run);
    }

    /// Crashes a backend server, so that each exchange that it runs loses its connection.
    pub(super) fn crash(&mut self, id: &ids::BackendServerId) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.is_crashed = true;
        let recovers = server.mode != ServerMode::Die;
        let runs = core::mem::take(&mut server.runs);
        for run in runs.into_values() {
            self.exchange_ended(&run.from, run.exchange.number, event::ExchangeEnd::Lost);
        }
        if recovers {
            self.schedule(RECOVERY_DELAY, Delivery::Recover(id.clone()));
        }
    }

    pub(super) fn recover(&mut self, id: &ids::BackendServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.is_crashed = false;
        }
    }

    fn exchange_ended(
        &mut self,
        to: &home::Home,
        exchange: event::ExchangeNumber,
        end: event::ExchangeEnd,
    ) {
        let event = event::Event::ExchangeEnded { exchange, end };
        let delay = self.random_delay();
        self.send_to_incarnation(to, delay, Input::Engine(Box::new(event)));
    }
}
