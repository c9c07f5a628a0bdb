//! The memory size of a stored response.
//!
//! ```
//! use damaskvane_dispatch::home::ResponseSize;
//!
//! assert_eq!(vec![0_u8; 10].size_bytes(), 10);
//! ```

use std::sync::Arc;

/// The size of a response that is stored, to be sent again to repeated attempts of the request.
pub trait ResponseSize {
    /// Returns the memory of the response in bytes.
    fn size_bytes(&self) -> u64;
}

impl ResponseSize for Vec<u8> {
    fn size_bytes(&self) -> u64 {
        self.len() as u64
    }
}

impl ResponseSize for u64 {
    fn size_bytes(&self) -> u64 {
        u64::from(Self::BITS / 8)
    }
}

impl<T: ResponseSize> ResponseSize for Arc<T> {
    fn size_bytes(&self) -> u64 {
        self.as_ref().size_bytes()
    }
}
