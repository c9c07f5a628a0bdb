//! The body of a backend server's response, which names its request and carries a checksum.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let body = backend::ResponseBody::new("rider-desk-sask-a-1", "r-1", "", "/work", 100);
//! assert!(body.is_intact());
//! let mismatched = backend::ResponseBody { request_id: "r-2".into(), ..body };
//! assert!(!mismatched.is_intact());
//! ```

use serde::{Deserialize, Serialize};

/// The body of a response to a request that ran to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseBody {
    /// The backend server that ran the request.
    pub server: String,
    /// The id of the request, from its `damaskvane-request-id` header.
    pub request_id: String,
    /// The idempotency key of the request; empty if the request has none.
    pub idempotency_key: String,
    /// The path and query of the request.
    pub path: String,
    /// Letters derived from the request id, as many as the request's `bytes` parameter.
    pub padding: String,
    /// The BLAKE3 hash of all other fields, in hexadecimal.
    pub checksum: String,
}

impl ResponseBody {
    /// Creates the body of `server`'s response, with `padding_bytes` of padding and the checksum.
    #[must_use]
    pub fn new(
        server: &str,
        request_id: &str,
        idempotency_key: &str,
        path: &str,
        padding_bytes: usize,
    ) -> Self {
        let mut body = Self {
            server: server.to_owned(),
            request_id: request_id.to_owned(),
            idempotency_key: idempotency_key.to_owned(),
            path: path.to_owned(),
            padding: padding(request_id, padding_bytes),
            checksum: String::new(),
        };
        body.checksum = body.hash();
        body
    }

    /// Returns whether the checksum matches all other fields.
    #[must_use]
    pub fn is_intact(&self) -> bool {
        self.checksum == self.hash()
    }

    fn hash(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        let fields = [
            &self.server,
            &self.request_id,
            &self.idempotency_key,
            &self.path,
            &self.padding,
        ];
        for field in fields {
            hasher.update(&field.len().to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.finalize().to_hex().to_string()
    }
}

/// Derives the padding from the request id, so that the padding of two requests differs.
fn padding(request_id: &str, bytes: usize) -> String {
    let mut raw = vec![0; bytes];
    blake3::Hasher::new()
        .update(request_id.as_bytes())
        .finalize_xof()
        .fill(&mut raw);
    raw.iter()
        .map(|byte| char::from(b'a' + byte % 26))
        .collect()
}
