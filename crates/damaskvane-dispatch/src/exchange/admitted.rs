//! A request that may be sent to a backend server.
//!
//! A slot is the right to run one request on a backend server.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{deadline, exchange};
//!
//! let now = time::TimeMs::ZERO;
//! let deadline = deadline::Deadline::after(now, time::SpanMs::new(50));
//! let admitted = exchange::Received::repeatable("try-1".parse()?, deadline).admit();
//! assert!(admitted.tried().is_empty());
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{ids, time};

use crate::deadline;
use crate::exchange::{answered, context, sent};
use crate::refusal;

/// A request that has a slot on a backend server, or that waits for a retry.
#[derive(Debug)]
pub struct Admitted {
    context: context::RequestContext,
}

impl Admitted {
    pub(super) const fn new(context: context::RequestContext) -> Self {
        Self { context }
    }

    /// Marks the request as sent to a backend server.
    ///
    /// Call this method immediately before the first byte is written, with the current time. A request
    /// whose deadline passed while the process was paused should be refused with [`Admitted::refuse`]
    /// instead.
    #[must_use]
    pub fn send(mut self, now: time::TimeMs, server: ids::BackendServerId) -> sent::Sent {
        self.context.tried.push(server);
        sent::Sent::new(self.context, now)
    }

    /// Refuses the request with *not run* if no backend server can have run it, with *unknown* otherwise.
    pub fn refuse<A>(self, reason: refusal::RefusalReason) -> answered::Answered<A> {
        self.context.refuse(reason, reason.default_retry_after())
    }

    /// Refuses the request as [`Admitted::refuse`] does, with a given delay before the client retries.
    pub fn refuse_with_retry_after<A>(
        self,
        reason: refusal::RefusalReason,
        retry_after: time::SpanMs,
    ) -> answered::Answered<A> {
        self.context.refuse(reason, retry_after)
    }

    /// Returns the deadline of the request.
    #[must_use]
    pub const fn deadline(&self) -> deadline::Deadline {
        self.context.deadline
    }

    /// Returns the request id, which the backend server's response has to carry.
    #[must_use]
    pub const fn request(&self) -> &ids::RequestId {
        &self.context.request
    }

    /// Returns the backend servers that were tried, in the order of the attempts.
    #[must_use]
    pub fn tried(&self) -> &[ids::BackendServerId] {
        &self.context.tried
    }
}
