//! How much memory a kept answer takes.
//!
//! ```
//! use damaskvane_dispatch::home::ResponseSize;
//!
//! assert_eq!(vec![0_u8; 10].size_bytes(), 10);
//! ```

use std::sync::Arc;

/// The size of an answer that is kept for repeats.
pub trait ResponseSize {
    /// How many bytes the answer takes.
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
