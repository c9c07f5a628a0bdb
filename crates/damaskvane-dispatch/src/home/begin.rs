//! Decisions of the key table about an attempt.
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

/// How to handle an attempt.
#[derive(Debug)]
#[must_use]
pub enum BeginDecision<A> {
    /// Dispatch the request, then pass the permit to [`crate::home::HomeTable::finish`] with the outcome.
    Dispatch(permit::DispatchPermit),
    /// Wait for an earlier attempt that is running; its outcome will list this waiter.
    Join(permit::WaiterId),
    /// Answer at once with a replayed outcome, *not run* or *outcome unknown*.
    Answer(outcome::Outcome<A>),
    /// Forward the attempt to the instance that answers for its home.
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
    /// The attempts that joined the dispatched one.
    pub waiters: Vec<permit::WaiterId>,
}
