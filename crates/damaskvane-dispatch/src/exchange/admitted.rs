//! A request that may be sent to a backend server.
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
use crate::exchange::{answered, basis, sent};
use crate::refusal;

/// A request that has a slot, or waits for its next try.
#[derive(Debug)]
pub struct Admitted {
    basis: basis::Basis,
}

impl Admitted {
    pub(super) const fn new(basis: basis::Basis) -> Self {
        Self { basis }
    }

    /// Says that the first byte is about to go to a backend server.
    ///
    /// Call it before writing, with the time read just then: a request whose deadline passed in a
    /// pause of the process is better refused, with [`Admitted::refuse`].
    #[must_use]
    pub fn send(mut self, now: time::TimeMs, server: ids::BackendServerId) -> sent::Sent {
        self.basis.tried.push(server);
        sent::Sent::new(self.basis, now)
    }

    /// Gives the request up: *not run* if that is certain, *unknown* otherwise.
    pub fn refuse<A>(self, reason: refusal::RefusalReason) -> answered::Answered<A> {
        self.basis.refuse(reason, reason.default_retry_after())
    }

    /// The same, naming when to come back.
    pub fn refuse_with_retry_after<A>(
        self,
        reason: refusal::RefusalReason,
        retry_after: time::SpanMs,
    ) -> answered::Answered<A> {
        self.basis.refuse(reason, retry_after)
    }

    /// The deadline.
    #[must_use]
    pub const fn deadline(&self) -> deadline::Deadline {
        self.basis.deadline
    }

    /// The request as its answer has to name it.
    #[must_use]
    pub const fn request(&self) -> &ids::RequestId {
        &self.basis.request
    }

    /// The backend servers that were tried, in order.
    #[must_use]
    pub fn tried(&self) -> &[ids::BackendServerId] {
        &self.basis.tried
    }
}
