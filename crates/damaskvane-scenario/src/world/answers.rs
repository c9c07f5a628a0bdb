//! What a backend server answers, so that a crossed answer is seen.
//!
//! ```text
//! keyed request -> its key; any other -> its request id
//! ```

use damaskvane_engine::message;

/// The body that answers this request and no other.
pub(super) fn body(request: &message::ServiceRequest) -> String {
    match &request.idempotency {
        Some(idempotency) => format!("key {}", idempotency.key),
        None => format!("request {}", request.request_id),
    }
}
