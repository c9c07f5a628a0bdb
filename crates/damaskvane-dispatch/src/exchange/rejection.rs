//! Requests that no instance would ever run.
//!
//! ```
//! use damaskvane_dispatch::exchange;
//!
//! assert_eq!(exchange::Rejection::KeyMissing.reason().status(), 400);
//! ```

use crate::refusal;

/// Why no instance would ever run the request, whatever happened to earlier tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The request can't be read.
    MalformedRequest,
    /// The body is longer than any instance accepts.
    BodyTooLarge,
    /// A non-repeatable request lacks its idempotency key or its home.
    KeyMissing,
}

impl Rejection {
    /// Returns the refusal reason that the answer carries.
    #[must_use]
    pub const fn reason(self) -> refusal::RefusalReason {
        match self {
            Self::MalformedRequest => refusal::RefusalReason::MalformedRequest,
            Self::BodyTooLarge => refusal::RefusalReason::BodyTooLarge,
            Self::KeyMissing => refusal::RefusalReason::KeyMissing,
        }
    }
}
