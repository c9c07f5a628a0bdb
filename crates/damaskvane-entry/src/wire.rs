//! Messages that entry instances exchange, in their serialized form.
//!
//! ```
//! use damaskvane_entry::wire;
//! use damaskvane_peer::transport::MessageKind;
//!
//! let request = wire::WireMessage::Configuration(wire::ConfigurationMessage::GetHead);
//! assert_eq!(request.kind(), "ask_head");
//! ```

mod configuration;
mod fleet;
mod message;

pub use configuration::{ConfigurationMessage, MAX_CHUNK_BYTES};
pub use fleet::FleetMessage;
pub use message::WireMessage;
