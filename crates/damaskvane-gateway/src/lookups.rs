//! Look-ups and readiness.

use std::rc::Rc;

use bytes::Bytes;
use damaskvane_core::ids;
use damaskvane_routing::peers::Phase;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rand::seq::SliceRandom;

use crate::node::Node;
use crate::upstream::ResponseBody;

/// How long clients keep an answer. Some keep it three times as long: a stopping instance is served by
/// no new client after that.
const TTL_MS: u64 = 1_000;
/// Most addresses in one answer, by the clients' protocol.
const MOST_ADDRESSES: usize = 64;

/// Answers the platform's question whether the instance is ready.
#[must_use]
pub fn readiness_response(node: &Rc<Node>, request: &Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path();
    if !node.adapter.is_readiness_check(request.method(), path) {
        return status(StatusCode::NOT_FOUND);
    }
    match node.phase() {
        Phase::Ready => status(StatusCode::OK),
        Phase::Starting | Phase::Leaving => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Answers a look-up.
#[must_use]
pub fn lookup_response(node: &Rc<Node>, request: &Request<Incoming>) -> Response<ResponseBody> {
    let Some(look_up) = node.adapter.look_up(request.method(), request.uri()) else {
        return status(StatusCode::NOT_FOUND);
    };
    let _timer = node.metrics.look_up_s.start_timer();
    node.metrics.look_ups.inc();
    let allowed = allowed_regions(node, &look_up.host);
    let phase = node.phase();
    let mut addresses = {
        let members = &mut node.state.borrow_mut().members;
        members.set_own_phase(node.now(), phase);
        let (zone, region) = (look_up.zone.as_ref(), look_up.region.as_ref());
        members.look_up(node.now(), zone, region, &allowed)
    };
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    if addresses.len() > MOST_ADDRESSES {
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(MOST_ADDRESSES);
    }
    let ttl_max_ms = (node.settings().lookup_ttl_max_s * 1_000.0) as u64;
    let body = node
        .adapter
        .lookup_body(&addresses, TTL_MS.min(ttl_max_ms));
    let mut response = Response::new(ResponseBody::whole(body));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

/// The regions that may serve all of a host; empty where any may.
fn allowed_regions(node: &Rc<Node>, host: &str) -> Vec<ids::RegionId> {
    let Some(configuration) = node.configuration() else {
        return Vec::new();
    };
    let mut bound = configuration
        .routes_of(host)
        .filter(|route| !route.allowed_regions.is_empty());
    let Some(first) = bound.next() else {
        return Vec::new();
    };
    let mut allowed = first.allowed_regions.clone();
    for route in bound {
        allowed.retain(|region| route.allows(region));
    }
    allowed
}

fn status(code: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::new()));
    *response.status_mut() = code;
    response
}
