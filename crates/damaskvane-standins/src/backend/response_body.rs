//! An answer's body, whose content proves which request it answers and that it is whole.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let answer = backend::ResponseBody::new("rider-desk-sask-a-1", "r-1", "", "/work", 100);
//! assert!(answer.is_intact());
//! let crossed = backend::ResponseBody { request_id: "r-2".into(), ..answer };
//! assert!(!crossed.is_intact());
//! ```

use serde::{Deserialize, Serialize};

/// The body of a backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseBody {
    /// The backend server that ran the request.
    pub server: String,
    /// The request that this answers.
    pub request_id: String,
    /// The idempotency key of the request, or empty.
    pub idempotency_key: String,
    /// The path and query that ran.
    pub path: String,
    /// As many bytes as the request asked for, derived from the request id.
    pub padding: String,
    /// The hash of all other fields.
    pub checksum: String,
}

impl ResponseBody {
    /// The answer of `server`, with `padding_bytes` of padding.
    #[must_use]
    pub fn new(
        server: &str,
        request_id: &str,
        idempotency_key: &str,
        path: &str,
        padding_bytes: usize,
    ) -> Self {
        let mut answer = Self {
            server: server.to_owned(),
            request_id: request_id.to_owned(),
            idempotency_key: idempotency_key.to_owned(),
            path: path.to_owned(),
            padding: padding(request_id, padding_bytes),
            checksum: String::new(),
        };
        answer.checksum = answer.hash();
        answer
    }

    /// Whether no field was cut, crossed or changed since the answer was made.
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

/// Letters derived from the request id, so that two requests never share their padding.
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
