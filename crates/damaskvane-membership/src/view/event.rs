//! Events that membership handles, and actions that it requests.

use core::net;

use damaskvane_core::{ids, time};

use crate::heartbeat::{Heartbeat, LoadSummary};
use crate::record::InstanceRecord;
use crate::state::InstanceState;

/// Source of a copy of the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListSource {
    /// The platform itself.
    Platform,
    /// Another instance; used by an instance that starts while the platform is down.
    Peer,
}

/// Result of probing an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The machine refused the connection: no process listens at the address.
    Refused,
    /// A connection was established. The process may be alive or paused, or may not have received a
    /// list with this instance yet.
    Answered,
    /// No response arrived in time.
    Silent,
}

/// Input of [`Membership::handle`](crate::view::Membership::handle).
#[derive(Debug, Clone)]
pub enum Event {
    /// A copy of the platform's list arrived.
    List {
        /// All entries of the list.
        records: Vec<InstanceRecord>,
        /// Time since the list was requested.
        age: time::SpanMs,
        /// Source of the copy.
        source: ListSource,
    },
    /// A heartbeat arrived.
    Heartbeat {
        /// Instance that sent the heartbeat.
        from: ids::InstanceId,
        /// Incarnation of the sender.
        incarnation: ids::Incarnation,
        /// Content of the heartbeat.
        heartbeat: Heartbeat,
    },
    /// A probe of the address of an instance ended.
    Probed {
        /// The probed instance.
        instance: ids::InstanceId,
        /// Incarnation for which the probe was requested.
        incarnation: ids::Incarnation,
        /// Result of the probe.
        outcome: ProbeOutcome,
    },
    /// The platform marked the entry of an instance as fenced.
    Fenced {
        /// The fenced instance.
        instance: ids::InstanceId,
        /// The fenced incarnation.
        incarnation: ids::Incarnation,
    },
    /// The platform certainly did not mark the entry as fenced; not to be used for an unknown outcome.
    FenceFailed {
        /// The instance that was to be fenced.
        instance: ids::InstanceId,
    },
    /// This instance's entry at the platform was found marked as fenced, or written by a later
    /// incarnation.
    Superseded,
    /// New content of this instance's heartbeats.
    Report {
        /// Version of the configuration in effect.
        config_version: ids::ConfigVersion,
        /// Load of this instance.
        load: LoadSummary,
    },
    /// This instance is about to stop.
    Leave,
    /// Time has passed; send this event at least four times a second.
    Tick,
}

/// Request to the caller of [`Membership::handle`](crate::view::Membership::handle).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat.
    Send {
        /// Neighbour that receives the heartbeat.
        to: ids::InstanceId,
        /// Peer address of the neighbour.
        address: net::SocketAddr,
        /// Heartbeat to send.
        heartbeat: Heartbeat,
    },
    /// Drop the connection to a neighbour and open a new one, because heartbeats or echoes from the
    /// neighbour are missing.
    Reconnect {
        /// Neighbour to connect to.
        to: ids::InstanceId,
        /// Peer address of the neighbour.
        address: net::SocketAddr,
    },
    /// Try to connect, and report [`Event::Probed`].
    Probe {
        /// The silent neighbour.
        instance: ids::InstanceId,
        /// Incarnation for which the probe is requested.
        incarnation: ids::Incarnation,
        /// Peer address of the neighbour.
        address: net::SocketAddr,
    },
    /// Mark the instance's entry at the platform as fenced, on condition that the entry still has this
    /// incarnation, and report [`Event::Fenced`] or [`Event::FenceFailed`].
    Fence {
        /// The dead neighbour.
        instance: ids::InstanceId,
        /// Incarnation to fence.
        incarnation: ids::Incarnation,
        /// Whether the neighbour may consider itself the last instance of a zone that is cut off from
        /// the platform; stored in the fence record.
        goes_on_alone: bool,
    },
    /// Delete an entry that was marked as fenced long ago, on condition that the entry is still marked
    /// and has this incarnation; no report is needed.
    RemoveFenceRecord {
        /// The fenced instance.
        instance: ids::InstanceId,
        /// The fenced incarnation.
        incarnation: ids::Incarnation,
    },
    /// Accept messages from these instances only.
    AllowPeers(Vec<ids::InstanceId>),
    /// The state of an instance changed.
    Changed {
        /// Instance whose state changed.
        instance: ids::InstanceId,
        /// New state; `None` if the instance was forgotten.
        state: Option<InstanceState>,
    },
    /// This process resumed after a pause.
    Resumed {
        /// Length of the pause.
        paused: time::SpanMs,
    },
    /// Another instance fenced this instance, or a later incarnation of this instance runs elsewhere:
    /// stop, and start again.
    OwnFenced,
}
