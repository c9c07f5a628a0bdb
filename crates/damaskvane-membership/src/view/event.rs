//! Events that membership handles, and actions that it requests.
//!
//! The neighbours of an instance are those instances of its zone with which it exchanges heartbeats. To
//! fence an instance is to revoke its right to own backend servers, by a mark on its entry at the
//! platform.

use core::net;

use damaskvane_core::{ids, time};

use crate::heartbeat::{Heartbeat, LoadSummary};
use crate::record::InstanceRecord;
use crate::state::InstanceState;
use crate::view::passing::PassedList;

/// Source of a copy of the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListSource {
    /// The platform itself.
    Platform,
    /// Another instance, which passed on the instances that it knows of.
    ///
    /// They may include incarnations that it knows by their heartbeats only, and lack instances that
    /// started before them. So this instance's own entry does not show that the list contains all
    /// instances that started before this one.
    Peer,
    /// Another instance, which passed on a copy of the list exactly as it was read from the platform.
    PeerCopy,
}

/// Result of a probe, which tries to connect to the address of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The machine refused the connection: no process listens at the address.
    Refused,
    /// A connection was established. The probed process may be alive or paused, or may not have
    /// received a list that contains this instance yet.
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
        /// Time since this copy of the list was requested from the platform.
        age: time::SpanMs,
        /// Source of the copy.
        source: ListSource,
    },
    /// A heartbeat arrived.
    Heartbeat {
        /// Instance that sent the heartbeat.
        from: ids::InstanceId,
        /// Incarnation (start of the process) of the sender.
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
    /// The platform certainly did not mark the entry of an instance as fenced.
    ///
    /// The caller must not send this event if the outcome of [`Action::Fence`] is unknown.
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
    /// A planned stop of this instance has begun.
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
    /// Drop the connection to a neighbour and open a new one, because no heartbeats arrive from the
    /// neighbour, or because it does not confirm those of this instance.
    Reconnect {
        /// Neighbour to connect to.
        to: ids::InstanceId,
        /// Peer address of the neighbour.
        address: net::SocketAddr,
    },
    /// Try to connect to a silent neighbour, and report [`Event::Probed`].
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
    /// Delete an entry at the platform that was marked as fenced long ago, on condition that the entry
    /// is still marked and has this incarnation; the outcome need not be reported.
    RemoveFenceRecord {
        /// The fenced instance.
        instance: ids::InstanceId,
        /// The fenced incarnation.
        incarnation: ids::Incarnation,
    },
    /// Send the copy of the platform's list to a neighbour that may never have read one; it arrives
    /// there as [`Event::List`].
    PassList {
        /// Neighbour that receives the list.
        to: ids::InstanceId,
        /// Peer address of the neighbour.
        address: net::SocketAddr,
        /// List to send.
        list: PassedList,
    },
    /// Ask a neighbour for its list, which it answers with
    /// [`Membership::list_to_pass`](crate::view::Membership::list_to_pass).
    RequestList {
        /// Neighbour to ask.
        to: ids::InstanceId,
        /// Peer address of the neighbour.
        address: net::SocketAddr,
    },
    /// From now on, accept messages from these instances only.
    AllowPeers(Vec<ids::InstanceId>),
    /// The state of an instance changed.
    Changed {
        /// Instance whose state changed.
        instance: ids::InstanceId,
        /// New state; `None` if membership has no record of the instance any more.
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
