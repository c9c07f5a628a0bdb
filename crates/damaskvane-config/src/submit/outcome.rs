//! What a submission does next and how it ends.
//!
//! ```
//! use damaskvane_config::submit;
//!
//! assert_ne!(submit::Step::Pause, submit::Step::Call(submit::Call::ReadHead));
//! ```

use damaskvane_core::ids;

use crate::problem::Problem;
use crate::submit::call::Call;
use crate::ticket::Overlap;

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Make this call and pass its answer to the submission.
    Call(Call),
    /// Wait for a while, longer each time, then ask again.
    Pause,
    /// The submission has ended.
    Done(Outcome),
}

/// How a submission ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The ticket is accepted and durable.
    Accepted {
        /// Its number.
        number: ids::TicketNumber,
    },
    /// Refused: objects changed since the ticket was written.
    Overlapping(Vec<Overlap>),
    /// Refused: the ticket isn't valid together with what is accepted.
    Invalid(Vec<Problem>),
    /// Not accepted, and it never will be: the store refused or could not be reached.
    NotAccepted(String),
    /// The store could not be reached after an answer was lost; the ticket may be accepted.
    Unknown(String),
}
