//! A request that is forwarded because its home is another instance.
//!
//! The home of a request is the instance, and one incarnation (start or renewal) of it, that alone may run the
//! request's idempotency key.
//!
//! ```
//! use damaskvane_dispatch::exchange;
//!
//! let answered = exchange::Forwarded::new("try-1".parse()?).unreachable::<()>();
//! assert_eq!(answered.outcome().as_str(), "unknown");
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::ids;

use crate::exchange::answered;
use crate::outcome;
use crate::refusal;

/// A request that was forwarded to its home, the only instance that knows whether the request ran.
///
/// This instance neither sends the request to a backend server nor retries the request. This instance also
/// never answers *not run* on its own, because an earlier attempt may have run through another instance.
#[derive(Debug)]
pub struct Forwarded {
    request: ids::RequestId,
}

impl Forwarded {
    /// Creates the state of a request that is about to be forwarded.
    #[must_use]
    pub const fn new(request: ids::RequestId) -> Self {
        Self { request }
    }

    /// Returns the home's answer, or *outcome unknown* if `request`, the id in the answer, names another
    /// request.
    pub fn answered<A>(
        self,
        request: &ids::RequestId,
        outcome: outcome::Outcome<A>,
    ) -> answered::Answered<A> {
        if *request == self.request {
            answered::Answered::new(self.request, None, outcome)
        } else {
            self.lost()
        }
    }

    /// Answers with *outcome unknown*, because the home can't be reached or runs as another incarnation
    /// than the request names.
    pub fn unreachable<A>(self) -> answered::Answered<A> {
        self.unknown(refusal::RefusalReason::HomeUnreachable)
    }

    /// Answers with *outcome unknown*, because the home has ended without handing its keys over to a successor.
    pub fn restarted<A>(self) -> answered::Answered<A> {
        self.unknown(refusal::RefusalReason::HomeRestarted)
    }

    /// Answers with *outcome unknown*, because the request was sent and no complete answer was received.
    pub fn lost<A>(self) -> answered::Answered<A> {
        self.unknown(refusal::RefusalReason::OutcomeLost)
    }

    fn unknown<A>(self, reason: refusal::RefusalReason) -> answered::Answered<A> {
        answered::Answered::new(self.request, None, outcome::Outcome::unknown(reason))
    }
}
