//! The way of one request: its route, its body, its service; `run.rs` takes it from there.

use std::net;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_routing::configuration::Route;
use damaskvane_routing::limit::RetryBudget;
use damaskvane_routing::placement;
use damaskvane_routing::retry::Progress;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::clients::body::{self, BodyError};
use crate::clients::pending::PendingRequest;
use crate::clients::{head, reply, run};
use crate::crashes;
use crate::decision_log::Matter;
use crate::node::Node;
use crate::stop::Stop;
use crate::upstream::{self, OutgoingRequest, ResponseBody};

/// When a client should come back while the instance knows no configuration.
const STARTING_RETRY_AFTER_MS: u64 = 500;
/// Answers a client's request.
pub(super) async fn answer(
    node: &Rc<Node>,
    caller: net::IpAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let started = node.now();
    let _guard = Stop::request(node);
    let names = node.adapter.headers();
    let request_id = head::text(request.headers(), &names.request_id).map(str::to_owned);
    let pending = PendingRequest::new(node, request_id, started);
    let response = route_and_run(&pending, caller, request).await;
    pending.answered();
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
    pending: &PendingRequest<'_>,
    caller: net::IpAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (node, started) = (pending.node, pending.started);
    let Some(configuration) = node.configuration() else {
        pending.turned_away("starting");
        return reply::not_run("no configuration is known yet\n", STARTING_RETRY_AFTER_MS);
    };
    let (parts, incoming) = request.into_parts();
    let host = head::host_of(&parts.headers, &parts.uri);
    let route = configuration.route(&host, parts.uri.path()).cloned();
    let Some(route) = route else {
        pending.turned_away("no_route");
        return reply::own(StatusCode::NOT_FOUND, "no route takes this host and path\n");
    };
    let names = node.adapter.headers();
    let wanted_ms = head::number(&parts.headers, &names.deadline_ms).unwrap_or(route.timeout_ms);
    let deadline = started + SpanMs::new(wanted_ms.min(route.timeout_ms));
    let most_bytes = configuration.limits().body_bytes;
    let mut held = body::HeldBytes::new(node);
    let reading = body::read(incoming, most_bytes, &mut held);
    let Ok(read) = tokio::time::timeout(run::remaining(node, deadline), reading).await else {
        pending.turned_away("slow_body");
        return reply::not_run("the body did not arrive in time\n", 0);
    };
    let body = match read {
        Ok(body) => body,
        Err(BodyError::TooLarge) => {
            pending.turned_away("body_too_large");
            return reply::own(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n");
        }
        Err(BodyError::NoRoom) => {
            pending.turned_away("no_memory");
            return reply::not_run(
                "too many long requests are at work\n",
                STARTING_RETRY_AFTER_MS,
            );
        }
        Err(BodyError::Broken) => {
            pending.turned_away("body_broken");
            return reply::own(StatusCode::BAD_REQUEST, "the body is broken\n");
        }
    };
    let object = head::object_of(&parts.headers, &names.object_cookie);
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
        request_id: pending.request_id.clone(),
        caller,
    };
    if let Some(left) = quarantine_left(pending, &outgoing).await {
        pending.turned_away("quarantined");
        return reply::not_run(
            "this request has crashed backend servers; an operator can let it go\n",
            left.get(),
        );
    }
    let Some(part) = next_part(node, &route) else {
        pending.turned_away("no_destination");
        return reply::not_run(
            "the route has no destination\n",
            run::TURNED_AWAY_RETRY_AFTER_MS,
        );
    };
    let service = part.clone();
    let object = object
        .filter(|_| route.has_affinity)
        .map(|object| placement::object_hash(&service, &route.name, &object));
    note_request(node, &service, &route, object);
    run::Run {
        node,
        pending,
        configuration: &configuration,
        route: &route,
        object,
        service,
        outgoing: &outgoing,
        deadline,
        progress: Progress::new(route.kind, route.attempts.max(1)),
        tried: Vec::new(),
        reserved: None,
        failure: None,
    }
    .run()
    .await
}

/// How much longer the request is refused because it crashes what runs it.
async fn quarantine_left(
    pending: &PendingRequest<'_>,
    outgoing: &OutgoingRequest,
) -> Option<SpanMs> {
    let node = pending.node;
    if node.crashes.is_quiet() {
        return None;
    }
    let fingerprint = outgoing.fingerprint();
    let left = crashes::verdict(node, fingerprint).await?;
    node.log
        .request(node.now(), Matter::Failure, |log, left_out| {
            slog::info!(log, "request is known to crash servers";
            "request_id" => outgoing.request_id.as_deref(), "fingerprint" => %fingerprint,
            "refused_for_ms" => left.get(), "lines_left_out" => left_out);
        });
    Some(left)
}

fn next_part(node: &Rc<Node>, route: &Route) -> Option<ids::ServiceId> {
    let mut state = node.state.borrow_mut();
    let index = state.splits.next(&route.name, &route.destinations)?;
    let part = route.destinations.get(index)?;
    Some(part.service.clone())
}

fn note_request(node: &Rc<Node>, service: &ids::ServiceId, route: &Route, object: Option<u64>) {
    let now = node.now();
    let settings = node.settings().retry_budget();
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    if let Some(object) = object {
        state.placer.record_object_request(route, object);
    }
    let budget = state
        .budgets
        .entry(service.clone())
        .or_insert_with(|| RetryBudget::new(settings));
    budget.note_request(now);
}
