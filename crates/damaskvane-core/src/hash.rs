//! Content hashes of immutable chunks.
//!
//! ```
//! use damaskvane_core::hash;
//!
//! let first = hash::ContentHash::of(b"a chunk");
//! assert_eq!(first.to_string().parse(), Ok(first));
//! ```

use core::fmt;
use core::str;

use serde::{Deserialize, Serialize};

/// The BLAKE3 hash of an immutable chunk, used as the chunk's name in the platform's object API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ContentHash([u8; 32]);

/// a content hash has 64 hexadecimal digits; compare the text with the one that was stored
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseHashError;

impl ContentHash {
    /// Returns the hash with these bytes.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the hash of the content of a chunk.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        Self(*blake3::hash(content).as_bytes())
    }

    /// Returns the 32 bytes of the hash.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from(self.0).to_hex().as_str())
    }
}

impl str::FromStr for ContentHash {
    type Err = ParseHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(text)
            .map(|hash| Self(*hash.as_bytes()))
            .map_err(|_| ParseHashError)
    }
}

impl TryFrom<String> for ContentHash {
    type Error = ParseHashError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ContentHash> for String {
    fn from(hash: ContentHash) -> Self {
        hash.to_string()
    }
}
