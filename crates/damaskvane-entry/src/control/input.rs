//! What the control thread receives.
//!
//! ```
//! use damaskvane_entry::control;
//!
//! assert!(format!("{:?}", control::ControlInput::Leave).contains("Leave"));
//! ```

use damaskvane_core::ids;
use damaskvane_membership::view;
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
    /// A probe of an instance that was silent ended.
    Probed {
        /// The instance.
        instance: ids::InstanceId,
        /// The start that was asked about.
        incarnation: ids::Incarnation,
        /// What was found at its address.
        outcome: view::ProbeOutcome,
    },
    /// A planned stop has begun.
    Leave,
}
