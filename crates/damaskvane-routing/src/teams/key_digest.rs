//! The digest by which an API key is recognized.

use core::fmt;
use core::str;

use subtle::{Choice, ConstantTimeEq};

/// Separates these digests from all others that are made of the same text.
const CONTEXT: &str = "damaskvane 2026 digest of an API key";
/// Length of a digest. 128 bits of a secure hash can neither be inverted nor made to collide with a known key.
const DIGEST_BYTES: usize = 16;

/// Digest of an API key, which takes the key's place in the configuration and in messages between instances.
///
/// The comparison takes the same time wherever two digests differ, and the debug output shows nothing.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// the digest of a key has {0} characters or is not hexadecimal; it must have 32 hexadecimal digits
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseDigestError(usize);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of_key(key: &[u8]) -> Self {
        let whole = blake3::derive_key(CONTEXT, key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Self(digest)
    }

    /// Returns the digest as hexadecimal digits, for the encoded configuration.
    #[must_use]
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the first bytes as a number, by which a table of digests is ordered.
    pub(super) const fn prefix(self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

impl ConstantTimeEq for KeyDigest {
    fn ct_eq(&self, other: &Self) -> Choice {
        self.0.ct_eq(&other.0)
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.ct_eq(other).into()
    }
}

impl Eq for KeyDigest {}

impl str::FromStr for KeyDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseDigestError(text.len());
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(error());
        }
        let mut digest = [0; DIGEST_BYTES];
        for (byte, index) in digest.iter_mut().zip((0..text.len()).step_by(2)) {
            *byte = u8::from_str_radix(&text[index..index + 2], 16).map_err(|_| error())?;
        }
        Ok(Self(digest))
    }
}
