//! What the aggregate is told, and what it asks for.

use core::net;

use damaskvane_core::{ids, time};

use crate::heartbeat::{Heartbeat, LoadSummary};
use crate::record::InstanceRecord;
use crate::state::InstanceState;

/// Where a copy of the list came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListSource {
    /// The platform itself.
    Platform,
    /// Another instance, for one that starts while the platform is down.
    Peer,
}

/// What a probe of an address found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The machine answers that nothing listens there.
    Refused,
    /// A connection was made: the process may be alive, paused, or not know this instance yet.
    Answered,
    /// Nothing came back in time.
    Silent,
}

/// What the aggregate is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// The list was read.
    List {
        /// All of its entries.
        records: Vec<InstanceRecord>,
        /// The time since it was asked for.
        age: time::SpanMs,
        /// Where it came from.
        source: ListSource,
    },
    /// A heartbeat arrived.
    Heartbeat {
        /// The sender.
        from: ids::InstanceId,
        /// Which start of the sender it is.
        incarnation: ids::Incarnation,
        /// What it says.
        heartbeat: Heartbeat,
    },
    /// A probe of the address of an instance ended.
    Probed {
        /// The instance.
        instance: ids::InstanceId,
        /// The start that was asked about.
        incarnation: ids::Incarnation,
        /// What was found.
        outcome: ProbeOutcome,
    },
    /// The platform marked the object of an instance as fenced.
    Fenced {
        /// The instance.
        instance: ids::InstanceId,
        /// The start that was fenced.
        incarnation: ids::Incarnation,
    },
    /// The object was surely not marked; an unknown outcome is not this.
    FenceFailed {
        /// The instance.
        instance: ids::InstanceId,
    },
    /// The own object at the platform was found marked, or written by a later start.
    Superseded,
    /// What this instance says of itself from now on.
    Report {
        /// The configuration in force.
        config_version: ids::ConfigVersion,
        /// Its load.
        load: LoadSummary,
    },
    /// This instance is about to stop.
    Leave,
    /// Time has passed; send it at least four times a second.
    Tick,
}

/// What the aggregate asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat.
    Send {
        /// The neighbour.
        to: ids::InstanceId,
        /// Where it listens.
        address: net::SocketAddr,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Drop the connection to a neighbour and make a fresh one: it does not hear this instance.
    Reconnect {
        /// The neighbour.
        to: ids::InstanceId,
        /// Where it listens.
        address: net::SocketAddr,
    },
    /// Try to connect, and report [`Event::Probed`].
    Probe {
        /// The silent neighbour.
        instance: ids::InstanceId,
        /// The start in question.
        incarnation: ids::Incarnation,
        /// Where it listens.
        address: net::SocketAddr,
    },
    /// Mark the instance's object at the platform as fenced, on condition that it still has this
    /// incarnation, and report [`Event::Fenced`] or [`Event::FenceFailed`].
    Fence {
        /// The dead neighbour.
        instance: ids::InstanceId,
        /// The start in question.
        incarnation: ids::Incarnation,
        /// Whether it may take itself for the last of a cut-off zone; the mark says so.
        goes_on_alone: bool,
    },
    /// Delete an object that was marked long ago, on condition that it is still marked and has this
    /// incarnation; no report is needed.
    RemoveFenceRecord {
        /// The instance that was fenced.
        instance: ids::InstanceId,
        /// Its start that was fenced.
        incarnation: ids::Incarnation,
    },
    /// Listen to these instances only.
    AllowPeers(Vec<ids::InstanceId>),
    /// The state of an instance changed.
    Changed {
        /// The instance.
        instance: ids::InstanceId,
        /// The state from now on; nothing if it was forgotten.
        state: Option<InstanceState>,
    },
    /// This process was paused for so long.
    Resumed {
        /// The length of the pause.
        paused: time::SpanMs,
    },
    /// Others have fenced this instance or started it again elsewhere: stop, and start anew.
    OwnFenced,
}
