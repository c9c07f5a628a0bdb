//! The messages that forward a non-repeatable request to its home and return the home's response.
//!
//! The home of a non-repeatable request is the instance, and one incarnation (start or renewal) of it, that
//! alone may run the request.
//!
//! ```
//! use damaskvane_engine::peer;
//!
//! let response = peer::ForwardResponse::lost("e-1/3".parse()?, 7, "r-1".parse()?);
//! assert_eq!(response.correlation, 7);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::sync::Arc;

use damaskvane_core::ids;
use damaskvane_dispatch::{home, outcome, refusal};
use serde::{Deserialize, Serialize};

use crate::message;

/// A forwarded request, which only its home may dispatch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forward {
    /// The sender's number of the request, which the response repeats.
    pub correlation: u64,
    /// The number of times that the request was forwarded, including this one.
    pub hops: u32,
    /// The request, with the remaining time until its deadline.
    pub request: message::ServiceRequest,
}

/// The home's final response to a forwarded request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardResponse {
    /// The process that forwarded the request; each later incarnation numbers its requests anew.
    #[serde(rename = "asker")]
    pub forwarder: home::Home,
    /// The forwarder's number of the request.
    pub correlation: u64,
    /// The attempt that the response belongs to.
    pub request_id: ids::RequestId,
    /// The outcome of the request at its home.
    pub outcome: outcome::Outcome<Arc<message::BackendResponse>>,
}

impl ForwardResponse {
    /// Creates the response for a request whose home could not be reached: the outcome is unknown.
    #[must_use]
    pub const fn lost(forwarder: home::Home, correlation: u64, request_id: ids::RequestId) -> Self {
        Self {
            forwarder,
            correlation,
            request_id,
            outcome: outcome::Outcome::unknown(refusal::RefusalReason::HomeUnreachable),
        }
    }
}
