//! A non-repeatable request on its way to its home, and the answer on its way back.
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

/// A request that only its home may dispatch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forward {
    /// The sender's number; the answer names it.
    pub correlation: u64,
    /// How often it has been passed on, this time included.
    pub hops: u32,
    /// The request, with the time that is left.
    pub request: message::ServiceRequest,
}

/// The home's final answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardResponse {
    /// The process that passed the request on; a later start of it counts its requests anew.
    #[serde(rename = "asker")]
    pub forwarder: home::Home,
    /// The asker's number for the request.
    pub correlation: u64,
    /// The request it answers.
    pub request_id: ids::RequestId,
    /// The answer.
    pub outcome: outcome::Outcome<Arc<message::BackendResponse>>,
}

impl ForwardResponse {
    /// The answer where the home has none.
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
