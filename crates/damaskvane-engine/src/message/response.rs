//! A backend server's whole answer.
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

/// An answer whose length was checked; a cut one never becomes a value of this type.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<header::Header>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl BackendResponse {
    /// How many bytes it occupies.
    #[must_use]
    pub fn len(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name().len() + header.value().len())
            .sum();
        self.body.len() + headers
    }

    /// Whether it has neither headers nor a body.
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
