//! The exchanges of one request, until it has its answer.

use core::pin::pin;
use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::configuration::{Configuration, Route};
use damaskvane_routing::placement::{
    AnsweredRequest, Choice, PassedOver, Pick, PlacementRequest, Refusal,
};
use damaskvane_routing::pool::ExchangeEnd;
use damaskvane_routing::retry::{self, Progress};
use hyper::{Response, StatusCode};
use rand::RngExt;

use crate::clients::pending::PendingRequest;
use crate::clients::reply;
use crate::crashes;
use crate::decision_log::Matter;
use crate::node::Node;
use crate::upstream::{Answer, Exchange, ExchangeOutcome, OutgoingRequest, ResponseBody};

/// When a client should come back whose request no server took.
pub(super) const TURNED_AWAY_RETRY_AFTER_MS: u64 = 200;

/// A request whose service is known.
pub(super) struct Run<'a> {
    pub(super) node: &'a Rc<Node>,
    pub(super) pending: &'a PendingRequest<'a>,
    pub(super) configuration: &'a Configuration,
    pub(super) route: &'a Route,
    pub(super) service: ids::ServiceId,
    pub(super) object: Option<u64>,
    pub(super) outgoing: &'a OutgoingRequest,
    pub(super) deadline: TimeMs,
    pub(super) progress: Progress,
    pub(super) tried: Vec<ids::BackendServerId>,
    /// The next server, where it was chosen and paid for before the last exchange was given up.
    pub(super) reserved: Option<Pick>,
    /// The answer of the last server that failed: the client gets it where no other server does better.
    pub(super) failure: Option<Answer>,
}

