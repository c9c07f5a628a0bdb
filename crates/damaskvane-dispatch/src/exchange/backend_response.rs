//! A backend server's answer as it was read.
//!
//! ```
//! use damaskvane_dispatch::exchange;
//!
//! let answer = exchange::BackendResponse {
//!     request: "try-1".parse()?,
//!     declared_bytes: 10,
//!     received_bytes: 4,
//!     response: b"book".to_vec(),
//! };
//! assert!(!answer.is_whole());
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::ids;

/// An answer with what is needed to know whether it is whole and whose it is.
#[derive(Debug)]
pub struct BackendResponse<A> {
    /// The request that the answer names.
    pub request: ids::RequestId,
    /// The length that the answer declares.
    pub declared_bytes: u64,
    /// The length that was read.
    pub received_bytes: u64,
    /// The answer itself.
    pub response: A,
}

impl<A> BackendResponse<A> {
    /// Whether the answer has the length that it declares.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        self.declared_bytes == self.received_bytes
    }
}
