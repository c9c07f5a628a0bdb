//! One attempt of a client's request.
//!
//! ```
//! use damaskvane_engine::message;
//!
//! let request = message::ServiceRequest::get("rider-desk".parse()?, "/riders/7", "r-1".parse()?);
//! assert!(request.is_repeatable());
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{admission, fingerprint, home};
use serde::{Deserialize, Serialize};

use crate::message::header;

const DEFAULT_TIME_LEFT: time::SpanMs = time::SpanMs::new(10_000);

/// Identifies a non-repeatable request across the attempts of its client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Idempotency {
    /// The idempotency key that the client chose; all attempts of a request carry the same key.
    pub key: ids::IdempotencyKey,
    /// The home of the key: the instance that received the first attempt, with its incarnation (the number of
    /// its start or renewal).
    pub home: home::Home,
    /// The number of the attempt, from 1; 0 if the client does not number its attempts.
    pub try_number: u32,
}

/// One attempt of a client's request for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// The service that the client requests.
    pub service: ids::ServiceId,
    /// The identifier of this attempt; every attempt has its own.
    pub request_id: ids::RequestId,
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path and query for the backend server, with the leading slash.
    pub path: String,
    /// The headers that are forwarded to the backend server.
    pub headers: Vec<header::Header>,
    /// The complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The client block (a named group of clients with common delays to the availability zones) that the client
    /// belongs to; `None` if the request names no block.
    pub client: Option<ids::ClientBlock>,
    /// The idempotency key and its home; present on every non-repeatable request.
    pub idempotency: Option<Idempotency>,
    /// The priority in the admission queue.
    pub priority: admission::Priority,
    /// The time that remained until the client's deadline at the moment when this instance received the
    /// request.
    pub time_left: time::SpanMs,
}

impl ServiceRequest {
    /// Creates a GET request without headers and body, with the default time until the deadline.
    #[must_use]
    pub fn get(
        service: ids::ServiceId,
        path: impl Into<String>,
        request_id: ids::RequestId,
    ) -> Self {
        Self {
            service,
            request_id,
            method: "GET".to_owned(),
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            client: None,
            idempotency: None,
            priority: admission::Priority::default(),
            time_left: DEFAULT_TIME_LEFT,
        }
    }

    /// Returns whether the request may safely run twice, as GET and HEAD may.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD")
    }

    /// Returns the fingerprint of the service, method, path and body, to which an idempotency key is bound.
    #[must_use]
    pub fn fingerprint(&self) -> fingerprint::Fingerprint {
        fingerprint::Fingerprint::of(&self.service, &self.method, &self.path, &self.body)
    }
}
