//! What the table decides about a try.
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

/// What to do with a try.
#[derive(Debug)]
#[must_use]
pub enum BeginDecision<A> {
    /// Run it; the permit goes back into [`crate::home::HomeTable::finish`] with the outcome.
    Dispatch(permit::DispatchPermit),
    /// An earlier try is running; its outcome will name this waiter.
    Join(permit::WaiterId),
    /// The outcome is known already: a replay, *not run* or *outcome unknown*.
    Answer(outcome::Outcome<A>),
    /// Another instance answers for this home.
    ///
    /// Where it can't be reached, the answer is *outcome unknown* (`home_unreachable`), also if no
    /// byte of this try was sent: an earlier try may have reached it.
    Forward(name::Home),
}

/// An outcome with those who wait for it.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct FinishedKey<A> {
    /// The outcome to answer with.
    pub outcome: outcome::Outcome<A>,
    /// Tries that joined the one that ran.
    pub waiters: Vec<permit::WaiterId>,
}
