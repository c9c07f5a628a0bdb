//! A request with its final answer.
//!
//! A repeatable request may run any number of times. Any other request carries an idempotency key, by which its
//! client names it across attempts, and runs only with the one permit issued for the key.
//!
//! ```
//! use damaskvane_dispatch::exchange;
//!
//! let rejection = exchange::Rejection::MalformedRequest;
//! let answered = exchange::Answered::<()>::rejected("try-1".parse()?, rejection);
//! assert_eq!(answered.request().as_str(), "try-1");
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::ids;

use crate::exchange::rejection;
use crate::home;
use crate::outcome;

/// The final answer and the id of the client's request that it answers.
#[derive(Debug)]
#[must_use]
pub struct Answered<A> {
    request: ids::RequestId,
    permit: Option<home::DispatchPermit>,
    outcome: outcome::Outcome<A>,
}

impl<A> Answered<A> {
    pub(super) const fn new(
        request: ids::RequestId,
        permit: Option<home::DispatchPermit>,
        outcome: outcome::Outcome<A>,
    ) -> Self {
        Self {
            request,
            permit,
            outcome,
        }
    }

    /// Answers a request that no instance would ever run with *not run*.
    ///
    /// The answer needs no lookup of the idempotency key.
    pub const fn rejected(request: ids::RequestId, rejection: rejection::Rejection) -> Self {
        let reason = rejection.reason();
        let refused = outcome::NotRun::new(reason, reason.default_retry_after());
        Self::new(request, None, outcome::Outcome::NotRun(refused))
    }

    /// Returns the id of the request that this answer belongs to.
    #[must_use]
    pub const fn request(&self) -> &ids::RequestId {
        &self.request
    }

    /// Returns the final answer.
    #[must_use]
    pub const fn outcome(&self) -> &outcome::Outcome<A> {
        &self.outcome
    }

    /// Returns the permit, which the caller passes to [`home::HomeTable::finish`], and the answer.
    ///
    /// The permit is absent for a repeatable request, and for one that this instance did not dispatch.
    #[must_use]
    pub fn into_parts(self) -> (Option<home::DispatchPermit>, outcome::Outcome<A>) {
        (self.permit, self.outcome)
    }
}
