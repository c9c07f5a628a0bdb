//! Application of copies of the platform's list of instances, which lag behind the platform.
//!
//! A fence record is an entry that another instance has marked to revoke the right of one incarnation
//! (start of the process) to own backend servers. A gone member is proven to have stopped or to be
//! fenced.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::record::InstanceRecord;
use crate::state::{GoneProof, InstanceState};
use crate::view::event::{Action, ListSource};
use crate::view::member::Member;
use crate::view::membership::Membership;
use crate::view::passing::PlatformCopy;

impl Membership {
    pub(super) fn apply_list(
        &mut self,
        records: Vec<InstanceRecord>,
        age: time::SpanMs,
        source: ListSource,
        actions: &mut Vec<Action>,
    ) {
        if self.list_age().is_some_and(|held| held < age) {
            // A copy that was read earlier but arrived later would bring back instances that have left.
            self.counters.old_lists += 1;
            return;
        }
        if !self.is_usable(&records, source) {
            return;
        }
        self.list = Some((self.now, age));
        let made_at = time::TimeMs::new(self.now.get().saturating_sub(age.get()));
        self.platform_copy = (source != ListSource::Peer).then(|| PlatformCopy {
            records: records.clone(),
            made_at,
        });
        let (fence_records, records): (Vec<InstanceRecord>, Vec<InstanceRecord>) =
            records.into_iter().partition(|record| record.fenced);
        let mut listed: BTreeMap<ids::InstanceId, InstanceRecord> = records
            .into_iter()
            .map(|record| (record.instance.clone(), record))
            .collect();
        let own = listed.remove(&self.own.instance);
        if self.is_own_fence_record(&fence_records) {
            self.fence_own(actions);
        }
        let was_listed = self.is_listed && source == ListSource::Platform;
        self.apply_own_record(own, source, made_at, actions);
        self.record_delisted(&listed);
        let listed_at = Some(made_at).filter(|_| source == ListSource::Platform);
        for (instance, record) in listed {
            self.apply_record(instance, record, listed_at, was_listed);
        }
        self.apply_fence_records(fence_records, source);
        self.plan_neighbours();
        self.allow_peers(actions);
    }

    /// Returns whether one of the fence records is that of this incarnation, or of a later one.
    ///
    /// An instance that was fenced before it read its first list was never listed for itself, so that a
    /// missing entry does not show it the fence.
    fn is_own_fence_record(&self, fence_records: &[InstanceRecord]) -> bool {
        fence_records.iter().any(|record| {
            record.instance == self.own.instance && record.incarnation >= self.own.incarnation
        })
    }

    /// Applies this instance's entry, which shows whether this instance was fenced.
    ///
    /// This instance was fenced if its entry was listed before and is now missing or marked as fenced,
    /// or if its entry has a later incarnation.
    fn apply_own_record(
        &mut self,
        own: Option<InstanceRecord>,
        source: ListSource,
        made_at: time::TimeMs,
        actions: &mut Vec<Action>,
    ) {
        let is_replaced = own
            .as_ref()
            .is_some_and(|record| record.incarnation > self.own.incarnation);
        let is_current = own
            .as_ref()
            .is_some_and(|record| record.incarnation == self.own.incarnation);
        let is_dropped = self.is_listed && own.is_none();
        if is_replaced || is_dropped {
            self.fence_own(actions);
        }
        self.is_listed |= is_current && source != ListSource::Peer;
        if own.is_some() {
            self.own_record = own;
        }
        if source == ListSource::Platform {
            self.platform_seen_at = Some(made_at);
            self.needs_list_from = self.needs_list_from.filter(|until| made_at < *until);
            self.lost_neighbour = self
                .lost_neighbour
                .filter(|lost| made_at < lost.needs_list_from);
        }
    }

    fn record_delisted(&mut self, listed: &BTreeMap<ids::InstanceId, InstanceRecord>) {
        let now = self.now;
        for (instance, member) in &mut self.members {
            if listed.contains_key(instance) {
                member.delisted_at = None;
            } else if member.delisted_at.is_none() {
                member.delisted_at = Some(now);
            }
        }
    }

    /// Records the incarnations in fence records, including those that this instance did not know
    /// before.
    ///
    /// A fenced incarnation may act as an owner until its authority (right to do so) expires. Without
    /// its fence record, an instance that restarts and finds no other instance would own at once the
    /// backend servers whose slots the fenced incarnation still grants.
    fn apply_fence_records(&mut self, fence_records: Vec<InstanceRecord>, source: ListSource) {
        let fence_records: BTreeMap<ids::InstanceId, InstanceRecord> = fence_records
            .into_iter()
            .filter(|record| record.instance != self.own.instance)
            .map(|record| (record.instance.clone(), record))
            .collect();
        for (instance, member) in &mut self.members {
            let fence_record = fence_records.get(instance);
            if fence_record.is_none_or(|record| record.incarnation < member.incarnation) {
                member.fence_record_since = None;
                member.is_fenced_at_platform = false;
            }
        }
        for record in fence_records.into_values() {
            self.apply_fence_record(record, source);
        }
    }

