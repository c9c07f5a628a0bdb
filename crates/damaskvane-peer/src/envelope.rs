//! The encoding on the wire: a CBOR header that names the sender, then the message in CBOR.
//!
//! The receiver decodes and checks the header first, so that it decodes only messages of allowed
//! senders. During an upgrade old and new versions of the program exchange messages: unknown fields
//! are skipped, and an unknown message is distinguished from a malformed envelope.
//!
//! ```
//! use damaskvane_peer::envelope;
//!
//! let header = envelope::Header::new("sask-a-1".parse()?, 3.into_incarnation());
//! let bytes = envelope::encode(&header, &"hello").expect("encodes");
//! let (decoded, rest) = envelope::split(&bytes).expect("decodes");
//! assert_eq!(decoded, header);
//! assert_eq!(envelope::decode::<String>(rest).as_deref(), Ok("hello"));
//! # trait N { fn into_incarnation(self) -> damaskvane_core::ids::Incarnation; }
//! # impl N for u64 { fn into_incarnation(self) -> damaskvane_core::ids::Incarnation {
//! #     damaskvane_core::ids::Incarnation::new(self) } }
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::ids;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::PeerError;

/// The sender of a message; the field names on the wire have one letter, since every message contains
/// them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The instance that sent the message.
    #[serde(rename = "f")]
    pub from: ids::InstanceId,
    /// The incarnation of the instance that sent the message.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
}

/// the bytes are not a valid envelope or not a message of this version; a single error needs no action
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct DecodeError;

impl Header {
    /// Creates the header for messages of a sender.
    #[must_use]
    pub const fn new(from: ids::InstanceId, incarnation: ids::Incarnation) -> Self {
        Self { from, incarnation }
    }
}

/// Encodes a header and a message.
///
/// # Errors
///
/// Returns [`PeerError::Encode`] if the message can't be serialized.
pub fn encode(header: &Header, message: &impl Serialize) -> Result<Vec<u8>, PeerError> {
    let mut bytes = Vec::with_capacity(64);
    into_cbor(header, &mut bytes)?;
    into_cbor(message, &mut bytes)?;
    Ok(bytes)
}

fn into_cbor(value: &impl Serialize, bytes: &mut Vec<u8>) -> Result<(), PeerError> {
    ciborium::into_writer(value, bytes).map_err(|error| PeerError::Encode {
        cause: error.to_string(),
    })
}

/// Decodes the header; returns it with the bytes of the message that follows.
///
/// # Errors
///
/// Returns [`DecodeError`] if the bytes do not begin with a header.
pub fn split(mut bytes: &[u8]) -> Result<(Header, &[u8]), DecodeError> {
    let header = ciborium::from_reader(&mut bytes).map_err(|_| DecodeError)?;
    Ok((header, bytes))
}

/// Decodes the message that follows a header.
///
/// # Errors
///
/// Returns [`DecodeError`] if the message is malformed or unknown to this version of the program.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, DecodeError> {
    ciborium::from_reader(bytes).map_err(|_| DecodeError)
}
