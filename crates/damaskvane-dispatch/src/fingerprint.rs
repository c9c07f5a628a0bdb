//! A hash by which equal requests are recognized on all instances.
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
use core::ops;
use core::str;

use damaskvane_core::{hash, ids};
use serde::{Deserialize, Serialize};

/// The hash of a request's service, method, path and body.
///
/// An idempotency key, by which a client names one request across its attempts, is bound to the fingerprint of
/// the first attempt. A request that crashes backend servers is recognized by its fingerprint on every
/// instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(hash::ContentHash);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(service: &ids::ServiceId, method: &str, path: &str, body: &[u8]) -> Self {
        Self::of_fields([service.as_str(), method, path], body)
    }

    /// Computes the fingerprint of a request from its identifying fields, in the given order.
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
            // The length prefix makes the fields "/a" and "b" differ from the single field "/ab".
            content.extend_from_slice(&(field.len() as u64).to_le_bytes());
            content.extend_from_slice(field);
        }
        content.extend_from_slice(body);
        Self(hash::ContentHash::of(&content))
    }
}

impl Fingerprint {
    /// Length of the part of a fingerprint that is the same for all callers of a request, in bytes.
    const REQUEST_BYTES: usize = 16;

    /// Returns the fingerprint of the same request of one caller; its first half is that of the request.
    ///
    /// ```
    /// use damaskvane_dispatch::fingerprint;
    ///
    /// let request = fingerprint::Fingerprint::of_fields(["GET", "/look"], b"");
    /// let one = request.with_caller("10.0.0.1");
    /// assert_ne!(one, request.with_caller("10.0.0.2"));
    /// assert!(request.callers().contains(&one));
    /// ```
    #[must_use]
    pub fn with_caller(&self, caller: &str) -> Self {
        let of_caller = Self::of_fields([caller], self.0.as_bytes());
        let mut bytes = *self.0.as_bytes();
        bytes[Self::REQUEST_BYTES..]
            .copy_from_slice(&of_caller.0.as_bytes()[Self::REQUEST_BYTES..]);
        Self(hash::ContentHash::from_bytes(bytes))
    }

    /// Returns the fingerprint of the same request whoever sends it; its second half is zero.
    #[must_use]
    pub fn any_caller(&self) -> Self {
        *self.callers().start()
    }

    /// Returns the range of the fingerprints of the same request of all callers.
    #[must_use]
    pub fn callers(&self) -> ops::RangeInclusive<Self> {
        let filled = |byte: u8| {
            let mut bytes = *self.0.as_bytes();
            bytes[Self::REQUEST_BYTES..].fill(byte);
            Self(hash::ContentHash::from_bytes(bytes))
        };
        filled(u8::MIN)..=filled(u8::MAX)
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
