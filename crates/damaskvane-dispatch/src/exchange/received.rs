//! A request that was read and not yet admitted.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{deadline, exchange, refusal};
//!
//! let deadline = deadline::Deadline::after(time::TimeMs::ZERO, time::SpanMs::new(50));
//! let received = exchange::Received::repeatable("try-1".parse()?, deadline);
//! let answered = received.refuse::<()>(refusal::RefusalReason::QueueFull);
//! assert_eq!(answered.outcome().as_str(), "not-run");
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{ids, time};

use crate::deadline;
use crate::exchange::{admitted, answered, basis};
use crate::home;
use crate::refusal;

/// A request that waits for admission.
///
/// A non-repeatable request gets here only with the permit of its home. A queue that refused one
/// before the key was looked up would answer *not run* to the repeat of a booking that stands.
#[derive(Debug)]
pub struct Received {
    basis: basis::Basis,
}

impl Received {
    /// A request that may run any number of times.
    #[must_use]
    pub const fn repeatable(request: ids::RequestId, deadline: deadline::Deadline) -> Self {
        Self::new(request, deadline, None)
    }

    /// A non-repeatable request, at its home.
    #[must_use]
    pub const fn keyed(
        request: ids::RequestId,
        deadline: deadline::Deadline,
        permit: home::DispatchPermit,
    ) -> Self {
        Self::new(request, deadline, Some(permit))
    }

    const fn new(
        request: ids::RequestId,
        deadline: deadline::Deadline,
        permit: Option<home::DispatchPermit>,
    ) -> Self {
        Self {
            basis: basis::Basis {
                request,
                deadline,
                permit,
                may_have_run: false,
                tried: Vec::new(),
            },
        }
    }

    /// The request's place in the queue has come.
    #[must_use]
    pub fn admit(self) -> admitted::Admitted {
        admitted::Admitted::new(self.basis)
    }

    /// Refuses with the reason's own retry-after.
    pub fn refuse<A>(self, reason: refusal::RefusalReason) -> answered::Answered<A> {
        self.basis.refuse(reason, reason.default_retry_after())
    }

    /// Refuses and names when to come back, for instance by the queue's drain rate.
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
}
