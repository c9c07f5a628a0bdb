//! The steps of a submission and its outcome.
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

/// The next step of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Make this call and pass the response to the submission.
    Call(Call),
    /// Wait, longer each time, and then request the next step.
    Pause,
    /// The submission has ended with this outcome.
    Done(Outcome),
}

/// The outcome of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The ticket is accepted and stored durably.
    Accepted {
        /// The number of the ticket.
        number: ids::TicketNumber,
    },
    /// The ticket was rejected, since other tickets changed these objects after it was written.
    Overlapping(Vec<Overlap>),
    /// The ticket was rejected, since the state after it would have these problems.
    Invalid(Vec<Problem>),
    /// The ticket can no longer be accepted: the store rejected a call or was unreachable.
    NotAccepted(String),
    /// The store was unreachable after a response was lost, so the ticket may have been accepted.
    Unknown(String),
}
