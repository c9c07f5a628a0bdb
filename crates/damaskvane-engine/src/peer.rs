//! What the engines of entry instances say to each other.
//!
//! ```
//! use damaskvane_engine::peer;
//!
//! let message = peer::PeerMessage::ForwardAnswer(peer::ForwardAnswer::lost(7));
//! assert_eq!(message.kind(), "forward_answer");
//! ```

mod departure;
mod forward;
mod peer_message;

pub use departure::{Departed, HandoverTaken};
pub use forward::{Forward, ForwardAnswer};
pub use peer_message::PeerMessage;
