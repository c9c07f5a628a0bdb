//! What the control thread receives.
//!
//! ```
//! use damaskvane_entry::control;
//!
//! assert!(format!("{:?}", control::ControlInput::Leave).contains("Leave"));
//! ```

use damaskvane_peer::transport;

use crate::store;
use crate::wire;

/// One message to the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// A call on the platform ended.
    Store(store::StoreReport),
    /// Another instance sent a message.
    Peer(Box<transport::Received<wire::WireMessage>>),
    /// A planned stop has begun.
    Leave,
}
