//! Builds HTTP responses from outcomes and refusals.
//!
//! ```
//! use damaskvane_dispatch::{outcome, refusal};
//! use damaskvane_entry::client_api::reply;
//!
//! let refused = outcome::Outcome::unknown(refusal::RefusalReason::OutcomeLost);
//! assert_eq!(reply::from_outcome(refused, "r-1", 7).status(), 502);
//! ```

use std::sync::Arc;

use bytes::Bytes;
use damaskvane_dispatch::{outcome, refusal};
use damaskvane_engine::message;
use http_body_util::Full;
use hyper::{Response, StatusCode, header::HeaderValue};
use serde::Serialize;

use crate::client_api::header;

/// HTTP response with its whole body in memory.
pub type HttpResponse = Response<Full<Bytes>>;

#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    remedy: &'a str,
    detail: &'a str,
}

/// Builds the response to a request that the engine has finished.
#[must_use]
pub fn from_outcome(
    outcome: outcome::Outcome<Arc<message::BackendResponse>>,
    request_id: &str,
    config_version: u64,
) -> HttpResponse {
    let label = outcome.as_str();
    let mut response = match outcome {
        outcome::Outcome::Completed(response) => completed(&response),
        outcome::Outcome::NotRun(refused) => {
            let mut response = refusal_body(label, refused.reason(), "");
            set(
                &mut response,
                header::RETRY_AFTER_MS,
                &refused.retry_after().get().to_string(),
            );
            response
        }
        outcome::Outcome::Unknown(unknown) => refusal_body(label, unknown.reason(), ""),
    };
    set(&mut response, header::OUTCOME, label);
    set(&mut response, header::REQUEST_ID, request_id);
    set(
        &mut response,
        header::CONFIG_VERSION,
        &config_version.to_string(),
    );
    response
}

/// Builds the response to a request that was refused before it reached the engine, so that no backend
/// server ran it.
#[must_use]
pub fn refused(reason: refusal::RefusalReason, detail: &str) -> HttpResponse {
    let mut response = refusal_body("not-run", reason, detail);
    set(&mut response, header::OUTCOME, "not-run");
    set(
        &mut response,
        header::RETRY_AFTER_MS,
        &reason.default_retry_after().get().to_string(),
    );
    response
}

/// Adds the header with the id of the request that the response belongs to.
pub fn set_request_id(response: &mut HttpResponse, request_id: &str) {
    set(response, header::REQUEST_ID, request_id);
}

/// Builds a response with a compact JSON body.
#[must_use]
pub fn json(body: &impl Serialize) -> HttpResponse {
    json_bytes(serde_json::to_vec(body).unwrap_or_default())
}

/// Builds a response with an indented JSON body, for operators to read.
#[must_use]
pub fn json_pretty(body: &impl Serialize) -> HttpResponse {
    json_bytes(serde_json::to_vec_pretty(body).unwrap_or_default())
}

fn json_bytes(body: Vec<u8>) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    set(&mut response, "content-type", "application/json");
    response
}

fn completed(backend_response: &message::BackendResponse) -> HttpResponse {
    let status = StatusCode::from_u16(backend_response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(&backend_response.body)));
    *response.status_mut() = status;
    for forwarded in &backend_response.headers {
        set(&mut response, forwarded.name(), forwarded.value());
    }
    response
}

fn refusal_body(label: &str, reason: refusal::RefusalReason, detail: &str) -> HttpResponse {
    let mut response = json(&RefusalBody {
        outcome: label,
        reason: reason.as_str(),
        remedy: reason.remedy(),
        detail,
    });
    *response.status_mut() =
        StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    set(&mut response, header::REASON, reason.as_str());
    response
}

fn set(response: &mut HttpResponse, name: &str, value: &str) {
    let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().append(name, value);
    }
}
