//! Preparation of a client's request: selects the route, reads the body and selects the service.
//!
//! The module `routed_request` then sends the request to backend servers.
//!
//! A service is a group of backend servers that serve the same requests; a route sends its requests to one or
//! more services.

use std::net;
use std::rc::Rc;

use bytes::Bytes;
use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::configuration::Route;
use damaskvane_routing::limit::RetryBudget;
use damaskvane_routing::placement;
use damaskvane_routing::retry::Progress;
use hyper::body::Body;
use hyper::{Request, Response, StatusCode};

use crate::clients::authorization::authorize;
use crate::clients::pending::PendingRequest;
use crate::clients::send_right::SendRight;
use crate::clients::{body, caller, head, reply, routed_request, startup};
use crate::crashes::{Refusal, RefusalReason, RequestCopy};
use crate::decision_log::RequestOutcome;
use crate::http;
use crate::node::Node;
use crate::stop::Stop;
use crate::upstream::{OutgoingRequest, ResponseBody};

/// Retry delay sent to clients while the instance has not read from the store what decides on requests, in milliseconds.
const STARTING_RETRY_AFTER_MS: u64 = 500;

/// Handles a client's request whose head was complete at `arrived`, and records its outcome and duration in the metrics.
pub(super) async fn respond(
    node: &Rc<Node>,
    client_address: net::IpAddr,
    request: Request<impl Body<Data = Bytes> + Unpin>,
    arrived: TimeMs,
) -> Response<ResponseBody> {
    let _guard = Stop::track_request(node);
    let names = node.adapter.headers();
    let request_id = head::text(request.headers(), &names.request_id).map(str::to_owned);
    let pending = PendingRequest::new(node, request_id, arrived);
    let response = route_and_run(&pending, client_address, request).await;
    pending.mark_answered();
    let status = response.status();
    let took_s = node.now().since(arrived).get() as f64 / 1_000.0;
    let outcome = match status.as_u16() {
        200..300 => "served",
        429 | 503 => "refused",
        _ => "failed",
    };
    node.metrics
        .responses
        .with_label_values(&[status.as_str()])
        .inc();
    let histogram = node.metrics.request_s.with_label_values(&[outcome]);
    histogram.observe(took_s);
    response
}

