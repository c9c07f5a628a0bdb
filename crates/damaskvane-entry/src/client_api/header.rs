//! The names of the headers that clients, instances and backend servers exchange.
//!
//! ```
//! use damaskvane_entry::client_api::header;
//!
//! assert!(header::is_own("damaskvane-home"));
//! assert!(!header::is_forwarded("connection"));
//! ```

/// Names one try; the answer echoes it.
pub const REQUEST_ID: &str = "damaskvane-request-id";
/// The client block.
pub const CLIENT: &str = "damaskvane-client";
/// Time left in milliseconds.
pub const DEADLINE_MS: &str = "damaskvane-deadline-ms";
/// The key of a non-repeatable request.
pub const IDEMPOTENCY_KEY: &str = "damaskvane-idempotency-key";
/// The home of the key.
pub const HOME: &str = "damaskvane-home";
/// Which try of a non-repeatable request this is, from 1.
pub const TRY: &str = "damaskvane-try";
/// How urgent the request is.
pub const PRIORITY: &str = "damaskvane-priority";
/// The kind of answer.
pub const OUTCOME: &str = "damaskvane-outcome";
/// The refusal reason.
pub const REASON: &str = "damaskvane-reason";
/// When to come back, in milliseconds.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";
/// The configuration version that the answer rests on.
pub const CONFIG_VERSION: &str = "damaskvane-config-version";
/// Set by a backend server that refused before running.
pub const NOT_RUN: &str = "damaskvane-not-run";

const OWN_PREFIX: &str = "damaskvane-";

/// Headers that concern one connection only, or that are set anew on the other side.
const PER_CONNECTION: [&str; 9] = [
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

/// Whether a header is one of the system's own.
#[must_use]
pub fn is_own(name: &str) -> bool {
    name.starts_with(OWN_PREFIX)
}

/// Whether a header goes from client to backend server, or back, as it is.
#[must_use]
pub fn is_forwarded(name: &str) -> bool {
    !is_own(name) && name != "host" && name != "expect" && !PER_CONNECTION.contains(&name)
}
