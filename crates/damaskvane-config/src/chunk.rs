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

/// The largest value that the platform's object API holds, in bytes.
pub const MAX_CHUNK_BYTES: usize = 1_000_000;

/// An immutable chunk with its hash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    hash: ContentHash,
    bytes: Arc<[u8]>,
}

/// Why a chunk can't be read.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ChunkError {
    /// the chunk holds no object that this program knows ({0}); upgrade the program or submit the object again
    Decode(String),
}

#[derive(Debug, Serialize, Deserialize)]
struct Body<T> {
    name: ObjectName,
    #[serde(flatten)]
    declaration: T,
}

impl Chunk {
    /// Wraps bytes that came from outside; the hash is worked out here, never taken on trust.
    #[must_use]
    pub fn from_bytes(bytes: impl Into<Arc<[u8]>>) -> Self {
        let bytes = bytes.into();
        Self {
            hash: ContentHash::of(&bytes),
            bytes,
        }
    }

    /// The canonical encoding of an object: equal states have equal bytes.
    #[must_use]
    pub fn encode(id: &ObjectId, declaration: &Declaration) -> Self {
        let body = Body {
            name: id.name().clone(),
            declaration,
        };
        Self::from_bytes(to_json(&body))
    }

    /// Reads the object back.
    ///
    /// # Errors
    ///
    /// When the bytes hold no object of a known kind.
    pub fn decode(&self) -> Result<(ObjectId, Declaration), ChunkError> {
        let body: Body<Declaration> = serde_json::from_slice(&self.bytes)
            .map_err(|error| ChunkError::Decode(error.to_string()))?;
        let id = ObjectId::new(body.declaration.kind(), body.name);
        Ok((id, body.declaration))
    }

    /// The hash that names the chunk.
    #[must_use]
    pub const fn hash(&self) -> ContentHash {
        self.hash
    }

    /// The bytes as they are stored.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The bytes, shared.
    #[must_use]
    pub fn shared_bytes(&self) -> Arc<[u8]> {
        Arc::clone(&self.bytes)
    }
}

/// Encodes a value whose maps are sorted and whose fields have a fixed order.
pub(crate) fn to_json(value: &impl Serialize) -> Vec<u8> {
    // The types of this crate have text keys and no fallible encoders, so this can't fail; an
    // empty value would be refused by every reader.
    serde_json::to_vec(value).unwrap_or_default()
}
