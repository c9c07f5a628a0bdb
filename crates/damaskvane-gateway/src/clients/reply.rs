//! The instance's own answers to clients.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::node::Node;
use crate::upstream::{Answer, ResponseBody};

/// An answer of the instance itself.
pub(super) fn own(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let body = ResponseBody::whole(Bytes::from_static(text.as_bytes()));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// The word that the request has not run and never will, with when to come back.
pub(super) fn not_run(text: &'static str, retry_after_ms: u64) -> Response<ResponseBody> {
    let mut response = own(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// A backend server's answer, unchanged.
pub(super) fn from_server(answer: Answer) -> Response<ResponseBody> {
    let mut response = Response::new(answer.body);
    if let Ok(status) = StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    *response.headers_mut() = answer.headers;
    response
}

/// Counts a request that no server has answered.
pub(super) fn count_refusal(node: &Rc<Node>, reason: &str) {
    node.metrics.refusals.with_label_values(&[reason]).inc();
}
