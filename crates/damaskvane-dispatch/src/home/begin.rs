//! Decisions of the table of idempotency keys about a client's attempt of a request.
//!
//! ```
//! use damaskvane_dispatch::{home, outcome, refusal};
//!
//! let lost = outcome::Outcome::unknown(refusal::RefusalReason::HomeRestarted);
//! let begin: home::BeginDecision<Vec<u8>> = home::BeginDecision::Answer(lost);
//! assert!(matches!(begin, home::BeginDecision::Answer(_)));
//! ```

use crate::home::{name, permit};
use crate::outcome;

/// How to handle one attempt of a client.
#[derive(Debug)]
#[must_use]
pub enum BeginDecision<A> {
    /// Dispatch the request, then pass the permit to [`crate::home::HomeTable::finish`] with the outcome.
    Dispatch(permit::DispatchPermit),
    /// Wait for an earlier attempt that is running; [`FinishedKey::waiters`] will list this waiter.
    Join(permit::WaiterId),
    /// Answer at once with the key's stored outcome, *not run* or *outcome unknown*.
    Answer(outcome::Outcome<A>),
    /// Forward the attempt to this home: the one that the client named, or its successor.
    ///
    /// If that instance can't be reached, answer *outcome unknown* (`home_unreachable`), even if no byte
    /// of this attempt was sent: an earlier attempt may have reached the instance.
    Forward(name::Home),
}

/// The outcome of a key with the attempts that wait for the outcome.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct FinishedKey<A> {
    /// The outcome to answer to the client and to every waiter.
    pub outcome: outcome::Outcome<A>,
    /// The attempts that waited for the outcome of the dispatched attempt.
    pub waiters: Vec<permit::WaiterId>,
}
