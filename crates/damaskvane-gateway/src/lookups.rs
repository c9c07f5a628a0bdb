//! Responses to clients' lookups and to the platform's readiness checks.
//!
//! A lookup is a client's request for the addresses of entry instances.

use std::rc::Rc;

use bytes::Bytes;
use damaskvane_routing::configuration::RegionSet;
use damaskvane_routing::peers::Phase;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rand::seq::SliceRandom;

use crate::clients;
use crate::node::Node;
use crate::upstream::ResponseBody;

/// Time in milliseconds for which clients may use the addresses of a lookup's response.
///
/// Some clients use the addresses three times as long. After that time no new client connects to a stopping instance.
const TTL_MS: u64 = 1_000;
/// Largest number of addresses in one response that the clients' protocol allows.
const MAX_ADDRESSES: usize = 64;

/// Returns the response to the platform's readiness check: success only while this instance accepts clients.
#[must_use]
pub fn readiness_response(node: &Rc<Node>, request: &Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path();
    if !node.adapter.is_readiness_check(request.method(), path) {
        return empty_response(StatusCode::NOT_FOUND);
    }
    match node.phase() {
        // Nearly all requests would be refused.
        Phase::Ready if !clients::may_serve_keys(node) => {
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
        Phase::Ready => empty_response(StatusCode::OK),
        Phase::Starting | Phase::Limited | Phase::Leaving => {
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

/// Returns the response to a lookup: the addresses of the ready instances nearest to the client.
#[must_use]
pub fn lookup_response(node: &Rc<Node>, request: &Request<Incoming>) -> Response<ResponseBody> {
    let Some(lookup) = node.adapter.look_up(request.method(), request.uri()) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let _timer = node.metrics.lookup_s.start_timer();
    node.metrics.lookups.inc();
    let allowed = allowed_regions(node, &lookup.host);
    let phase = node.phase();
    let mut addresses = {
        let members = &mut node.state.borrow_mut().members;
        members.set_own_phase(node.now(), phase);
        let (zone, region) = (lookup.zone.as_ref(), lookup.region.as_ref());
        members.look_up(node.now(), zone, region, &allowed)
    };
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    if addresses.len() > MAX_ADDRESSES {
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(MAX_ADDRESSES);
    }
    let ttl_max_ms = (node.settings().lookup_ttl_max_s * 1_000.0) as u64;
    let body = node.adapter.lookup_body(&addresses, TTL_MS.min(ttl_max_ms));
    let mut response = Response::new(ResponseBody::whole(body));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns the regions that may serve all routes of a host.
fn allowed_regions(node: &Rc<Node>, host: &str) -> RegionSet {
    let Some(configuration) = node.configuration() else {
        return RegionSet::Any;
    };
    let of_routes = configuration.routes_of(host).map(|route| route.regions());
    of_routes.fold(RegionSet::Any, RegionSet::intersection)
}

fn empty_response(code: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::new()));
    *response.status_mut() = code;
    response
}
