//! Responses to clients: those that this instance creates, and those of backend servers.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::node::Node;
use crate::upstream::{BackendResponse, ResponseBody};

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

/// Converts a backend server's response without changing its status, headers or body.
pub(super) fn from_server(backend_response: BackendResponse) -> Response<ResponseBody> {
    let mut response = Response::new(backend_response.body);
    if let Ok(status) = StatusCode::from_u16(backend_response.status) {
        *response.status_mut() = status;
    }
    *response.headers_mut() = backend_response.headers;
    response
}

/// Counts a refused request in the metrics, by the reason of the refusal.
pub(super) fn count_refusal(node: &Rc<Node>, reason: &str) {
    node.metrics.refusals.with_label_values(&[reason]).inc();
}
