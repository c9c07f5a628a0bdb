//! A request that was read and is not yet admitted.
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
use crate::exchange::{admitted, answered, context};
use crate::home;
use crate::refusal;

/// A request that waits for admission.
///
/// A non-repeatable request reaches this state only with the permit to run it, issued by its home (the instance
/// that alone may run its idempotency key). If a queue refused a request before its key was looked up, the
/// retry of a request that already ran would be answered with *not run*.
#[derive(Debug)]
pub struct Received {
    context: context::RequestContext,
}

impl Received {
    /// Creates the state of a request that may run any number of times.
    #[must_use]
    pub const fn repeatable(request: ids::RequestId, deadline: deadline::Deadline) -> Self {
        Self::new(request, deadline, None)
    }

    /// Creates the state of a non-repeatable request at its home, which issued the permit.
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
            context: context::RequestContext {
                request,
                deadline,
                permit,
                may_have_run: false,
                tried: Vec::new(),
            },
        }
    }

    /// Admits the request; call this method when the request leaves the admission queue to be sent.
    #[must_use]
    pub fn admit(self) -> admitted::Admitted {
        admitted::Admitted::new(self.context)
    }

    /// Refuses the request with the reason's default retry-after, the delay before the client should retry.
    pub fn refuse<A>(self, reason: refusal::RefusalReason) -> answered::Answered<A> {
        self.context.refuse(reason, reason.default_retry_after())
    }

    /// Refuses the request with a given retry-after, for instance one computed from the queue's drain rate.
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
}
