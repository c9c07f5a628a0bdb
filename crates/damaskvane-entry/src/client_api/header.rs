//! Names of the HTTP headers that clients, entry instances and backend servers exchange.
//!
//! ```
//! use damaskvane_entry::client_api::header;
//!
//! assert!(header::is_own("damaskvane-home"));
//! assert!(!header::is_forwarded("connection"));
//! ```

/// Id of one attempt of a request; the response to the attempt carries the same id.
pub const REQUEST_ID: &str = "damaskvane-request-id";
/// Name of the client's block, a group of clients that have the same nearest availability zone.
pub const CLIENT: &str = "damaskvane-client";
/// Remaining time until the deadline of the request, in milliseconds.
pub const DEADLINE_MS: &str = "damaskvane-deadline-ms";
/// Idempotency key, which names a non-repeatable request across all its attempts.
pub const IDEMPOTENCY_KEY: &str = "damaskvane-idempotency-key";
/// Home of the idempotency key: the instance that handles all attempts with this key, and its incarnation
/// (a number that identifies one start of its process).
pub const HOME: &str = "damaskvane-home";
/// Number of the attempt of a non-repeatable request, from 1.
pub const TRY: &str = "damaskvane-try";
/// Priority of the request.
pub const PRIORITY: &str = "damaskvane-priority";
/// Label of the request's outcome, in a response to a client.
pub const OUTCOME: &str = "damaskvane-outcome";
/// Reason of a refusal, in a response to a client that contains no response of a backend server.
pub const REASON: &str = "damaskvane-reason";
/// Time after which the client may retry, in milliseconds.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";
/// Configuration version that was active when the response was built.
pub const CONFIG_VERSION: &str = "damaskvane-config-version";
/// Header that a backend server sets in its response if it refused the request without running it.
pub const NOT_RUN: &str = "damaskvane-not-run";

const OWN_PREFIX: &str = "damaskvane-";

/// Headers that apply to one connection only, or that the sender sets anew for the next connection.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Returns whether a header has the name prefix of the headers that this system defines.
#[must_use]
pub fn is_own(name: &str) -> bool {
    name.starts_with(OWN_PREFIX)
}

/// Returns whether a header is forwarded unchanged between client and backend server.
#[must_use]
pub fn is_forwarded(name: &str) -> bool {
    !is_own(name) && name != "host" && name != "expect" && !HOP_BY_HOP.contains(&name)
}
