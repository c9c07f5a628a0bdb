//! Names of the HTTP headers that clients, entry instances and backend servers exchange.
//!
//! ```
//! use damaskvane_entry::client_api::header;
//!
//! assert!(header::is_own("damaskvane-home"));
//! assert!(!header::is_forwarded("connection"));
//! ```

/// Id of one attempt of a request; the response repeats it.
pub const REQUEST_ID: &str = "damaskvane-request-id";
/// Client block that the client belongs to.
pub const CLIENT: &str = "damaskvane-client";
/// Remaining time for the request, in milliseconds.
pub const DEADLINE_MS: &str = "damaskvane-deadline-ms";
/// Idempotency key of a non-repeatable request.
pub const IDEMPOTENCY_KEY: &str = "damaskvane-idempotency-key";
/// Home of the idempotency key: instance and incarnation that dispatch it.
pub const HOME: &str = "damaskvane-home";
/// Number of the attempt of a non-repeatable request, from 1.
pub const TRY: &str = "damaskvane-try";
/// Priority of the request.
pub const PRIORITY: &str = "damaskvane-priority";
/// Label of the outcome in a response.
pub const OUTCOME: &str = "damaskvane-outcome";
/// Refusal reason in a response without a backend server's response.
pub const REASON: &str = "damaskvane-reason";
/// Delay before the client retries, in milliseconds.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";
/// Configuration version that was active when the response was built.
pub const CONFIG_VERSION: &str = "damaskvane-config-version";
/// Set by a backend server that refused the request without running it.
pub const NOT_RUN: &str = "damaskvane-not-run";

const OWN_PREFIX: &str = "damaskvane-";

/// Headers that apply to one connection only, or that are set again for the next connection.
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

/// Returns whether a header belongs to this system.
#[must_use]
pub fn is_own(name: &str) -> bool {
    name.starts_with(OWN_PREFIX)
}

/// Returns whether a header is forwarded unchanged between client and backend server.
#[must_use]
pub fn is_forwarded(name: &str) -> bool {
    !is_own(name) && name != "host" && name != "expect" && !HOP_BY_HOP.contains(&name)
}
