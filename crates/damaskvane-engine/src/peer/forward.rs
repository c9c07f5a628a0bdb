//! A non-repeatable request on its way to its home, and the answer on its way back.
//!
//! ```
//! use damaskvane_engine::peer;
//!
//! assert_eq!(peer::ForwardAnswer::lost(7).correlation, 7);
//! ```

use std::sync::Arc;

use damaskvane_dispatch::{outcome, refusal};
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
pub struct ForwardAnswer {
    /// The number of the request it answers.
    pub correlation: u64,
    /// The answer.
    pub outcome: outcome::Outcome<Arc<message::BackendAnswer>>,
}

impl ForwardAnswer {
    /// The answer where the home has none.
    #[must_use]
    pub const fn lost(correlation: u64) -> Self {
        Self {
            correlation,
            outcome: outcome::Outcome::unknown(refusal::RefusalReason::HomeUnreachable),
        }
    }
}
