//! Sending of one request to backend servers, with retries, until its response is determined.
//!
//! An exchange is one attempt: the request is sent to one server, and the server's response is read. The
//! retry budget of a service (a group of servers) limits the retries of all its requests.

use core::pin::pin;
use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::configuration::{Configuration, RegionSet, Route};
use damaskvane_routing::limit::RequestRate;
use damaskvane_routing::placement::{
    AnsweredRequest, Choice, Pick, PlacementRequest, Refusal, RefusalReason, SkipReason,
};
use damaskvane_routing::pool::{ExchangeEnd, StatementSource, TimeFactor};
use damaskvane_routing::retry::{self, Progress};
use hyper::Response;
use rand::RngExt;

use crate::clients::dispatch::token_patience;
use crate::clients::pending::PendingRequest;
use crate::clients::send_right::SendRight;
use crate::crashes::{self, RequestCopy};
use crate::decision_log::RequestOutcome;
use crate::node::Node;
use crate::reach;
use crate::send_permit::{NotAdmitted, Purpose, SendPermit};
use crate::tunnel::Path;
use crate::upstream::{BackendResponse, Exchange, ExchangeOutcome, OutgoingRequest, ResponseBody};

/// Retry delay sent to a client whose request no server accepted, in milliseconds, if no server's response
/// named a delay.
pub(super) const REJECTED_RETRY_AFTER_MS: u64 = 200;

/// A request with its selected service, and the state of its attempts.
pub(super) struct RoutedRequest<'a> {
    pub(super) node: &'a Rc<Node>,
    pub(super) pending: &'a PendingRequest<'a>,
    pub(super) configuration: &'a Configuration,
    pub(super) route: &'a Route,
    pub(super) service: ids::ServiceId,
    /// The hash of the object that the request is about; `None` if the route doesn't prefer the same servers
    /// for the same object, or the request names no object.
    pub(super) object: Option<u64>,
    pub(super) outgoing: &'a OutgoingRequest,
    /// The regions that both the route and the team allow.
    pub(super) allowed_regions: &'a RegionSet,
    pub(super) deadline: TimeMs,
    pub(super) progress: Progress,
    /// The servers to which an attempt was made, in order.
    pub(super) tried: Vec<ids::BackendServerId>,
    /// The next server, if it was selected and charged to the retry budget before the last exchange was
    /// abandoned.
    pub(super) reserved: Option<(Pick, SendPermit)>,
    /// The instance that granted the token for the attempt; `None` if its server had no limit.
    pub(super) token_from: Option<ids::InstanceId>,
    /// Whether the next attempt was charged to the retry budget before.
    pub(super) is_next_charged: bool,
    /// The right to send the request: its key and its token of the quota.
    pub(super) right: &'a SendRight<'a>,
    /// The client's call as a copy of a request that may crash servers.
    pub(super) copy: &'a RequestCopy<'a>,
    /// The response of the last server that failed; the client gets it if no other server succeeds.
    pub(super) failed_response: Option<BackendResponse>,
}

