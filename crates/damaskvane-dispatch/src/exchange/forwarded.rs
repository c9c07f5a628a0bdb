//! A request whose home is another instance.
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

/// A request that was passed to another instance, which alone knows whether it ran.
///
/// There is no step back to a backend server, no retry, and no *not run* of this instance's own: an
/// earlier try may have run through another instance.
#[derive(Debug)]
pub struct Forwarded {
    request: ids::RequestId,
}

impl Forwarded {
    /// A request that is about to be passed on.
    #[must_use]
    pub const fn new(request: ids::RequestId) -> Self {
        Self { request }
    }

    /// Passes the other instance's answer on, if it names this request.
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

    /// No connection to the other instance, or it is not the incarnation that the home names.
    pub fn unreachable<A>(self) -> answered::Answered<A> {
        self.unknown(refusal::RefusalReason::HomeUnreachable)
    }

    /// The home is known to be gone without a successor.
    pub fn restarted<A>(self) -> answered::Answered<A> {
        self.unknown(refusal::RefusalReason::HomeRestarted)
    }

    /// The request went out and no whole answer came back.
    pub fn lost<A>(self) -> answered::Answered<A> {
        self.unknown(refusal::RefusalReason::OutcomeLost)
    }

    fn unknown<A>(self, reason: refusal::RefusalReason) -> answered::Answered<A> {
        answered::Answered::new(self.request, None, outcome::Outcome::unknown(reason))
    }
}
