//! One request in the admission queue.
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

/// A request with the properties that determine its position in the queue.
#[derive(Debug)]
pub struct QueuedRequest<R> {
    /// The request, for instance an [`crate::exchange::Received`].
    pub request: R,
    /// The service that the request addresses.
    pub service: ids::ServiceId,
    /// The priority among the requests of the same service.
    pub priority: priority::Priority,
    /// The client's deadline; the request is rejected once too little time is left to run it.
    pub deadline: deadline::Deadline,
}