impl RoutedRequest<'_> {
    /// Sends the request to one server after another until one responds or no further attempt is allowed.
    pub(super) async fn run(mut self) -> Response<ResponseBody> {
        let mut last: Option<ExchangeOutcome> = None;
        loop {
            if let Err(withheld) = self.right.acquire().await {
                return self.withhold(last, withheld);
            }
            let (pick, permit) = match self.choose_permitted().await {
                Ok(chosen) => chosen,
                Err(refusal) => return self.refuse(last, refusal),
            };
            self.token_from = permit.granted_by();
            let is_charged = core::mem::take(&mut self.is_next_charged);
            if last.is_some() && !is_charged && !self.spend_retry_budget(last.as_ref()) {
                return self.final_response(last);
            }
            let started = self.node.now();
            let Some(mut outcome) = self.attempt(&pick, &permit).await else {
                self.tried.push(pick.server);
                return self.respond_timeout();
            };
            if let Some(withheld) = outcome.withheld {
                return self.withhold(last, withheld);
            }
            let took = self.node.now().since(started);
            self.progress.record(outcome.end, took);
            self.record_exchange(&pick, &outcome);
            if matches!(outcome.end, ExchangeEnd::Limited | ExchangeEnd::Unavailable) {
                self.is_next_charged = last.is_some();
                continue;
            }
            if outcome.end == ExchangeEnd::Failed {
                self.failed_response = outcome.response.take();
            }
            if outcome.end == ExchangeEnd::Answered {
                return self.final_response(Some(outcome));
            }
            if outcome.end != ExchangeEnd::Withdrawn {
                self.tried.push(pick.server);
            }
            if !self.progress.may_try_again() || self.is_refused().await {
                return self.final_response(Some(outcome));
            }
            last = Some(outcome);
        }
    }

    /// Selects a server and takes the permission to send the request to it. Servers with a limit and without a token for
    /// the request are passed over; once they have cost much of the time for a useful response, the request is refused.
    async fn choose_permitted(&mut self) -> Result<(Pick, SendPermit), Refusal> {
        if let Some(reserved) = self.reserved.take() {
            return Ok(reserved);
        }
        let started = self.node.now();
        loop {
            let pick = match self.choose() {
                Choice::Send(pick) => pick,
                Choice::Refuse(refusal) => return Err(refusal),
            };
            if let Ok(permit) = self.permit(&pick).await {
                return Ok((pick, permit));
            }
            let waited = self.node.now().since(started);
            if waited > token_patience(self.route) {
                return Err(self.refuse_limited());
            }
        }
    }

    async fn permit(&self, pick: &Pick) -> Result<SendPermit, NotAdmitted> {
        let priority = self.placement_request().priority();
        let purpose = Purpose::Request { priority };
        SendPermit::acquire(self.node, &pick.server, purpose).await
    }

    fn refuse_limited(&self) -> Refusal {
        let state = self.node.state.borrow();
        let settings = &state.placer.settings;
        settings.refusal(RefusalReason::Limited, rand::rng().random())
    }

    fn choose(&self) -> Choice {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let state = &mut *state;
        let instances = state.members.max_running_instances();
        let request = self.placement_request();
        state
            .placer
            .choose(now, &state.pool, self.configuration, &request, instances)
    }

    pub(super) fn placement_request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            route: self.route,
            team: self.right.caller().map(|caller| &*caller.team),
            service: &self.service,
            object: self.object,
            tried: &self.tried,
            remaining_ms: self.deadline.since(self.node.now()).get(),
            spread: rand::rng().random(),
        }
    }

    /// Takes one retry from the service's budget; returns whether the next attempt is allowed.
    ///
    /// An attempt takes nothing from the budget if all servers before were unreachable: the attempt isn't a
    /// retry, because no server has received any part of the request.
    fn spend_retry_budget(&self, last: Option<&ExchangeOutcome>) -> bool {
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
            log.log_request(now, RequestOutcome::Failure, |log, left_out| {
                slog::info!(log, "request retried";
                    "request_id" => self.outgoing.request_id.as_deref(), "after" => after,
                    "instances" => instances, "lines_left_out" => left_out);
            });
        } else {
            self.node.metrics.retries_denied.inc();
        }
        may
    }

    /// Runs one exchange with the server of `pick`; returns `None` if the request's deadline passes.
    async fn attempt(&mut self, pick: &Pick, permit: &SendPermit) -> Option<ExchangeOutcome> {
        let started = self.node.now();
        self.pending.record_server(&pick.server);
        if let Some(age_ms) = pick.report_age_ms {
            let metrics = &self.node.metrics;
            metrics.report_age_s.observe(age_ms as f64 / 1_000.0);
        }
        let exchange = Exchange {
            node: self.node,
            request: self.outgoing,
            pick,
            deadline: self.deadline,
            is_retry: self.progress.was_sent(),
            allowed_regions: self.allowed_regions,
            right: self.right,
            permit,
            withdrawable: self.route.kind.may_run_again().then_some(self.copy),
        };
        let mut running = pin!(exchange.run());
        let remaining_time = remaining(self.node, self.deadline);
        let timeout_ms = retry::attempt_timeout_ms(
            self.route,
            pick,
            &self.progress,
            remaining_time.as_millis() as u64,
        );
        if let Some(timeout_ms) = timeout_ms {
            let timeout = Duration::from_millis(timeout_ms);
            if let Ok(outcome) = tokio::time::timeout(timeout, running.as_mut()).await {
                return Some(outcome);
            }
            self.reserved = self.reserve_alternative(pick, started).await;
            self.is_next_charged = self.reserved.is_some();
            if self.is_next_charged {
                return Some(ExchangeOutcome::abandoned());
            }
        }
        let remaining_time = remaining(self.node, self.deadline);
        tokio::time::timeout(remaining_time, running).await.ok()
    }

    /// Selects another server if the server of `pick` has responded to no request since the exchange started
    /// at `started`.
    ///
    /// A server that has stopped responding would use up the deadline, while another server could still
    /// respond to an idempotent request. A server that responds to other requests is only busy: a second
    /// attempt elsewhere would add to the load that made the server late.
    async fn reserve_alternative(
        &mut self,
        pick: &Pick,
        started: TimeMs,
    ) -> Option<(Pick, SendPermit)> {
        if self.node.stop.is_leaving() || self.has_answered_since(pick, started) {
            return None;
        }
        self.tried.push(pick.server.clone());
        let choice = self.choose();
        self.tried.pop();
        let Choice::Send(next) = choice else {
            return None;
        };
        let permit = self.permit(&next).await.ok()?;
        self.spend_retry_budget(Some(&ExchangeOutcome::abandoned()))
            .then_some((next, permit))
    }

    fn has_answered_since(&self, pick: &Pick, started: TimeMs) -> bool {
        let state = self.node.state.borrow();
        let server = state.pool.server(&pick.server);
        server.is_some_and(|server| server.answered_at() >= started)
    }

    /// Records the outcome of an exchange in metrics, response time estimates and log.
    fn record_exchange(&self, pick: &Pick, outcome: &ExchangeOutcome) {
        let now = self.node.now();
        let end = outcome.end.as_str();
        self.node.metrics.exchanges.with_label_values(&[end]).inc();
        self.record_crash_evidence(pick, outcome.end, outcome.path.as_ref());
        let has_queue = outcome.report.load.is_some_and(|load| load.waiting > 0);
        if has_queue && pick.had_room {
            self.node.metrics.needless_queueing.inc();
        }
        if outcome.end == ExchangeEnd::Answered {
            self.record_response_time(now, pick, outcome);
        }
        let after_ms = now.since(self.pending.started).get();
        let is_in_time = after_ms <= self.route.objective_ms;
        let log_kind = if outcome.end == ExchangeEnd::Answered && is_in_time {
            RequestOutcome::Success
        } else {
            RequestOutcome::Failure
        };
        let load = outcome.report.load;
        let sending = outcome.sending;
        let limit = sending.map(|one| one.known.limit);
        let limit = limit.filter(|limit| limit.rate().is_some());
        let rest = sending.filter(|one| one.known.rest.is_resting(one.at));
        self.node.log.log_request(now, log_kind, |log, left_out| {
            slog::info!(log, "exchange ended";
                "request_id" => self.outgoing.request_id.as_deref(),
                "route" => &self.route.name, "backend_server" => %pick.server, "server_zone" => %pick.zone, "object" => self.object,
                "team" => self.outgoing.team.as_ref().map(ToString::to_string),
                "outcome" => end, "fault" => outcome.fault.as_ref().map(ToString::to_string), "status" => outcome.response.as_ref().map(|response| response.status.as_u16()),
                "load" => pick.load, "rank" => pick.rank, "expected_ms" => pick.expected_ms,
                "report_age_ms" => pick.report_age_ms,
                "took_ms" => outcome.took_ms, "after_ms" => after_ms, "objective_ms" => self.route.objective_ms,
                "was_sent" => pick.was_sent, "remembered_ms" => pick.remembered_ms, "first_ms" => pick.first_ms,
                "passed_over" => pick.passed_over.map(SkipReason::as_str), "tried" => self.tried.len(),
                "through" => outcome.path.as_ref().and_then(|path| path.peer()).map(|peer| peer.instance.to_string()),
                "limit_per_s" => limit.and_then(|limit| limit.rate()).map(RequestRate::per_s),
                "limit_known_ms" => limit.map(|limit| now.since(limit.learned_at()).get()),
                "asked_rest_ms" => outcome.report.asked_rest().map(SpanMs::get),
                "rest_left_ms" => rest.map(|one| one.known.rest.remaining(one.at).get()),
                "rest_source" => rest.and_then(|one| one.known.rest.source()).map(StatementSource::as_str),
                "server_leaves" => sending.map(|one| one.known.is_leaving()),
                "token_from" => self.token_from.as_ref().map(ToString::to_string),
                "running" => load.map(|load| load.running), "waiting" => load.map(|load| load.waiting),
                "time_factor_percent" => outcome.report.time_factor.map(TimeFactor::percent),
                "left_ms" => self.deadline.since(now).get(),
                "config_version" => self.configuration.version().get(),
                "lines_left_out" => left_out);
        });
    }

    /// Records the end of an exchange as evidence of whether the request crashes servers.
    fn record_crash_evidence(&self, pick: &Pick, end: ExchangeEnd, path: Option<&Path>) {
        let crashes = &self.node.crashes;
        match end {
            ExchangeEnd::Broken if !reach::is_partitioned_on(self.node, path) => {
                crashes::record_broken_exchange(self.node, pick, self.outgoing);
                self.copy.record_broken();
            }
            ExchangeEnd::Misdirected => {
                crashes::record_server_death(self.node, &pick.server, "address");
            }
            // A failure proves nothing: a run may have been cut off before the point at which it crashes its server.
            ExchangeEnd::Answered if !crashes.is_empty() => {
                crashes::record_completed(self.node, &self.outgoing.identity());
            }
            _ => {}
        }
    }

    async fn is_refused(&self) -> bool {
        self.copy.resolve_refusal(self.deadline).await.is_some()
    }

    fn record_response_time(&self, now: TimeMs, pick: &Pick, outcome: &ExchangeOutcome) {
        let Some(took_ms) = outcome.took_ms else {
            return;
        };
        let mut state = self.node.state.borrow_mut();
        let state = &mut *state;
        let answered = AnsweredRequest {
            route: self.route,
            pick,
            object: self.object,
            bytes: outcome.bytes,
            took_ms,
            has_waited: outcome.report.load.is_some_and(|load| load.waiting > 0),
            time_factor: outcome.report.time_factor,
        };
        state.placer.record_answer(now, &mut state.pool, &answered);
    }
}

/// Returns the time until the deadline; zero if it has passed.
pub(super) fn remaining(node: &Rc<Node>, deadline: TimeMs) -> Duration {
    deadline.since(node.now()).to_duration()
}
