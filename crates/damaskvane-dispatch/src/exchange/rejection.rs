//! Requests that every instance rejects without running them.
//!
//! ```
//! use damaskvane_dispatch::exchange;
//!
//! assert_eq!(exchange::Rejection::KeyMissing.reason().status(), 400);
//! ```

use crate::refusal;

/// Why no instance would ever run the request, whatever happened to earlier attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The request can't be read.
    MalformedRequest,
    /// The body is longer than any instance accepts.
    BodyTooLarge,
    /// A non-repeatable request lacks its idempotency key, or its home (the instance that alone may run it).
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
