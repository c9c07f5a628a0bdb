//! A fake backend server: slots watched, an execution log, and the ways in which it fails.
//!
//! ```text
//! arrive -> refuse | run until done, cancelled or past the given deadline -> answer in the server's mode
//! ```

use std::collections::BTreeMap;
use std::net;

use damaskvane_core::{ids, time, units};
use damaskvane_dispatch::{fingerprint, home};
use damaskvane_engine::{event, message};

use crate::script::ServerMode;
use crate::world::World;
use crate::world::delivery::{Delivery, Input};

/// Paths that begin so kill whatever runs them.
const CRASH_PATH: &str = "/crash";
/// From the reading of a request that kills its server until it dies.
const CRASH_AFTER: time::SpanMs = time::SpanMs::new(5);
/// How long a crashed backend server takes to be back.
const REVIVED_AFTER: time::SpanMs = time::SpanMs::new(300);
/// A leaving backend server gets no new work later than this after the order.
const DRAIN_NOTICE: time::SpanMs = time::SpanMs::new(2_000);
const STATUS_DONE: u16 = 200;
const STATUS_GIVEN_UP: u16 = 504;

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Execution {
    /// The try that ran.
    pub request_id: ids::RequestId,
    /// Its key.
    pub key: Option<ids::IdempotencyKey>,
    /// Which try of the client it was; 0 where tries are not numbered.
    pub try_number: u32,
    /// What the key is bound to: another body is another request.
    pub fingerprint: fingerprint::Fingerprint,
    /// When it began.
    pub at: time::TimeMs,
}

/// A request that runs.
#[derive(Debug)]
struct Run {
    from: home::Home,
    exchange: event::Exchange,
    is_cut_short: bool,
}

/// A fake backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(super) id: ids::BackendServerId,
    pub(super) address: net::SocketAddr,
    pub(super) slots: units::Slots,
    pub(super) mode: ServerMode,
    pub(super) run_time: time::SpanMs,
    is_dead: bool,
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
            is_dead: false,
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
        self.is_dead = false;
    }

    const fn time(&self) -> time::SpanMs {
        match self.mode {
            ServerMode::Slow(span) => span,
            _ => self.run_time,
        }
    }

    fn note(&mut self, now: time::TimeMs, request: &message::ServiceRequest) {
        let key = request.idempotency.as_ref();
        self.log.push(Execution {
            request_id: request.request_id.clone(),
            key: key.map(|key| key.key.clone()),
            try_number: key.map_or(0, |key| key.try_number),
            fingerprint: request.fingerprint(),
            at: now,
        });
        let is_late = |since: time::TimeMs| now.since(since) > DRAIN_NOTICE;
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
            _ if server.is_dead => Some(event::ExchangeEnd::NotSent),
            ServerMode::Down => Some(event::ExchangeEnd::NotSent),
            ServerMode::Shed => Some(event::ExchangeEnd::Refused),
            ServerMode::Silent => return,
            _ => None,
        };
        if let Some(end) = refused {
            self.exchange_ended(&from, exchange.number, end);
            return;
        }
        server.note(now, &exchange.request);
        let (time, id) = (server.time(), server.id.clone());
        if server.mode == ServerMode::HangUp {
            self.exchange_ended(&from, exchange.number, event::ExchangeEnd::Lost);
        }
        let Some(server) = self.servers.get(&id) else {
            return;
        };
        let is_deadly =
            server.mode == ServerMode::Die || exchange.request.path.starts_with(CRASH_PATH);
        let time = self.spread(time);
        let deadline = exchange.deadline;
        let is_cut_short = time > deadline;
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.next_run += 1;
        let execution = server.next_run;
        let run = Run {
            from,
            exchange,
            is_cut_short,
        };
        server.runs.insert(execution, run);
        server.peak = server.peak.max(server.runs.len());
        if is_deadly {
            self.schedule(CRASH_AFTER, Delivery::Crash(id.clone()));
        }
        let ends = Delivery::RunEnds {
            server: id,
            execution,
        };
        self.schedule(time.min(deadline), ends);
    }

    fn spread(&mut self, span: time::SpanMs) -> time::SpanMs {
        let part_ms = span.get() * u64::from(self.settings.run_spread_permille) / 1_000;
        self.random_ms(span.get() - part_ms, span.get() + part_ms)
    }

    pub(super) fn run_ends(&mut self, server: &ids::BackendServerId, execution: u64) {
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        let mode = server.mode;
        if let Some(run) = server.runs.remove(&execution) {
            self.answer_run(mode, &run);
        }
    }

    fn answer_run(&mut self, mode: ServerMode, run: &Run) {
        let end = match mode {
            ServerMode::Swallow | ServerMode::Silent | ServerMode::HangUp => return,
            ServerMode::Cut => event::ExchangeEnd::TruncatedResponse,
            ServerMode::Cross => event::ExchangeEnd::MismatchedResponse,
            _ => event::ExchangeEnd::Answered(message::BackendResponse {
                status: if run.is_cut_short {
                    STATUS_GIVEN_UP
                } else {
                    STATUS_DONE
                },
                headers: Vec::new(),
                body: super::answers::body(&run.exchange.request).into_bytes(),
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
        run.is_cut_short = true;
        self.answer_run(mode, &run);
    }

    /// The process dies: every connection to it breaks.
    pub(super) fn crash(&mut self, id: &ids::BackendServerId) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.is_dead = true;
        let comes_back = server.mode != ServerMode::Die;
        let runs = core::mem::take(&mut server.runs);
        for run in runs.into_values() {
            self.exchange_ended(&run.from, run.exchange.number, event::ExchangeEnd::Lost);
        }
        if comes_back {
            self.schedule(REVIVED_AFTER, Delivery::Revive(id.clone()));
        }
    }

    pub(super) fn revive(&mut self, id: &ids::BackendServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.is_dead = false;
        }
    }

    fn exchange_ended(
        &mut self,
        to: &home::Home,
        exchange: event::ExchangeNumber,
        end: event::ExchangeEnd,
    ) {
        let event = event::Event::ExchangeEnded { exchange, end };
        let way = self.way();
        self.send_to_start(to, way, Input::Engine(Box::new(event)));
    }
}
