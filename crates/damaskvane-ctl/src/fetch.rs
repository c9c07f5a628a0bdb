//! Asks an instance for a JSON document.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_ctl::ask;
//!
//! let answer = ask::json("http://127.0.0.1:1/v1/status", &[], time::SpanMs::new(200));
//! assert!(answer.is_err());
//! ```

use std::io::Read;

use attohttpc::{Method, ProxySettings, RequestBuilder};
use damaskvane_core::time;
use serde_json::Value;

/// The longest document that is read.
const MAX_BYTES: u64 = 4_000_000;

/// Why an instance gave no document.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum AskError {
    /// no answer ({0}); check that the instance runs and the address is right
    Http(#[from] attohttpc::Error),
    /// the answer broke off ({0}); ask again
    Body(#[from] std::io::Error),
    /// the answer has status {0}; check the address and the question
    Status(u16),
    /// the answer is no JSON ({0}); check that the address is an instance's
    Json(#[from] serde_json::Error),
}

/// Asks once; the whole exchange ends within `timeout`.
///
/// # Errors
///
/// When there is no whole JSON document in time.
pub fn json(url: &str, query: &[(&str, &str)], timeout: time::SpanMs) -> Result<Value, AskError> {
    let timeout = timeout.to_duration();
    let response = RequestBuilder::try_new(Method::GET, url)?
        .params(query)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout)
        .send()?;
    if !response.is_success() {
        return Err(AskError::Status(response.status().as_u16()));
    }
    let (_, _, reader) = response.split();
    let mut body = Vec::new();
    reader.take(MAX_BYTES).read_to_end(&mut body)?;
    Ok(serde_json::from_slice(&body)?)
}
