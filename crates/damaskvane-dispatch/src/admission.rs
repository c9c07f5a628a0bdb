//! Admission of requests by priority and age under overload, fair between services.
//!
//! A request that can't be served in time is rejected at once, rather than held until near its deadline. The
//! response carries a retry-after, the delay before the client should retry. It is computed from the rate at
//! which requests leave the queue.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{admission, deadline};
//!
//! let mut queue = admission::Queue::new(admission::QueueSettings::default());
//! let now = time::TimeMs::ZERO;
//! let waiting = admission::QueuedRequest {
//!     request: "first",
//!     service: "rider-desk".parse()?,
//!     priority: admission::Priority::Normal,
//!     deadline: deadline::Deadline::after(now, time::SpanMs::new(2_000)),
//! };
//! assert!(queue.push(now, waiting).is_empty());
//! assert_eq!(queue.pop(now, |_| true), Some("first"));
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

mod drain_rate;
mod priority;
mod queue;
mod queued_request;
mod rejected;
mod service_queue;
mod settings;

pub use priority::{ParsePriorityError, Priority};
pub use queue::Queue;
pub use queued_request::QueuedRequest;
pub use rejected::Rejected;
pub use settings::QueueSettings;
