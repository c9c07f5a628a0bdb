//! HTTP/1.1 on connections that this instance opens: writing requests and parsing responses.
//!
//! Backend servers also send late, duplicate and truncated responses and responses without a length.
//! Distinguishing them requires access to the bytes, so this module parses responses itself, with `httparse`.
//! An HTTP client library would take the first response that arrives for the response to the pending request.

mod body;
mod connection;
mod connection_headers;
mod head;

pub use body::{BodyKind, BodyReader, MalformedBody, Piece};
pub use connection::{Connection, ReadError, open_stream, set_silence_timeout};
pub use connection_headers::strip_connection_headers;
pub use head::{MalformedHead, ResponseHead};
