//! The messages that the control thread receives.
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

/// Message to the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// Result of a call on the platform.
    Store(store::StoreReport),
    /// Message from another instance.
    Peer(Box<transport::Received<wire::WireMessage>>),
    /// Result of a probe of an instance whose heartbeats stopped.
    Probed {
        /// Probed instance.
        instance: ids::InstanceId,
        /// Incarnation (start of the instance's process) that the membership suspects to have stopped.
        incarnation: ids::Incarnation,
        /// Result of the connection attempt to the instance's address.
        outcome: view::ProbeOutcome,
    },
    /// Begin a planned stop of this instance.
    Leave,
}
