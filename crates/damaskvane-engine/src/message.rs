//! Requests of clients and responses of backend servers, as the engine and its peers exchange them.
//!
//! ```
//! use damaskvane_engine::message;
//!
//! let header = message::Header::new("accept", "text/plain");
//! assert_eq!(header.value(), "text/plain");
//! ```

mod header;
mod request;
mod response;

pub use header::Header;
pub use request::{Idempotency, ServiceRequest};
pub use response::BackendResponse;
