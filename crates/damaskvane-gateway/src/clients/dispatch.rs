//! The way of one request: route, placement, exchanges, answer.

use core::pin::pin;
use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::configuration::{Configuration, Route};
use damaskvane_routing::limit::RetryBudget;
use damaskvane_routing::placement::{
    self, AnsweredRequest, Choice, Pick, PlacementRequest, Refusal,
};
use damaskvane_routing::pool::ExchangeEnd;
use damaskvane_routing::retry::Progress;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Request, Response, StatusCode};
use rand::RngExt;

use crate::clients::body::{self, BodyError};
use crate::clients::reply;
use crate::decision_log::Matter;
use crate::node::Node;
use crate::stop::Stop;
use crate::upstream::{self, AnswerBody, Exchange, ExchangeOutcome, OutgoingRequest};

/// When a client should come back while the instance knows no configuration.
const STARTING_RETRY_AFTER_MS: u64 = 500;
/// When a client should come back whose request no server took.
const TURNED_AWAY_RETRY_AFTER_MS: u64 = 200;
/// An idempotent request is tried elsewhere after so many objectives without an answer.
const PATIENCE_OBJECTIVES: u64 = 2;

/// Answers a client's request.
pub(super) async fn answer(node: &Rc<Node>, request: Request<Incoming>) -> Response<AnswerBody> {
    let started = node.now();
    let _guard = Stop::request(node);
    let response = route_and_run(node, request, started).await;
    let status = response.status();
    let took_s = node.now().since(started).get() as f64 / 1_000.0;
    let outcome = match status.as_u16() {
        200..300 => "served",
        503 => "refused",
        _ => "failed",
    };
    node.metrics
        .answers
        .with_label_values(&[status.as_str()])
        .inc();
    let histogram = node.metrics.request_s.with_label_values(&[outcome]);
    histogram.observe(took_s);
    response
}

async fn route_and_run(
    node: &Rc<Node>,
    request: Request<Incoming>,
    started: TimeMs,
) -> Response<AnswerBody> {
    let Some(configuration) = node.configuration() else {
        count_refusal(node, "starting");
        return reply::not_run("no configuration is known yet\n", STARTING_RETRY_AFTER_MS);
    };
    let (parts, incoming) = request.into_parts();
    let host = host_of(&parts.headers, &parts.uri);
    let route = configuration.route(&host, parts.uri.path()).cloned();
    let Some(route) = route else {
        count_refusal(node, "no_route");
        return reply::own(StatusCode::NOT_FOUND, "no route takes this host and path\n");
    };
    let names = node.adapter.headers();
    let wanted_ms = number(&parts.headers, &names.deadline_ms).unwrap_or(route.timeout_ms);
    let deadline = started + SpanMs::new(wanted_ms.min(route.timeout_ms));
    let most_bytes = configuration.limits().body_bytes;
    let reading = body::read(incoming, most_bytes);
    let Ok(read) = tokio::time::timeout(remaining(node, deadline), reading).await else {
        count_refusal(node, "slow_body");
        return reply::not_run("the body did not arrive in time\n", 0);
    };
    let body = match read {
        Ok(body) => body,
        Err(BodyError::TooLarge) => {
            count_refusal(node, "body_too_large");
            return reply::own(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");
        }
        Err(BodyError::Broken) => {
            count_refusal(node, "body_broken");
            return reply::own(StatusCode::BAD_REQUEST, "the body is broken\n");
        }
    };
    let object = object_of(&parts.headers, &names.object_cookie);
    let request_id = text(&parts.headers, &names.request_id).map(str::to_owned);
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let target = target.to_owned();
    let mut headers = parts.headers;
    upstream::strip_connection_headers(&mut headers);
    let outgoing = OutgoingRequest {
        method: parts.method,
        target,
        headers,
        body,
        request_id,
    };
    let Some(part) = next_part(node, &route) else {
        count_refusal(node, "no_destination");
        return reply::not_run("the route has no destination\n", TURNED_AWAY_RETRY_AFTER_MS);
    };
    let service = part.clone();
    note_request(node, &service);
    Run {
        node,
        configuration: &configuration,
        route: &route,
        object: object
            .filter(|_| route.has_affinity)
            .map(|object| placement::object_hash(&service, &object)),
        service,
        outgoing: &outgoing,
        deadline,
        progress: Progress::new(route.kind, route.attempts.max(1)),
        tried: Vec::new(),
        reserved: None,
    }
    .run()
    .await
}

struct Run<'a> {
    node: &'a Rc<Node>,
    configuration: &'a Configuration,
    route: &'a Route,
    service: ids::ServiceId,
    object: Option<u64>,
    outgoing: &'a OutgoingRequest,
    deadline: TimeMs,
    progress: Progress,
    tried: Vec<ids::BackendServerId>,
    /// The next server, where it was chosen and paid for before the last exchange was given up.
    reserved: Option<Pick>,
}

