//! The complete response of a backend server.
//!
//! ```
//! use damaskvane_engine::message;
//!
//! let response = message::BackendResponse { status: 200, headers: Vec::new(), body: b"ok".to_vec() };
//! assert_eq!(response.len(), 2);
//! ```

use damaskvane_dispatch::home;
use serde::{Deserialize, Serialize};

use crate::message::header;

/// A response of verified length; a truncated response never becomes a value of this type.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The headers that are forwarded to the client.
    pub headers: Vec<header::Header>,
    /// The complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl BackendResponse {
    /// Returns the length of the body and of all header names and values, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name().len() + header.value().len())
            .sum();
        self.body.len() + headers
    }

    /// Returns whether the response has neither headers nor a body.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl home::ResponseSize for BackendResponse {
    fn size_bytes(&self) -> u64 {
        self.len() as u64
    }
}
