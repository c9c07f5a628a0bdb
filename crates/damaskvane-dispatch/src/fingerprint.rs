//! What makes two requests the same request.
//!
//! ```
//! use damaskvane_dispatch::fingerprint;
//!
//! let service = "rider-desk".parse()?;
//! let one = fingerprint::Fingerprint::of(&service, "POST", "/book", b"two meals");
//! let other = fingerprint::Fingerprint::of(&service, "POST", "/book", b"three meals");
//! assert_ne!(one, other);
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use core::fmt;
use core::str;

use damaskvane_core::{hash, ids};
use serde::{Deserialize, Serialize};

/// The hash of service, method, path and body.
///
/// A key is bound to the fingerprint of its first try, and a request that crashes backend servers is
/// recognised by it on whichever instance it arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(hash::ContentHash);

impl Fingerprint {
    /// The fingerprint of a request.
    #[must_use]
    pub fn of(service: &ids::ServiceId, method: &str, path: &str, body: &[u8]) -> Self {
        Self::of_fields([service.as_str(), method, path], body)
    }

    /// The fingerprint of a request by the fields that make it the same one, in this order.
    ///
    /// ```
    /// use damaskvane_dispatch::fingerprint;
    ///
    /// let one = fingerprint::Fingerprint::of_fields(["10.0.0.1", "GET", "/look"], b"");
    /// let other = fingerprint::Fingerprint::of_fields(["10.0.0.1", "GET/look"], b"");
    /// assert_ne!(one, other);
    /// ```
    #[must_use]
    pub fn of_fields<'a>(fields: impl IntoIterator<Item = &'a str>, body: &[u8]) -> Self {
        let mut content = Vec::with_capacity(body.len() + 192);
        for field in fields.into_iter().map(str::as_bytes) {
            // The length keeps "/a" + "b" apart from "/ab".
            content.extend_from_slice(&(field.len() as u64).to_le_bytes());
            content.extend_from_slice(field);
        }
        content.extend_from_slice(body);
        Self(hash::ContentHash::of(&content))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Fingerprint {
    type Err = hash::ParseHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
