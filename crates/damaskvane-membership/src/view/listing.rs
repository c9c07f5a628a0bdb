//! What the platform's lagging list changes.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::record::InstanceRecord;
use crate::state::{GoneProof, InstanceState};
use crate::view::event::{Action, ListSource};
use crate::view::member::Member;
use crate::view::membership::Membership;

impl Membership {
    pub(super) fn take_list(
        &mut self,
        records: Vec<InstanceRecord>,
        age: time::SpanMs,
        source: ListSource,
        actions: &mut Vec<Action>,
    ) {
        if self.list_age().is_some_and(|held| held < age) {
            // A copy that was read earlier but came later would bring back who has left.
            self.counters.old_lists += 1;
            return;
        }
        self.list = Some((self.now, age));
        let made_at = time::TimeMs::new(self.now.get().saturating_sub(age.get()));
        let (marked, records): (Vec<InstanceRecord>, Vec<InstanceRecord>) =
            records.into_iter().partition(|record| record.fenced);
        let mut listed: BTreeMap<ids::InstanceId, InstanceRecord> = records
            .into_iter()
            .map(|record| (record.instance.clone(), record))
            .collect();
        let own = listed.remove(&self.own.instance);
        self.take_own_record(own, source, made_at, actions);
        self.mark_delisted(&listed);
        for (instance, record) in listed {
            self.take_record(instance, record);
        }
        self.take_marks(marked);
        self.plan_neighbours();
        self.allow(actions);
    }

    /// An entry that is missing or marked shows that this instance was fenced.
    fn take_own_record(
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
        self.is_listed |= is_current;
        if own.is_some() {
            self.own_record = own;
        }
        if source == ListSource::Platform {
            self.platform_seen_at = Some(made_at);
            self.doubts_until = self.doubts_until.filter(|until| made_at < *until);
            self.left_alone = self.left_alone.filter(|left| made_at < left.until_list_of);
        }
    }

    fn mark_delisted(&mut self, listed: &BTreeMap<ids::InstanceId, InstanceRecord>) {
        let now = self.now;
        for (instance, member) in &mut self.members {
            if listed.contains_key(instance) {
                member.delisted_at = None;
            } else if member.delisted_at.is_none() {
                member.delisted_at = Some(now);
            }
        }
    }

    /// Learns of starts that others fenced before this one could know them.
    ///
    /// Such a start may go on with what it owns until its authority lapses. Without this, one that starts
    /// anew and finds itself alone would own at once what the other still lends.
    fn take_marks(&mut self, marked: Vec<InstanceRecord>) {
        let marked: BTreeMap<ids::InstanceId, InstanceRecord> = marked
            .into_iter()
            .filter(|record| record.instance != self.own.instance)
            .map(|record| (record.instance.clone(), record))
            .collect();
        for (instance, member) in &mut self.members {
            let mark = marked.get(instance);
            if mark.is_none_or(|mark| mark.incarnation < member.incarnation) {
                member.marked_at = None;
            }
        }
        for record in marked.into_values() {
            self.take_mark(record);
        }
    }

    fn take_mark(&mut self, record: InstanceRecord) {
        let now = self.now;
        let (instance, incarnation) = (record.instance.clone(), record.incarnation);
        let known = self.members.get(&instance).map(|member| member.incarnation);
        if known > Some(incarnation) {
            return;
        }
        let is_news = known < Some(incarnation);
        let goes_on_alone = record.goes_on_alone;
        let member = self
            .members
            .entry(instance.clone())
            .or_insert_with(|| Member::new(record.clone(), now));
        if is_news {
            member.start_anew(incarnation, now);
            member.delisted_at = Some(now);
            member.record = record;
        }
        member.marked_at.get_or_insert(now);
        member.marked_alone |= goes_on_alone;
        // One that was known while it was listed is judged as any that left the list.
        if is_news {
            self.prove_gone(&instance, incarnation, GoneProof::Delisted);
        }
    }

    /// Asks to delete entries that were marked so long ago that whoever they name has stopped.
    pub(super) fn unmark_old(&mut self, actions: &mut Vec<Action>) {
        // The start that was fenced may have read a list that was as old as lists get just before.
        let (now, retry) = (self.now, self.settings.unmark_retry_ms);
        if !self.is_first_of_zone() || !self.is_list_fresh() {
            return;
        }
        let lag = self.settings.list_lag_ms;
        let old = self.members.iter().filter(|(_, member)| {
            let is_old = member
                .marked_at
                .is_some_and(|marked_at| marked_at + self.acts_on_for(member) + lag <= now);
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

    /// One of a zone cleans up, so that not all of them call the platform for the same entry.
    fn is_first_of_zone(&self) -> bool {
        let mut others = self
            .members
            .values()
            .filter(|member| member.record.zone == self.own.zone && !member.is_gone());
        others.all(|member| self.own.instance < member.record.instance)
    }

    fn take_record(&mut self, instance: ids::InstanceId, record: InstanceRecord) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&instance) else {
            self.members.insert(instance, Member::new(record, now));
            return;
        };
        if record.incarnation < member.incarnation {
            return;
        }
        if record.incarnation > member.incarnation {
            member.start_anew(record.incarnation, now);
        }
        member.leaving |= record.leaving;
        member.record = record;
    }

    /// Drops whom the list has not named for the grace, and takes the list as proof against the silent.
    pub(super) fn forget_delisted(&mut self, actions: &mut Vec<Action>) {
        let grace = self.settings.delisted_grace_ms;
        let mut proven = Vec::new();
        let mut forgotten = Vec::new();
        for (instance, member) in &self.members {
            let Some(delisted_at) = member.delisted_at else {
                continue;
            };
            let is_over = self.now.since(delisted_at) >= grace && self.is_list_fresh();
            // The list may have dropped an earlier start, and lag behind a later one that is heard.
            let was_listed = member.record.incarnation == member.incarnation;
            let is_silent = was_listed && self.state_of(member) == InstanceState::Dead;
            if member
                .gone
                .is_some_and(|gone| is_over && gone.from <= self.now)
                && member.marked_at.is_none()
            {
                forgotten.push(instance.clone());
            } else if is_over || is_silent {
                proven.push((instance.clone(), member.incarnation));
            }
        }
        for (instance, incarnation) in proven {
            self.prove_gone(&instance, incarnation, GoneProof::Delisted);
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
        self.allow(actions);
    }

    fn is_list_fresh(&self) -> bool {
        self.list_age()
            .is_some_and(|age| age < self.settings.list_lag_ms)
    }

    fn allow(&self, actions: &mut Vec<Action>) {
        let allowed = self.members.keys().cloned().collect();
        actions.push(Action::AllowPeers(allowed));
    }
}
