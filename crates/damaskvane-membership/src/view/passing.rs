//! Lists that instances pass on to each other, for one that can't read the platform's list.
//!
//! A list that names an incarnation (start of the process) contains all instances that started before
//! it, because the platform writes one entry after the other. Only a copy as read from the platform has
//! this property. What an instance knows of others has it not: it may contain an incarnation that is
//! known by its heartbeats, and lack an instance that started earlier.

use damaskvane_core::time;

use crate::record::InstanceRecord;
use crate::view::event::ListSource;
use crate::view::membership::Membership;

/// A list to pass on to another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PassedList {
    /// Entries of the list.
    pub records: Vec<InstanceRecord>,
    /// Time since the list was requested from the platform.
    pub age: time::SpanMs,
    /// Source that the list has for the receiver.
    pub source: ListSource,
}

impl Membership {
    /// Returns the list that this instance answers a request for one with, or `None` if it has none.
    ///
    /// The list lacks this instance unless its source is [`ListSource::PeerCopy`].
    #[must_use]
    pub fn list_to_pass(&self) -> Option<PassedList> {
        let records = self.members.values().map(|member| InstanceRecord {
            incarnation: member.incarnation,
            ..member.record.clone()
        });
        Some(PassedList {
            age: self.list_age()?,
            records: records.collect(),
            source: ListSource::Peer,
        })
    }
}
