//! A request of which a backend server may have bytes.
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
//! let answer = exchange::BackendResponse {
//!     request: "try-1".parse()?,
//!     declared_bytes: 4,
//!     received_bytes: 4,
//!     response: "done",
//! };
//! assert!(matches!(sent.answered(answer), exchange::Progress::Answered(_)));
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{ids, time};

use crate::exchange::{admitted, answered, backend_response, basis, progress};
use crate::outcome;
use crate::refusal;
use crate::retry;

/// A request that is at a backend server.
#[derive(Debug)]
pub struct Sent {
    basis: basis::Basis,
    sent_at: time::TimeMs,
}

impl Sent {
    pub(super) const fn new(basis: basis::Basis, sent_at: time::TimeMs) -> Self {
        Self { basis, sent_at }
    }

    /// When the first byte was sent.
    #[must_use]
    pub const fn sent_at(&self) -> time::TimeMs {
        self.sent_at
    }

    /// The request as its answer has to name it.
    #[must_use]
    pub const fn request(&self) -> &ids::RequestId {
        &self.basis.request
    }

    /// Takes the backend server's answer, if it is whole and the request's own.
    ///
    /// On a connection that was reused after an abandoned exchange, the answer read first belongs to
    /// another client, who would see a stranger's booking; a cut one would look like a short list of
    /// allergies. Both count as failed tries.
    pub fn answered<A>(
        self,
        answer: backend_response::BackendResponse<A>,
    ) -> progress::Progress<A> {
        if answer.request != self.basis.request {
            self.failed(retry::RetryReason::AnswerCrossed)
        } else if !answer.is_whole() {
            self.failed(retry::RetryReason::AnswerCut)
        } else {
            let outcome = outcome::Outcome::Completed(answer.response);
            progress::Progress::Answered(self.basis.answer(outcome))
        }
    }

    /// The try failed. A non-repeatable request that may have run is answered with *unknown*, with no
    /// way back to a further try.
    pub fn failed<A>(mut self, reason: retry::RetryReason) -> progress::Progress<A> {
        self.basis.may_have_run |= !reason.proves_not_run();
        if self.basis.may_have_run && !self.basis.is_repeatable() {
            let lost = outcome::Outcome::unknown(refusal::RefusalReason::OutcomeLost);
            return progress::Progress::Answered(self.basis.answer(lost));
        }
        progress::Progress::Retry {
            reason,
            admitted: admitted::Admitted::new(self.basis),
        }
    }

    /// The deadline passed, or the client went away, while the backend server had the request.
    ///
    /// For a keyed request it is better to answer the client with *unknown* and to wait on here, so
    /// that the next try of the key hears the outcome.
    pub fn abandon<A>(self) -> answered::Answered<A> {
        let unknown = outcome::Outcome::unknown(refusal::RefusalReason::DeadlinePassed);
        self.basis.answer(unknown)
    }
}
