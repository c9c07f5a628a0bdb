//! The messages between the engines of entry instances.
//!
//! ```
//! use damaskvane_engine::peer;
//!
//! let message = peer::PeerMessage::Departed(peer::Departed {
//!     departed: "e-1/3".parse()?,
//!     successor: "e-2/4".parse()?,
//! });
//! assert_eq!(message.kind(), "departed");
//! # Ok::<(), damaskvane_dispatch::home::ParseHomeError>(())
//! ```

mod departure;
mod forward;
mod peer_message;

pub use departure::{Departed, HandoverAck};
pub use forward::{Forward, ForwardResponse};
pub use peer_message::PeerMessage;
