//! Responses to clients: those that this instance creates, and those of backend servers.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use rand::RngExt;

use crate::node::Node;
use crate::upstream::{BackendResponse, ResponseBody};

/// Retry delay sent to clients whose keys can't be checked, in milliseconds: a new proof arrives about once a second.
const OUTDATED_RETRY_AFTER_MS: u64 = 500;

/// Shortest retry delay sent to clients whose team has used its quota, in milliseconds.
const MIN_QUOTA_RETRY_MS: u64 = 150;

/// Returns a response that this instance creates.
pub(super) fn from_instance(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let body = ResponseBody::whole(Bytes::from_static(text.as_bytes()));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Returns a 503 response with a `Retry-After` header; the status means that no server runs the request or
/// has run the request.
pub(super) fn not_run(text: &'static str, retry_after_ms: u64) -> Response<ResponseBody> {
    let mut response = from_instance(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns the response to a request whose key may have been revoked, as far as this instance knows.
pub(super) fn configuration_outdated() -> Response<ResponseBody> {
    not_run(
        "this instance can't check the key now\n",
        spread_retry_ms(OUTDATED_RETRY_AFTER_MS),
    )
}

/// Returns a 429 response with a `Retry-After` header: the team has used its quota, and the request has not run.
pub(super) fn over_quota(retry_after_ms: u64) -> Response<ResponseBody> {
    let mut response = not_run(
        "the team has used its quota\n",
        spread_retry_ms(retry_after_ms.max(MIN_QUOTA_RETRY_MS)),
    );
    *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
    response
}

/// Adds a random time, so that clients that were refused together don't return together.
fn spread_retry_ms(retry_after_ms: u64) -> u64 {
    retry_after_ms + rand::rng().random_range(0..=retry_after_ms / 2)
}

/// Converts a backend server's response without changing its status, headers or body.
pub(super) fn from_server(backend_response: BackendResponse) -> Response<ResponseBody> {
    let mut response = Response::new(backend_response.body);
    *response.status_mut() = backend_response.status;
    *response.headers_mut() = backend_response.headers;
    response
}

/// Counts a refused request in the metrics, by the reason of the refusal.
pub(super) fn count_refusal(node: &Rc<Node>, reason: &str) {
    node.metrics.refusals.with_label_values(&[reason]).inc();
}
