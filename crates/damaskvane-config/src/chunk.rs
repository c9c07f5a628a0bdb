//! Immutable chunks: the canonical bytes of one object's state, named by their hash.
//!
//! ```
//! use damaskvane_config::{chunk, declaration, object};
//!
//! let id: object::ObjectId = "region/sask".parse().expect("an id");
//! let region = declaration::Declaration::Region(declaration::Region::default());
//! let chunk = chunk::Chunk::encode(&id, &region);
//! assert_eq!(chunk.decode().expect("own encoding"), (id, region));
//! ```

use std::sync::Arc;

use damaskvane_core::hash::ContentHash;
use serde::{Deserialize, Serialize};

use crate::declaration::Declaration;
use crate::object::{ObjectId, ObjectName};

/// The largest value that the platform's object API stores, in bytes.
pub const MAX_CHUNK_BYTES: usize = 1_000_000;

/// The bytes of an immutable stored value with their hash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    hash: ContentHash,
    bytes: Arc<[u8]>,
}

/// The error of decoding a chunk.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ChunkError {
    /// the chunk can't be decoded as an object of a known kind ({0}); upgrade the program or submit the object again
    Decode(String),
}

#[derive(Debug, Serialize, Deserialize)]
struct Body<T> {
    name: ObjectName,
    #[serde(flatten)]
    declaration: T,
}

impl Chunk {
    /// Returns a chunk of these bytes; the hash is computed from them, since a received hash isn't
    /// trusted.
    #[must_use]
    pub fn from_bytes(bytes: impl Into<Arc<[u8]>>) -> Self {
        let bytes = bytes.into();
        Self {
            hash: ContentHash::of(&bytes),
            bytes,
        }
    }

    /// Encodes the state of an object canonically, so that equal states have equal bytes.
    #[must_use]
    pub fn encode(id: &ObjectId, declaration: &Declaration) -> Self {
        let body = Body {
            name: id.name().clone(),
            declaration,
        };
        Self::from_bytes(to_json(&body))
    }

    /// Decodes the object and its state.
    ///
    /// # Errors
    ///
    /// Returns [`ChunkError::Decode`] if the bytes are not an object of a known kind.
    pub fn decode(&self) -> Result<(ObjectId, Declaration), ChunkError> {
        let body: Body<Declaration> = serde_json::from_slice(&self.bytes)
            .map_err(|error| ChunkError::Decode(error.to_string()))?;
        let id = ObjectId::new(body.declaration.kind(), body.name);
        Ok((id, body.declaration))
    }

    /// Returns the hash of the bytes, under which the chunk is stored.
    #[must_use]
    pub const fn hash(&self) -> ContentHash {
        self.hash
    }

    /// Returns the bytes as they are stored.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the bytes without copying them.
    #[must_use]
    pub fn shared_bytes(&self) -> Arc<[u8]> {
        Arc::clone(&self.bytes)
    }
}

/// Encodes a value, whose maps must be sorted and whose fields must have a fixed order, as JSON.
pub(crate) fn to_json(value: &impl Serialize) -> Vec<u8> {
    // This can't fail, since the types of this crate have text keys and no fallible encoders. Every
    // reader would reject an empty value.
    serde_json::to_vec(value).unwrap_or_default()
}
