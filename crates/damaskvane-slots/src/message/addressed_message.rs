//! A message with the incarnation that it is for.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders.

use damaskvane_core::ids;
use serde::{Deserialize, Serialize};

use crate::message::SlotMessage;

/// A message for one incarnation of an instance.
///
/// A message can be delayed while its recipient restarts. The next incarnation numbers its acquire requests
/// and claims from the start, and would take an old response for a new one. It therefore drops messages for
/// other incarnations of its instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressedMessage {
    /// The incarnation of the recipient.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// The message.
    #[serde(rename = "m")]
    pub message: SlotMessage,
}
