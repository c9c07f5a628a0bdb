//! The requests that the clients of a script send.
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

/// One request of a client, or a series of equal requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The request id; each request of a series gets `.1`, `.2` and so on appended.
    pub label: ids::RequestId,
    /// Whether the request may run more than once (`get` in scripts).
    pub is_repeatable: bool,
    /// The entry instance that receives the request.
    pub via: ids::InstanceId,
    /// The service that the request is addressed to.
    pub service: ids::ServiceId,
    /// The idempotency key; `None` for a repeatable request.
    pub key: Option<ids::IdempotencyKey>,
    /// The home instance of the key, as the client's lookup returned it; `None` for a repeatable request.
    pub home: Option<ids::InstanceId>,
    /// The number of the client's attempt, from 1; 0 if the client does not number its attempts.
    pub try_number: u32,
    /// The body, sent as UTF-8.
    pub body: String,
    /// The path; a path that begins with `/crash` crashes the backend server that runs the request.
    pub path: String,
    /// The time from the sending until the client's deadline.
    pub deadline: time::SpanMs,
    /// The priority for admission on the entry instance.
    pub priority: admission::Priority,
    /// The number of requests in the series; 1 for a single request.
    pub times: u32,
}