impl Run<'_> {
    async fn run(mut self) -> Response<AnswerBody> {
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
            let Some(outcome) = self.attempt(&pick).await else {
                return self.timed_out();
            };
            self.progress.note(outcome.end);
            self.note(&pick, &outcome);
            if outcome.end == ExchangeEnd::Answered {
                return self.answer_last(Some(outcome));
            }
            self.tried.push(pick.server);
            if !self.progress.may_try_again() {
                return self.answer_last(Some(outcome));
            }
            last = Some(outcome);
        }
    }

    fn choose(&self) -> Choice {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let state = &mut *state;
        let instances = state.members.most_at_work();
        let request = PlacementRequest {
            route: self.route,
            service: &self.service,
            object: self.object,
            tried: &self.tried,
            left_ms: self.deadline.since(now).get(),
            spread: rand::rng().random(),
        };
        state.placer.choose(
            now,
            &mut state.pool,
            self.configuration,
            &request,
            instances,
        )
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
        let instances = state.members.most_at_work();
        let budget = state.budgets.get_mut(&self.service);
        let may = budget.is_some_and(|budget| budget.take(now, instances));
        if may {
            let after = last.map_or("none", |last| end_name(last.end));
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
        let exchange = Exchange {
            node: self.node,
            request: self.outgoing,
            pick,
            deadline: self.deadline,
        };
        let mut running = pin!(exchange.run());
        let left = remaining(self.node, self.deadline);
        if let Some(patience) = self.patience(left) {
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

    /// How long to wait for this server before another one may be asked instead.
    fn patience(&self, left: Duration) -> Option<Duration> {
        let mut next = self.progress.clone();
        next.note(ExchangeEnd::Abandoned);
        let patience = Duration::from_millis(self.route.objective_ms * PATIENCE_OBJECTIVES);
        (next.may_try_again() && patience * 2 <= left).then_some(patience)
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
        let end = end_name(outcome.end);
        self.node.metrics.exchanges.with_label_values(&[end]).inc();
        if outcome.end == ExchangeEnd::Answered {
            self.learn(now, pick, outcome);
        }
        let matter = if outcome.end == ExchangeEnd::Answered {
            Matter::Success
        } else {
            Matter::Failure
        };
        self.node.log.request(now, matter, |log, left_out| {
            slog::info!(log, "exchange ended";
                "request_id" => self.outgoing.request_id.as_deref(),
                "route" => &self.route.name, "backend_server" => %pick.server, "object" => self.object,
                "outcome" => end, "status" => outcome.answer.as_ref().map(|answer| answer.status),
                "load" => pick.load, "rank" => pick.rank, "expected_ms" => pick.expected_ms,
                "left_ms" => self.deadline.since(now).get(),
                "config_version" => self.configuration.version().get(),
                "lines_left_out" => left_out);
        });
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
        state.placer.note_answered(now, &mut state.pool, &answered);
    }

    fn timed_out(&self) -> Response<AnswerBody> {
        self.log_end("timeout", None);
        reply::own(
            StatusCode::GATEWAY_TIMEOUT,
            "the server did not answer in time\n",
        )
    }

    /// Answers after the last exchange: the server's answer, or the instance's own word.
    fn answer_last(&self, last: Option<ExchangeOutcome>) -> Response<AnswerBody> {
        let Some(last) = last else {
            return self.turned_away(TURNED_AWAY_RETRY_AFTER_MS);
        };
        match last.end {
            ExchangeEnd::Answered | ExchangeEnd::Failed => match last.answer {
                Some(answer) => reply::from_server(answer),
                None => self.unknown(),
            },
            _ if self.progress.is_proven_not_run() => {
                let after = last.retry_after_ms.unwrap_or(TURNED_AWAY_RETRY_AFTER_MS);
                self.turned_away(after)
            }
            _ => self.unknown(),
        }
    }

    /// Answers where no further server can be asked.
    fn give_up(&self, last: Option<ExchangeOutcome>, refusal: Refusal) -> Response<AnswerBody> {
        if last.is_some() {
            return self.answer_last(last);
        }
        let reason = refusal.reason.as_str();
        count_refusal(self.node, reason);
        self.log_end(reason, Some(refusal.retry_after_ms));
        reply::not_run(
            "no server can take the request now\n",
            refusal.retry_after_ms,
        )
    }

    fn turned_away(&self, retry_after_ms: u64) -> Response<AnswerBody> {
        count_refusal(self.node, "turned_away");
        self.log_end("turned_away", Some(retry_after_ms));
        reply::not_run("no server took the request\n", retry_after_ms)
    }

    fn unknown(&self) -> Response<AnswerBody> {
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
                "left_ms" => self.deadline.since(now).get(),
                "config_version" => self.configuration.version().get(),
                "store_age_ms" => self.node.store.age(now).get(),
                "lines_left_out" => left_out);
            });
    }
}

