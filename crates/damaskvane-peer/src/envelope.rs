//! The encoding on the wire: a CBOR header that names the sender, then the message in CBOR.
//!
//! The header is decoded and checked first, so that nothing of a message is looked at before its sender
//! is known to be on the list. Fields that are not known are skipped, and a message that is not known is
//! told apart from a broken one: during an upgrade old and new versions of the program talk.
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

/// Who sent a message; the names are one letter each, as they travel with every message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The sending instance.
    #[serde(rename = "f")]
    pub from: ids::InstanceId,
    /// Which start of that instance it is.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
}

/// the bytes are no envelope or no message of this version; nothing is to be done if it is one of many
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct DecodeError;

impl Header {
    /// The header of a sender.
    #[must_use]
    pub const fn new(from: ids::InstanceId, incarnation: ids::Incarnation) -> Self {
        Self { from, incarnation }
    }
}

/// Encodes a header and a message.
///
/// # Errors
///
/// [`PeerError::Encode`] if a type of the message refuses to be serialised.
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

/// Decodes the header and returns the bytes of the message behind it.
///
/// # Errors
///
/// [`DecodeError`] if the bytes do not begin with a header.
pub fn split(mut bytes: &[u8]) -> Result<(Header, &[u8]), DecodeError> {
    let header = ciborium::from_reader(&mut bytes).map_err(|_| DecodeError)?;
    Ok((header, bytes))
}

/// Decodes the message behind a header.
///
/// # Errors
///
/// [`DecodeError`] if the message is broken or not known to this version of the program.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, DecodeError> {
    ciborium::from_reader(bytes).map_err(|_| DecodeError)
}
