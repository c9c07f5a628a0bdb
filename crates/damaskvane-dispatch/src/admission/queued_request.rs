//! One request in the queue.
//!
//! ```
//! use damaskvane_dispatch::admission;
//!
//! fn is_urgent<R>(waiting: &admission::QueuedRequest<R>) -> bool {
//!     waiting.priority == admission::Priority::High
//! }
//! ```

use damaskvane_core::ids;

use crate::admission::priority;
use crate::deadline;

/// A request with what its place in the queue depends on.
#[derive(Debug)]
pub struct QueuedRequest<R> {
    /// The request, for instance an [`crate::exchange::Received`].
    pub request: R,
    /// The service it is for.
    pub service: ids::ServiceId,
    /// How urgent it is.
    pub priority: priority::Priority,
    /// Its deadline.
    pub deadline: deadline::Deadline,
}
