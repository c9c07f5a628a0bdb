//! A client's request in a scenario.
//!
//! ```
//! use damaskvane_scenario::script;
//!
//! fn has_key(request: &script::Request) -> bool {
//!     request.key.is_some()
//! }
//! # let _ = has_key;
//! ```

use damaskvane_core::{ids, time};
use damaskvane_dispatch::admission;

/// One request, or a series of equal ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its name; in a series, `.1`, `.2` and so on are added.
    pub label: ids::RequestId,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// The entry instance it is sent to.
    pub via: ids::InstanceId,
    /// The service.
    pub service: ids::ServiceId,
    /// The idempotency key of a non-repeatable request.
    pub key: Option<ids::IdempotencyKey>,
    /// The home of the key, as the client's look-up named it.
    pub home: Option<ids::InstanceId>,
    /// Which try of the client this is; 0 where tries are not numbered.
    pub try_number: u32,
    /// The body.
    pub body: String,
    /// The path.
    pub path: String,
    /// The time that the client gives it.
    pub deadline: time::SpanMs,
    /// How urgent it is.
    pub priority: admission::Priority,
    /// How many requests like this are sent.
    pub times: u32,
}
