//! The life cycle of one request at an entry instance: received, admitted, sent, answered.
//!
//! Each state is a type, which has only the transitions that are safe in this state. A request that was
//! never sent, or that the backend server refused before running it, may be answered with *not run*. Once
//! a byte may have reached a backend server without such a refusal, the only possible refusal is *outcome
//! unknown*.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{deadline, exchange, refusal, retry};
//!
//! let now = time::TimeMs::ZERO;
//! let deadline = deadline::Deadline::after(now, time::SpanMs::new(2_000));
//! let received = exchange::Received::repeatable("try-1".parse()?, deadline);
//! let sent = received.admit().send(now, "desk-1".parse()?);
//! let exchange::Progress::Retry { admitted, .. } =
//!     sent.failed::<Vec<u8>>(retry::RetryReason::ConnectionLost)
//! else {
//!     panic!("a repeatable request may be retried");
//! };
//! let answered = admitted.refuse::<Vec<u8>>(refusal::RefusalReason::Overloaded);
//! assert_eq!(answered.outcome().as_str(), "unknown");
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

mod admitted;
mod answered;
mod backend_response;
mod context;
mod forwarded;
mod progress;
mod received;
mod rejection;
mod sent;

pub use admitted::Admitted;
pub use answered::Answered;
pub use backend_response::BackendResponse;
pub use forwarded::Forwarded;
pub use progress::Progress;
pub use received::Received;
pub use rejection::Rejection;
pub use sent::Sent;
