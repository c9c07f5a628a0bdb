//! State of each instance, for lookup responses (which name instances to clients) and the status page.

use damaskvane_core::{ids, time};

use crate::heartbeat::LoadSummary;
use crate::record::InstanceRecord;
use crate::state::InstanceState;
use crate::view::membership::Membership;

/// State of one other instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceView<'a> {
    /// Entry of the instance in the platform's list.
    pub record: &'a InstanceRecord,
    /// Latest known incarnation (start of the process); the list may lag behind and have an earlier
    /// one.
    pub incarnation: ids::Incarnation,
    /// State of the instance by its heartbeats and the list.
    pub state: InstanceState,
    /// Time since its last heartbeat; `None` if no heartbeat was received.
    pub heartbeat_age: Option<time::SpanMs>,
    /// Version of the configuration in effect at the instance, as of its last heartbeat.
    pub config_version: Option<ids::ConfigVersion>,
    /// Load of the instance, as of its last heartbeat.
    pub load: Option<LoadSummary>,
}

impl Membership {
    /// Returns all other known instances, in order of their ids.
    pub fn instances(&self) -> impl Iterator<Item = InstanceView<'_>> {
        self.members.values().map(|member| {
            let received = member.last_received.as_ref();
            InstanceView {
                record: &member.record,
                incarnation: member.incarnation,
                state: self.state_of(member),
                heartbeat_age: received.map(|received| self.now.since(received.at)),
                config_version: received.map(|received| received.heartbeat.config_version),
                load: received.map(|received| received.heartbeat.load),
            }
        })
    }

    /// Returns this instance's latest entry in the list, or `None` if it was never listed.
    #[must_use]
    pub const fn own_record(&self) -> Option<&InstanceRecord> {
        self.own_record.as_ref()
    }

    /// Returns the time since the copy of the platform's list in use was requested, or `None` before
    /// the first copy.
    #[must_use]
    pub fn list_age(&self) -> Option<time::SpanMs> {
        self.list.map(|(received_at, age)| {
            let held_ms = self.now.since(received_at).get();
            time::SpanMs::new(age.get().saturating_add(held_ms))
        })
    }
}
