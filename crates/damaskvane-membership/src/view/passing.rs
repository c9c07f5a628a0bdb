//! Lists that instances pass on to each other, for one that can't read the platform's list.
//!
//! A list that names an incarnation (start of the process) contains all instances that started before
//! it, because the platform writes one entry after the other. Only a copy as read from the platform has
//! this property. What an instance knows of others has it not: it may contain an incarnation that is
//! known by its heartbeats, and lack an instance that started earlier.

use damaskvane_core::{ids, time};

use crate::record::InstanceRecord;
use crate::view::event::ListSource;
use crate::view::member::Member;
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

/// A copy of the list exactly as it was read from the platform, by this instance or by another.
#[derive(Debug)]
pub(super) struct PlatformCopy {
    pub(super) records: Vec<InstanceRecord>,
    pub(super) made_at: time::TimeMs,
}

impl PlatformCopy {
    /// Returns whether the copy has the entry of this incarnation, and the entry is not marked as fenced.
    pub(super) fn names(&self, instance: &ids::InstanceId, incarnation: ids::Incarnation) -> bool {
        self.records.iter().any(|record| {
            record.instance == *instance && record.incarnation == incarnation && !record.fenced
        })
    }
}

impl Membership {
    /// Returns the list that this instance answers a request for one with, or `None` if it has none.
    ///
    /// The list lacks this instance unless its source is [`ListSource::PeerCopy`].
    #[must_use]
    pub fn list_to_pass(&self) -> Option<PassedList> {
        self.copy_to_pass().or_else(|| {
            Some(PassedList {
                age: self.list_age()?,
                records: self.members.values().map(Member::known_record).collect(),
                source: ListSource::Peer,
            })
        })
    }

    /// Returns the copy of the platform's list, unless it lacks this instance: the receiver would then
    /// not know the instance from which it got the list.
    fn copy_to_pass(&self) -> Option<PassedList> {
        let copy = self.platform_copy.as_ref()?;
        let names_own = copy.names(&self.own.instance, self.own.incarnation);
        names_own.then(|| PassedList {
            records: copy.records.clone(),
            age: self.now.since(copy.made_at),
            source: ListSource::PeerCopy,
        })
    }
}
