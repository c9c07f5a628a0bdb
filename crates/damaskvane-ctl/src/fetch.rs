//! Requests a JSON document from an instance over HTTP.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_ctl::fetch;
//!
//! let response = fetch::json("http://127.0.0.1:1/v1/status", &[], time::SpanMs::new(200));
//! assert!(response.is_err());
//! ```

use std::io::Read;

use attohttpc::{Method, ProxySettings, RequestBuilder};
use damaskvane_core::time;
use serde_json::Value;

/// Maximum number of bytes that are read of a response body; the rest is ignored.
const MAX_BYTES: u64 = 4_000_000;

/// Reason why no JSON document was received.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum FetchError {
    /// no response ({0}); check the address and that the instance is running
    Http(#[from] attohttpc::Error),
    /// the response was truncated ({0}); run the command again
    Body(#[from] std::io::Error),
    /// the response has HTTP status {0}; check the address and the arguments
    Status(u16),
    /// the response is not valid JSON ({0}); check that the address belongs to an instance
    Json(#[from] serde_json::Error),
}

/// Sends one GET request and returns the JSON document of the response.
///
/// `timeout` limits the whole exchange. The request is not retried.
///
/// # Errors
///
/// Fails if no complete JSON document with a success status arrives in time.
pub fn json(url: &str, query: &[(&str, &str)], timeout: time::SpanMs) -> Result<Value, FetchError> {
    let timeout = timeout.to_duration();
    let response = RequestBuilder::try_new(Method::GET, url)?
        .params(query)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout)
        .send()?;
    if !response.is_success() {
        return Err(FetchError::Status(response.status().as_u16()));
    }
    let (_, _, reader) = response.split();
    let mut body = Vec::new();
    reader.take(MAX_BYTES).read_to_end(&mut body)?;
    Ok(serde_json::from_slice(&body)?)
}