impl Run<'_> {
    /// Sends the request to one server after another, as far as that is allowed and helps.
    pub(super) async fn run(mut self) -> Response<ResponseBody> {
        let mut last: Option<ExchangeOutcome> = None;
        loop {
            let pick = match self.reserved.take() {
                Some(pick) => pick,
                None => match self.choose() {
                    Choice::Send(pick) => {
                        if last.is_some() && !self.may_pay(last.as_ref()) {
                            return self.answer_last(last);
                        }
                        pick
                    }
                    Choice::Refuse(refusal) => return self.give_up(last, refusal),
                },
            };
            let Some(mut outcome) = self.attempt(&pick).await else {
                self.tried.push(pick.server);
                return self.timed_out();
            };
            self.progress.note(outcome.end);
            self.note(&pick, &outcome);
            if outcome.end == ExchangeEnd::Failed {
                self.failure = outcome.answer.take();
            }
            if outcome.end == ExchangeEnd::Answered {
                return self.answer_last(Some(outcome));
            }
            self.tried.push(pick.server);
            if !self.progress.may_try_again() || self.is_quarantined().await {
                return self.answer_last(Some(outcome));
            }
            last = Some(outcome);
        }
    }

    fn choose(&self) -> Choice {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let state = &mut *state;
        let instances = state.members.max_running_instances();
        let request = PlacementRequest {
            route: self.route,
            service: &self.service,
            object: self.object,
            tried: &self.tried,
            remaining_ms: self.deadline.since(now).get(),
            spread: rand::rng().random(),
        };
        state
            .placer
            .choose(now, &state.pool, self.configuration, &request, instances)
    }

    /// Whether another try fits the budget. One that follows an unreachable server is no retry: nothing
    /// of the request has arrived anywhere.
    fn may_pay(&self, last: Option<&ExchangeOutcome>) -> bool {
        let was_abandoned = last.is_some_and(|last| last.end == ExchangeEnd::Abandoned);
        if !self.progress.was_sent() && !was_abandoned {
            return true;
        }
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let instances = state.members.max_running_instances();
        let budget = state.budgets.get_mut(&self.service);
        let may = budget.is_some_and(|budget| budget.take(now, instances));
        if may {
            let after = last.map_or("none", |last| last.end.as_str());
            self.node.metrics.retries.with_label_values(&[after]).inc();
            let log = &self.node.log;
            log.request(now, Matter::Failure, |log, left_out| {
                slog::info!(log, "tried again";
                    "request_id" => self.outgoing.request_id.as_deref(), "after" => after,
                    "instances" => instances, "lines_left_out" => left_out);
            });
        } else {
            self.node.metrics.retries_denied.inc();
        }
        may
    }

    /// One exchange; `None` if the time is over.
    async fn attempt(&mut self, pick: &Pick) -> Option<ExchangeOutcome> {
        let started = self.node.now();
        self.pending.note_sent(&pick.server);
        let exchange = Exchange {
            node: self.node,
            request: self.outgoing,
            pick,
            deadline: self.deadline,
            is_retry: self.progress.was_sent(),
        };
        let mut running = pin!(exchange.run());
        let left = remaining(self.node, self.deadline);
        let patience_ms =
            retry::patience_ms(self.route, pick, &self.progress, left.as_millis() as u64);
        if let Some(patience_ms) = patience_ms {
            let patience = Duration::from_millis(patience_ms);
            if let Ok(outcome) = tokio::time::timeout(patience, running.as_mut()).await {
                return Some(outcome);
            }
            self.reserved = self.reserve(pick, started);
            if self.reserved.is_some() {
                return Some(ExchangeOutcome::abandoned());
            }
        }
        let left = remaining(self.node, self.deadline);
        tokio::time::timeout(left, running).await.ok()
    }

    /// The server that is asked in place of one from which nobody hears anything.
    ///
    /// A server that went silent answers nothing until the deadline, while another could still answer an
    /// idempotent request. One that answers others is only busy: asking elsewhere too would add to the
    /// load that made it late.
    fn reserve(&mut self, pick: &Pick, started: TimeMs) -> Option<Pick> {
        if self.node.stop.is_leaving() || self.has_answered_since(pick, started) {
            return None;
        }
        self.tried.push(pick.server.clone());
        let choice = self.choose();
        self.tried.pop();
        let Choice::Send(next) = choice else {
            return None;
        };
        self.may_pay(Some(&ExchangeOutcome::abandoned()))
            .then_some(next)
    }

    fn has_answered_since(&self, pick: &Pick, started: TimeMs) -> bool {
        let state = self.node.state.borrow();
        let server = state.pool.server(&pick.server);
        server.is_some_and(|server| server.answered_at() >= started)
    }

    /// Takes in what an exchange says of its server.
    fn note(&self, pick: &Pick, outcome: &ExchangeOutcome) {
        let now = self.node.now();
        let end = outcome.end.as_str();
        self.node.metrics.exchanges.with_label_values(&[end]).inc();
        self.note_evidence(pick, outcome.end);
        if outcome.end == ExchangeEnd::Answered {
            self.learn(now, pick, outcome);
        }
        let after_ms = now.since(self.pending.started).get();
        let is_in_time = after_ms <= self.route.objective_ms;
        let matter = if outcome.end == ExchangeEnd::Answered && is_in_time {
            Matter::Success
        } else {
            Matter::Failure
        };
        let load = outcome.report.load;
        self.node.log.request(now, matter, |log, left_out| {
            slog::info!(log, "exchange ended";
                "request_id" => self.outgoing.request_id.as_deref(),
                "route" => &self.route.name, "backend_server" => %pick.server, "server_zone" => %pick.zone, "object" => self.object,
                "outcome" => end, "status" => outcome.answer.as_ref().map(|answer| answer.status),
                "load" => pick.load, "rank" => pick.rank, "expected_ms" => pick.expected_ms,
                "took_ms" => outcome.took_ms, "after_ms" => after_ms, "objective_ms" => self.route.objective_ms,
                "was_sent" => pick.was_sent, "remembered_ms" => pick.remembered_ms, "first_ms" => pick.first_ms,
                "passed_over" => pick.passed_over.map(PassedOver::as_str), "tried" => self.tried.len(),
                "running" => load.map(|load| load.running), "waiting" => load.map(|load| load.waiting),
                "left_ms" => self.deadline.since(now).get(),
                "config_version" => self.configuration.version().get(),
                "lines_left_out" => left_out);
        });
    }

    /// Takes the end of an exchange as evidence for or against the request itself.
    fn note_evidence(&self, pick: &Pick, end: ExchangeEnd) {
        let crashes = &self.node.crashes;
        match end {
            ExchangeEnd::Broken => {
                crashes::note_broken(self.node, &pick.server, self.outgoing.fingerprint());
            }
            ExchangeEnd::Answered | ExchangeEnd::Failed if !crashes.is_quiet() => {
                crashes::note_completed(self.node, self.outgoing.fingerprint());
            }
            _ => {}
        }
    }

    async fn is_quarantined(&self) -> bool {
        if self.node.crashes.is_quiet() {
            return false;
        }
        let verdict = crashes::verdict(self.node, self.outgoing.fingerprint());
        verdict.await.is_some()
    }

    fn learn(&self, now: TimeMs, pick: &Pick, outcome: &ExchangeOutcome) {
        let Some(took_ms) = outcome.took_ms else {
            return;
        };
        let mut state = self.node.state.borrow_mut();
        let state = &mut *state;
        let answered = AnsweredRequest {
            route: self.route,
            pick,
            object: self.object,
            took_ms,
            has_waited: outcome.report.load.is_some_and(|load| load.waiting > 0),
        };
        state.placer.record_answer(now, &mut state.pool, &answered);
    }

    fn timed_out(&mut self) -> Response<ResponseBody> {
        if let Some(answer) = self.failure.take() {
            return reply::from_server(answer);
        }
        self.log_end("timeout", None);
        reply::own(
            StatusCode::GATEWAY_TIMEOUT,
            "the server did not answer in time\n",
        )
    }

    /// Answers after the last exchange: the server's answer, or the instance's own word.
    fn answer_last(&mut self, last: Option<ExchangeOutcome>) -> Response<ResponseBody> {
        let Some(last) = last else {
            return self.turned_away(TURNED_AWAY_RETRY_AFTER_MS);
        };
        if let Some(answer) = last.answer.filter(|_| last.end == ExchangeEnd::Answered) {
            return reply::from_server(answer);
        }
        if let Some(answer) = self.failure.take() {
            return reply::from_server(answer);
        }
        if self.progress.is_proven_not_run() {
            let after = last.retry_after_ms.unwrap_or(TURNED_AWAY_RETRY_AFTER_MS);
            return self.turned_away(after);
        }
        self.unknown()
    }

    /// Answers where no further server can be asked.
    fn give_up(
        &mut self,
        last: Option<ExchangeOutcome>,
        refusal: Refusal,
    ) -> Response<ResponseBody> {
        if last.is_some() {
            return self.answer_last(last);
        }
        let reason = refusal.reason.as_str();
        reply::count_refusal(self.node, reason);
        self.log_end(reason, Some(refusal.retry_after_ms));
        reply::not_run(
            "no server can take the request now\n",
            refusal.retry_after_ms,
        )
    }

    fn turned_away(&self, retry_after_ms: u64) -> Response<ResponseBody> {
        reply::count_refusal(self.node, "turned_away");
        self.log_end("turned_away", Some(retry_after_ms));
        reply::not_run("no server took the request\n", retry_after_ms)
    }

    fn unknown(&self) -> Response<ResponseBody> {
        self.log_end("unknown", None);
        reply::own(StatusCode::BAD_GATEWAY, "the server's answer was lost\n")
    }

    fn log_end(&self, reason: &str, retry_after_ms: Option<u64>) {
        let now = self.node.now();
        self.node
            .log
            .request(now, Matter::Failure, |log, left_out| {
                slog::info!(log, "request not served";
                "request_id" => self.outgoing.request_id.as_deref(),
                "route" => &self.route.name, "service" => %self.service, "object" => self.object, "reason" => reason,
                "retry_after_ms" => retry_after_ms, "tried" => self.tried.len(),
                "backend_server" => self.tried.last().map(ToString::to_string),
                "left_ms" => self.deadline.since(now).get(),
                "config_version" => self.configuration.version().get(),
                "store_age_ms" => self.node.store.age(now).get(),
                "lines_left_out" => left_out);
            });
    }
}

/// The time left.
pub(super) fn remaining(node: &Rc<Node>, deadline: TimeMs) -> Duration {
    deadline.since(node.now()).to_duration()
}
