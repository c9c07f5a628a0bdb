//! Lists that instances pass on to each other, for one that can't read the platform's list.
//!
//! An instance that lost the platform before it read a list knows nobody, so that it can't ask. Its
//! neighbours (the instances with which it exchanges heartbeats) know it, and send it their copy of the
//! list. An instance that has a list which lacks itself asks a neighbour for a later one.
//!
//! A list that names an incarnation (start of the process) contains all instances that started before
//! it, because the platform writes one entry after the other. Only a copy as read from the platform has
//! this property. What an instance knows of others has it not: it may contain an incarnation that is
//! known by its heartbeats, and lack an instance that started earlier.

use damaskvane_core::{ids, time};

use crate::record::InstanceRecord;
use crate::view::event::{Action, ListSource};
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

/// Largest power of two by which the time between two attempts grows.
const MAX_DOUBLINGS: u32 = 5;

/// Attempts that are repeated less often the longer they have had no effect.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Attempts {
    count: u32,
    last_at: time::TimeMs,
}

impl Attempts {
    /// Returns whether an attempt is due; the first one is due `retry` after `from`.
    fn is_due(&self, now: time::TimeMs, from: time::TimeMs, retry: time::SpanMs) -> bool {
        let since = if self.count == 0 { from } else { self.last_at };
        let doublings = self.count.saturating_sub(1).min(MAX_DOUBLINGS);
        now.since(since).get() >= retry.get() << doublings
    }

    const fn record(&mut self, now: time::TimeMs) {
        self.count += 1;
        self.last_at = now;
    }
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
    /// Returns whether a list that an instance unknown to this one passes on can be of use: this
    /// instance has not found itself on a copy of the platform's list.
    #[must_use]
    pub const fn needs_passed_list(&self) -> bool {
        !self.is_listed && !self.is_fenced
    }

    /// Returns whether a list may be applied, apart from its age.
    ///
    /// What a peer knows serves only an instance without a list. A copy that names this instance was
    /// read later than any list that lacks it.
    pub(super) fn is_usable(&self, records: &[InstanceRecord], source: ListSource) -> bool {
        let own = &self.own;
        match source {
            ListSource::Platform => true,
            ListSource::Peer => self.list.is_none(),
            ListSource::PeerCopy => {
                let names_own = records.iter().any(|record| {
                    record.instance == own.instance && record.incarnation == own.incarnation
                });
                self.needs_passed_list() && (self.list.is_none() || names_own)
            }
        }
    }

    /// Passes the copy of the platform's list on to the neighbours on it from which no heartbeat has
    /// arrived: they may never have read a list.
    pub(super) fn pass_list_to_newcomers(&mut self, actions: &mut Vec<Action>) {
        let (now, retry) = (self.now, self.settings.retry_ms);
        let Some(copy) = self.platform_copy.as_ref().filter(|_| !self.is_fenced) else {
            return;
        };
        let newcomers = self.neighbours().filter(|member| {
            member.last_received.is_none()
                && member.list_passes.is_due(now, member.known_from, retry)
                && copy.names(&member.record.instance, member.incarnation)
        });
        let newcomers: Vec<ids::InstanceId> = newcomers
            .map(|member| member.record.instance.clone())
            .collect();
        let Some(list) = self.copy_to_pass().filter(|_| !newcomers.is_empty()) else {
            return;
        };
        for instance in newcomers {
            if let Some(member) = self.members.get_mut(&instance) {
                member.list_passes.record(now);
                actions.push(Action::PassList {
                    to: instance,
                    address: member.record.peer_address,
                    list: list.clone(),
                });
            }
        }
    }

    /// Requests a list from a neighbour, while this instance has only one that lacks it, and can't read
    /// a later one from the platform.
    pub(super) fn request_missing_list(&mut self, actions: &mut Vec<Action>) {
        let (now, retry) = (self.now, self.settings.retry_ms);
        let platform_age = self.platform_seen_at.map(|seen_at| now.since(seen_at));
        let is_missing = self.needs_passed_list() && !self.settings.reaches_platform(platform_age);
        let is_due = self
            .list
            .is_some_and(|(received_at, _)| self.list_requests.is_due(now, received_at, retry));
        if !is_missing || !is_due {
            return;
        }
        let known: Vec<&Member> = self
            .neighbours()
            .filter(|member| member.last_received.is_some())
            .collect();
        let Some(turn) = (self.list_requests.count as usize).checked_rem(known.len()) else {
            return;
        };
        actions.push(Action::RequestList {
            to: known[turn].record.instance.clone(),
            address: known[turn].record.peer_address,
        });
        self.list_requests.record(now);
    }

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
