//! A request of which a backend server may have received bytes.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{deadline, exchange};
//!
//! let now = time::TimeMs::ZERO;
//! let deadline = deadline::Deadline::after(now, time::SpanMs::new(50));
//! let sent = exchange::Received::repeatable("try-1".parse()?, deadline)
//!     .admit()
//!     .send(now, "desk-1".parse()?);
//! let response = exchange::BackendResponse {
//!     request: "try-1".parse()?,
//!     declared_bytes: 4,
//!     received_bytes: 4,
//!     response: "done",
//! };
//! assert!(matches!(sent.answered(response), exchange::Progress::Answered(_)));
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{ids, time};

use crate::exchange::{admitted, answered, backend_response, context, progress};
use crate::outcome;
use crate::refusal;
use crate::retry;

/// A request that was sent to a backend server and has no response yet.
#[derive(Debug)]
pub struct Sent {
    context: context::RequestContext,
    sent_at: time::TimeMs,
}

impl Sent {
    pub(super) const fn new(context: context::RequestContext, sent_at: time::TimeMs) -> Self {
        Self { context, sent_at }
    }

    /// Returns when the first byte was sent.
    #[must_use]
    pub const fn sent_at(&self) -> time::TimeMs {
        self.sent_at
    }

    /// Returns the request id, which the response has to carry.
    #[must_use]
    pub const fn request(&self) -> &ids::RequestId {
        &self.context.request
    }

    /// Accepts the backend server's response if it is complete and carries this request's id.
    ///
    /// On a connection that was reused after an abandoned exchange, the first response belongs to another
    /// client's request, whose data must not be disclosed. A truncated response could pass for a complete one
    /// with less data, such as a shorter list of allergies. Both count as failed attempts.
    pub fn answered<A>(
        self,
        response: backend_response::BackendResponse<A>,
    ) -> progress::Progress<A> {
        if response.request != self.context.request {
            self.failed(retry::RetryReason::AnswerCrossed)
        } else if !response.is_complete() {
            self.failed(retry::RetryReason::AnswerCut)
        } else {
            let outcome = outcome::Outcome::Completed(response.response);
            progress::Progress::Answered(self.context.answer(outcome))
        }
    }

    /// Ends the attempt as failed.
    ///
    /// A non-repeatable request that may have run is answered with *unknown* and is not retried.
    pub fn failed<A>(mut self, reason: retry::RetryReason) -> progress::Progress<A> {
        self.context.may_have_run |= !reason.proves_not_run();
        if self.context.may_have_run && !self.context.is_repeatable() {
            let unknown = outcome::Outcome::unknown(refusal::RefusalReason::OutcomeLost);
            return progress::Progress::Answered(self.context.answer(unknown));
        }
        progress::Progress::Retry {
            reason,
            admitted: admitted::Admitted::new(self.context),
        }
    }

    /// Answers with *unknown*, because the deadline passed or the client disconnected while the backend
    /// server had the request.
    ///
    /// For a request with an idempotency key, prefer to answer the client with *unknown* and to keep waiting
    /// for the response, so that the client's next attempt with the key receives the outcome.
    pub fn abandon<A>(self) -> answered::Answered<A> {
        let unknown = outcome::Outcome::unknown(refusal::RefusalReason::DeadlinePassed);
        self.context.answer(unknown)
    }
}
