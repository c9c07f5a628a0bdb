//! Turns an outcome into an HTTP answer.
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

/// An HTTP answer whose body is at hand.
pub type HttpAnswer = Response<Full<Bytes>>;

#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    remedy: &'a str,
    detail: &'a str,
}

/// The answer to a request that went through the engine.
#[must_use]
pub fn from_outcome(
    outcome: outcome::Outcome<Arc<message::BackendResponse>>,
    request_id: &str,
    config_version: u64,
) -> HttpAnswer {
    let word = outcome.as_str();
    let mut answer = match outcome {
        outcome::Outcome::Completed(answer) => completed(&answer),
        outcome::Outcome::NotRun(refused) => {
            let mut answer = refusal_body(word, refused.reason(), "");
            set(
                &mut answer,
                header::RETRY_AFTER_MS,
                &refused.retry_after().get().to_string(),
            );
            answer
        }
        outcome::Outcome::Unknown(unknown) => refusal_body(word, unknown.reason(), ""),
    };
    set(&mut answer, header::OUTCOME, word);
    set(&mut answer, header::REQUEST_ID, request_id);
    set(
        &mut answer,
        header::CONFIG_VERSION,
        &config_version.to_string(),
    );
    answer
}

/// The answer to a request that was refused before it became one: nothing ran.
#[must_use]
pub fn refused(reason: refusal::RefusalReason, detail: &str) -> HttpAnswer {
    let mut answer = refusal_body("not-run", reason, detail);
    set(&mut answer, header::OUTCOME, "not-run");
    set(
        &mut answer,
        header::RETRY_AFTER_MS,
        &reason.default_retry_after().get().to_string(),
    );
    answer
}

/// Names the request that an answer is for.
pub fn name_request(answer: &mut HttpAnswer, request_id: &str) {
    set(answer, header::REQUEST_ID, request_id);
}

/// A JSON answer.
#[must_use]
pub fn json(body: &impl Serialize) -> HttpAnswer {
    json_bytes(serde_json::to_vec(body).unwrap_or_default())
}

/// A JSON answer for people to read, with line breaks.
#[must_use]
pub fn json_pretty(body: &impl Serialize) -> HttpAnswer {
    json_bytes(serde_json::to_vec_pretty(body).unwrap_or_default())
}

fn json_bytes(body: Vec<u8>) -> HttpAnswer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    set(&mut answer, "content-type", "application/json");
    answer
}

fn completed(answer: &message::BackendResponse) -> HttpAnswer {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(&answer.body)));
    *response.status_mut() = status;
    for passed in &answer.headers {
        set(&mut response, passed.name(), passed.value());
    }
    response
}

fn refusal_body(word: &str, reason: refusal::RefusalReason, detail: &str) -> HttpAnswer {
    let mut answer = json(&RefusalBody {
        outcome: word,
        reason: reason.as_str(),
        remedy: reason.remedy(),
        detail,
    });
    *answer.status_mut() = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    set(&mut answer, header::REASON, reason.as_str());
    answer
}

fn set(answer: &mut HttpAnswer, name: &str, value: &str) {
    let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        answer.headers_mut().append(name, value);
    }
}
