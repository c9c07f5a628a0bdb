//! A client's request.
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

/// What makes a non-repeatable request recognisable on every try.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Idempotency {
    /// The client's key.
    pub key: ids::IdempotencyKey,
    /// The instance that the first try was sent to.
    pub home: home::Home,
    /// Which try of the client this is, from 1; 0 where the client does not number its tries.
    pub try_number: u32,
}

/// One try of a client's request for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// The service.
    pub service: ids::ServiceId,
    /// Names this try.
    pub request_id: ids::RequestId,
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path and query for the backend server, from the slash on.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<header::Header>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The block the client belongs to, where it says so.
    pub client: Option<ids::ClientBlock>,
    /// Key and home; present on every non-repeatable request.
    pub idempotency: Option<Idempotency>,
    /// How urgent it is.
    pub priority: admission::Priority,
    /// The time left when the request was received.
    pub time_left: time::SpanMs,
}

impl ServiceRequest {
    /// A repeatable request without a body.
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

    /// Whether running it twice does no harm.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD")
    }

    /// What the key is bound to: service, method, path and body.
    #[must_use]
    pub fn fingerprint(&self) -> fingerprint::Fingerprint {
        fingerprint::Fingerprint::of(&self.service, &self.method, &self.path, &self.body)
    }
}
