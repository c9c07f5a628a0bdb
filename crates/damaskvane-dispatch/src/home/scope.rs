//! The scope in which an idempotency key is unique: its home, the instance that alone may run the key.
//!
//! ```
//! use damaskvane_dispatch::home;
//!
//! let scope = home::Scope::new("sask-a-1".parse()?, "booking-1".parse()?);
//! assert_eq!(scope.key.as_str(), "booking-1");
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{hash, ids};
use serde::{Deserialize, Serialize};

/// An idempotency key with its home instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// The instance that the client names as home.
    pub instance: ids::InstanceId,
    /// The client's idempotency key.
    pub key: ids::IdempotencyKey,
}

impl Scope {
    /// Returns the scope of a key at its home instance.
    #[must_use]
    pub const fn new(instance: ids::InstanceId, key: ids::IdempotencyKey) -> Self {
        Self { instance, key }
    }

    /// Returns an eight-byte digest of the scope, for tombstones (digests of keys whose outcomes are no longer
    /// retained).
    ///
    /// A new key whose digest equals that of a tombstone is answered with *unknown*.
    pub(super) fn digest(&self) -> u64 {
        let text = format!("{}/{}", self.instance, self.key);
        let hash = hash::ContentHash::of(text.as_bytes());
        let mut digest = [0; 8];
        digest.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(digest)
    }
}
