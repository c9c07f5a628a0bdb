//! How each instance stands, for look-up answers and status.

use damaskvane_core::{ids, time};

use crate::heartbeat::LoadSummary;
use crate::record::InstanceRecord;
use crate::state::InstanceState;
use crate::view::membership::Membership;

/// How one instance stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceView<'a> {
    /// What the list says.
    pub record: &'a InstanceRecord,
    /// Its latest start, which the list may lag behind.
    pub incarnation: ids::Incarnation,
    /// Its state.
    pub state: InstanceState,
    /// The time since it was heard; nothing if it is heard by list only.
    pub heartbeat_age: Option<time::SpanMs>,
    /// The configuration in force there, as it last said.
    pub config_version: Option<ids::ConfigVersion>,
    /// Its load, as it last said.
    pub load: Option<LoadSummary>,
}

impl Membership {
    /// All other instances that are known, in order of their names.
    pub fn instances(&self) -> impl Iterator<Item = InstanceView<'_>> {
        self.members.values().map(|member| {
            let heard = member.heard.as_ref();
            InstanceView {
                record: &member.record,
                incarnation: member.incarnation,
                state: self.state_of(member),
                heartbeat_age: heard.map(|heard| self.now.since(heard.at)),
                config_version: heard.map(|heard| heard.heartbeat.config_version),
                load: heard.map(|heard| heard.heartbeat.load),
            }
        })
    }

    /// The own entry as the list has it.
    #[must_use]
    pub const fn own_record(&self) -> Option<&InstanceRecord> {
        self.own_record.as_ref()
    }

    /// The age of the list in use.
    #[must_use]
    pub fn list_age(&self) -> Option<time::SpanMs> {
        self.list.map(|(taken_at, age)| {
            let held_ms = self.now.since(taken_at).get();
            time::SpanMs::new(age.get().saturating_add(held_ms))
        })
    }
}