    fn apply_fence_record(&mut self, record: InstanceRecord, source: ListSource) {
        let now = self.now;
        let (instance, incarnation) = (record.instance.clone(), record.incarnation);
        let known = self.members.get(&instance).map(|member| member.incarnation);
        if known > Some(incarnation) {
            return;
        }
        let is_new = known < Some(incarnation);
        let goes_on_alone = record.goes_on_alone;
        let member = self
            .members
            .entry(instance.clone())
            .or_insert_with(|| Member::new(record.clone(), now));
        if is_new {
            member.reset_for_incarnation(incarnation, now);
            member.delisted_at = Some(now);
            member.record = record;
        }
        member.fence_record_since.get_or_insert(now);
        member.is_fenced_at_platform |= source == ListSource::Platform;
        member.fence_record_goes_on_alone |= goes_on_alone;
        // If the incarnation was known before its fence record, it is handled like any that left the
        // list.
        if is_new {
            self.record_gone(&instance, incarnation, GoneProof::Delisted);
        }
    }

    /// Requests to delete fence records that are so old that the fenced incarnations have stopped.
    pub(super) fn remove_old_fence_records(&mut self, actions: &mut Vec<Action>) {
        let (now, retry) = (self.now, self.settings.fence_record_retry_ms);
        if !self.has_lowest_id_in_zone() || !self.is_list_fresh() {
            return;
        }
        // Just before the incarnation was fenced, it may have read a list of the maximum age.
        let lag = self.settings.list_lag_ms;
        let old = self.members.iter().filter(|(_, member)| {
            let is_old = member
                .fence_record_since
                .is_some_and(|since| since + self.max_authority(member) + lag <= now);
            is_old && now.since(member.retried_at) >= retry
        });
        let old: Vec<ids::InstanceId> = old.map(|(instance, _)| instance.clone()).collect();
        for instance in old {
            if let Some(member) = self.members.get_mut(&instance) {
                member.retried_at = now;
                actions.push(Action::RemoveFenceRecord {
                    instance,
                    incarnation: member.incarnation,
                });
            }
        }
    }

    /// Returns whether this instance has the lowest id in its zone.
    ///
    /// Only that instance deletes fence records, so that not all instances of the zone call the platform
    /// for the same entry.
    fn has_lowest_id_in_zone(&self) -> bool {
        let mut others = self
            .members
            .values()
            .filter(|member| member.record.zone == self.own.zone && !member.is_gone());
        others.all(|member| self.own.instance < member.record.instance)
    }

    fn apply_record(
        &mut self,
        instance: ids::InstanceId,
        record: InstanceRecord,
        listed_at: Option<time::TimeMs>,
        is_after_own: bool,
    ) {
        let now = self.now;
        let known = self.members.get(&instance).map(|member| member.incarnation);
        let member = self
            .members
            .entry(instance)
            .or_insert_with(|| Member::new(record.clone(), now));
        if record.incarnation < member.incarnation {
            return;
        }
        if record.incarnation > member.incarnation {
            member.reset_for_incarnation(record.incarnation, now);
        }
        if known < Some(record.incarnation) {
            member.was_listed_after_own = is_after_own;
        }
        member.revoke_delisting();
        member.leaving |= record.leaving;
        member.listed_at = listed_at.or(member.listed_at);
        member.record = record;
    }

    /// Removes gone members that have been missing from the list for `delisted_grace_ms`, and records
    /// other members as gone that have been missing for that time, are missing and count as dead, or have
    /// a fence record and can't read it.
    ///
    /// A fenced member that can't read the list may send heartbeats for as long as it runs. One that reads
    /// it is started again soon.
    pub(super) fn forget_delisted(&mut self, actions: &mut Vec<Action>) {
        let grace = self.settings.delisted_grace_ms;
        let mut proven = Vec::new();
        let mut forgotten = Vec::new();
        for (instance, member) in &self.members {
            let Some(delisted_at) = member.delisted_at else {
                continue;
            };
            let is_over = self.now.since(delisted_at) >= grace && self.is_list_fresh();
            // The list may have dropped an earlier incarnation, and not contain a later one yet that
            // sends heartbeats.
            let was_listed = member.record.incarnation == member.incarnation;
            let is_fenced_unaware =
                member.is_fenced_at_platform && !member.could_fence(&self.settings);
            let is_silent = was_listed && self.state_of(member) == InstanceState::Dead;
            if member
                .gone
                .is_some_and(|gone| is_over && gone.from <= self.now)
                && member.fence_record_since.is_none()
            {
                forgotten.push(instance.clone());
            } else if is_over || is_silent || is_fenced_unaware {
                proven.push((instance.clone(), member.incarnation));
            }
        }
        for (instance, incarnation) in proven {
            self.record_gone(&instance, incarnation, GoneProof::Delisted);
        }
        if forgotten.is_empty() {
            return;
        }
        for instance in forgotten {
            self.members.remove(&instance);
            actions.push(Action::Changed {
                instance,
                state: None,
            });
        }
        self.allow_peers(actions);
    }

    fn is_list_fresh(&self) -> bool {
        self.list_age()
            .is_some_and(|age| age < self.settings.list_lag_ms)
    }

    fn allow_peers(&self, actions: &mut Vec<Action>) {
        let allowed = self.members.keys().cloned().collect();
        actions.push(Action::AllowPeers(allowed));
    }
}