fn count_refusal(node: &Rc<Node>, reason: &str) {
    node.metrics.refusals.with_label_values(&[reason]).inc();
}

fn next_part(node: &Rc<Node>, route: &Route) -> Option<ids::ServiceId> {
    let mut state = node.state.borrow_mut();
    let index = state.splits.next(&route.name, &route.destinations)?;
    let part = route.destinations.get(index)?;
    Some(part.service.clone())
}

fn note_request(node: &Rc<Node>, service: &ids::ServiceId) {
    let now = node.now();
    let settings = node.settings().retry_budget();
    let mut state = node.state.borrow_mut();
    let budget = state
        .budgets
        .entry(service.clone())
        .or_insert_with(|| RetryBudget::new(settings));
    budget.note_request(now);
}

fn remaining(node: &Rc<Node>, deadline: TimeMs) -> Duration {
    deadline.since(node.now()).to_duration()
}

const fn end_name(end: ExchangeEnd) -> &'static str {
    match end {
        ExchangeEnd::Answered => "answered",
        ExchangeEnd::Failed => "failed",
        ExchangeEnd::Shed => "shed",
        ExchangeEnd::Misdirected => "misdirected",
        ExchangeEnd::Broken => "broken",
        ExchangeEnd::Malformed => "malformed",
        ExchangeEnd::Unreachable => "unreachable",
        ExchangeEnd::Silent => "silent",
        ExchangeEnd::Abandoned => "abandoned",
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &header::HeaderName) -> Option<u64> {
    let value: f64 = text(headers, name)?.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value as u64)
}

/// The host of a request, in lower case and without a port.
fn host_of(headers: &HeaderMap, uri: &hyper::Uri) -> String {
    let host = uri.host().or_else(|| text(headers, &header::HOST));
    let host = host.unwrap_or_default();
    let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
    without_port.to_ascii_lowercase()
}

/// The object that a request's cookie names.
fn object_of(headers: &HeaderMap, cookie: &str) -> Option<String> {
    headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(';'))
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(name, _)| *name == cookie)
        .map(|(_, value)| value.to_owned())
}