async fn route_and_run(
    pending: &PendingRequest<'_>,
    client_address: net::IpAddr,
    request: Request<impl Body<Data = Bytes> + Unpin>,
) -> Response<ResponseBody> {
    let (node, started) = (pending.node, pending.started);
    startup::until_able(node).await;
    let Some(configuration) = node.configuration() else {
        pending.record_rejection("starting");
        return reply::not_run("no configuration is known yet\n", STARTING_RETRY_AFTER_MS);
    };
    if !node.state.borrow().are_evacuations_listed {
        pending.record_rejection("starting");
        return reply::not_run(
            "the evacuations are not known yet\n",
            STARTING_RETRY_AFTER_MS,
        );
    }
    let (mut parts, incoming) = request.into_parts();
    let host = head::host_of(&parts.headers, &parts.uri);
    let route = configuration.route(&host, parts.uri.path()).cloned();
    let Some(route) = route else {
        pending.record_rejection("no_route");
        return reply::from_instance(StatusCode::NOT_FOUND, "no route takes this host and path\n");
    };
    let names = node.adapter.headers();
    let identity = caller::identify(&configuration, &route, names, &mut parts.headers);
    let caller = match authorize(node, &route, identity) {
        Ok(caller) => caller,
        Err(unauthorized) => {
            pending.record_rejection(unauthorized.as_str());
            return unauthorized.response();
        }
    };
    let requested_ms = head::number(&parts.headers, &names.deadline_ms).unwrap_or(route.timeout_ms);
    let deadline = started + SpanMs::new(requested_ms.min(route.timeout_ms));
    let max_bytes = configuration.limits().body_bytes;
    let mut held = body::HeldBytes::new(node);
    let timeout = routed_request::remaining(node, deadline);
    let read = body::read_within(timeout, incoming, max_bytes, &mut held).await;
    let body = match read {
        Ok(body) => body,
        Err(error) => {
            pending.record_rejection(error.as_str());
            return error.response();
        }
    };
    if !node.stop.leaves_time_until(deadline) {
        pending.record_rejection("stopping");
        return reply::not_run("the instance stops before the request could end\n", 0);
    }
    let object = head::object_of(&parts.headers, &names.object_cookie);
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let target = target.to_owned();
    let mut headers = parts.headers;
    http::strip_connection_headers(&mut headers);
    let outgoing = OutgoingRequest {
        method: parts.method,
        target,
        headers,
        body,
        request_id: pending.request_id.clone(),
        team: caller.as_ref().map(|caller| caller.team.name.clone()),
        client_address,
    };
    let copy = RequestCopy::new(node, &outgoing);
    if let Some(refusal) = copy.resolve_refusal(deadline).await {
        log_crash_refusal(node, &outgoing, &refusal);
        pending.record_rejection(refusal.reason.as_str());
        return reply::not_run(refusal_text(refusal.reason), refusal.remaining.get());
    }
    let Some(destination) = next_destination(node, &route) else {
        pending.record_rejection("no_destination");
        return reply::not_run(
            "the route has no destination\n",
            routed_request::REJECTED_RETRY_AFTER_MS,
        );
    };
    let service = destination.clone();
    let object = object
        .filter(|_| route.has_affinity)
        .map(|object| placement::object_hash(&service, &route.name, &object));
    record_request(node, &service, &route, object);
    let of_team = caller.as_ref().map(|caller| caller.team.regions());
    let allowed_regions = match of_team {
        Some(of_team) => route.regions().intersection(of_team),
        None => route.regions(),
    };
    let of_team = caller.as_ref().and_then(|caller| caller.team.priority);
    let priority = of_team.unwrap_or(route.priority);
    let right = SendRight::new(node, caller, priority, token_patience(&route));
    routed_request::RoutedRequest {
        node,
        pending,
        configuration: &configuration,
        route: &route,
        object,
        service,
        outgoing: &outgoing,
        allowed_regions: &allowed_regions,
        deadline,
        progress: Progress::new(route.kind, route.attempts.max(1)),
        tried: Vec::new(),
        right: &right,
        copy: &copy,
        reserved: None,
        token_from: None,
        is_next_charged: false,
        failed_response: None,
    }
    .run()
    .await
}

/// Returns how long a request may wait for tokens of its team's quota or of servers' limits: afterwards its response would
/// be late.
pub(super) fn token_patience(route: &Route) -> SpanMs {
    SpanMs::new(route.objective_ms / 2)
}

const fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Quarantined => {
            "this request has crashed backend servers; an operator can let it go\n"
        }
        RefusalReason::OnTrial => {
            "backend servers have crashed under this request; it is being tried\n"
        }
    }
}

fn log_crash_refusal(node: &Rc<Node>, outgoing: &OutgoingRequest, refusal: &Refusal) {
    node.log
        .log_request(node.now(), RequestOutcome::Failure, |log, left_out| {
            slog::info!(log, "request is known to crash servers";
            "request_id" => outgoing.request_id.as_deref(), "fingerprint" => %refusal.fingerprint,
            "reason" => refusal.reason.as_str(), "refused_for_ms" => refusal.remaining.get(),
            "lines_left_out" => left_out);
        });
}

fn next_destination(node: &Rc<Node>, route: &Route) -> Option<ids::ServiceId> {
    let mut state = node.state.borrow_mut();
    let index = state.splits.next(&route.name, &route.destinations)?;
    let destination = route.destinations.get(index)?;
    Some(destination.service.clone())
}

fn record_request(node: &Rc<Node>, service: &ids::ServiceId, route: &Route, object: Option<u64>) {
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
    budget.record_request(now);
}
