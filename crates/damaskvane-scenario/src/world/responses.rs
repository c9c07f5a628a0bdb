//! Response bodies of fake backend servers, by which a mismatched response is detected.
//!
//! ```text
//! request with a key -> its key; any other request -> its request id
//! ```

use damaskvane_engine::message;

/// Returns the body that identifies the request of a response, by its key or else its request id.
pub(super) fn expected_body(request: &message::ServiceRequest) -> String {
    match &request.idempotency {
        Some(idempotency) => format!("key {}", idempotency.key),
        None => format!("request {}", request.request_id),
    }
}
