//! A backend server's response as it was read from the connection.
//!
//! ```
//! use damaskvane_dispatch::exchange;
//!
//! let response = exchange::BackendResponse {
//!     request: "try-1".parse()?,
//!     declared_bytes: 10,
//!     received_bytes: 4,
//!     response: b"book".to_vec(),
//! };
//! assert!(!response.is_complete());
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::ids;

/// A response with the data that shows whether it is complete and which request it belongs to.
#[derive(Debug)]
pub struct BackendResponse<A> {
    /// The request id that the response carries.
    pub request: ids::RequestId,
    /// The length that the response declares, in bytes.
    pub declared_bytes: u64,
    /// The length that was read, in bytes.
    pub received_bytes: u64,
    /// The content of the response.
    pub response: A,
}

impl<A> BackendResponse<A> {
    /// Returns whether the length that was read is the declared one.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.declared_bytes == self.received_bytes
    }
}
