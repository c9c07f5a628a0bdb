//! Everything that entry instances say to each other.
//!
//! ```
//! use damaskvane_entry::wire;
//! use damaskvane_peer::transport::MessageKind;
//!
//! let ask = wire::WireMessage::Configuration(wire::ConfigurationMessage::GetHead);
//! assert_eq!(ask.kind(), "ask_head");
//! ```

mod configuration;
mod fleet;
mod message;

pub use configuration::{ConfigurationMessage, MAX_CHUNK_BYTES};
pub use fleet::FleetMessage;
pub use message::WireMessage;
