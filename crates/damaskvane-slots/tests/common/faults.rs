//! Faults of single instances that scripted histories force: clocks that drift, delayed fences and lists from
//! neighbours.
//!
//! To fence an instance is to revoke its right to own servers, by a fence record on the platform's list.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time};
use damaskvane_membership::{record, view};

use super::{SimulatedZone, ms, setup, trace};

const PERMILLE: u64 = 1_000;

/// Delays of the fences that one instance requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FenceDelay {
    /// Time from the request until the platform writes the fence record.
    pub(crate) write_ms: u64,
    /// Time from the request until the instance learns the result; `None` if it never does.
    pub(crate) result_ms: Option<u64>,
}

/// A fence that was requested and whose record is not written, or whose result is not known to the instance.
#[derive(Debug)]
struct PendingFence {
    by: ids::InstanceId,
    incarnation: u64,
    instance: ids::InstanceId,
    fenced: ids::Incarnation,
    goes_on_alone: bool,
    write_at: time::TimeMs,
    result_at: Option<time::TimeMs>,
    is_written: Option<bool>,
}

/// Faults of single instances.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Rate of an instance's clock, in thousandths of the zone's time.
    pub(crate) clock_permille: BTreeMap<ids::InstanceId, u64>,
    pub(crate) fence_delays: BTreeMap<ids::InstanceId, FenceDelay>,
    /// Instances that request the list from each instance they reach, while they have none.
    pub(crate) seeds: BTreeMap<ids::InstanceId, Vec<ids::InstanceId>>,
    /// Instances that read the platform's list but can't write their entry.
    pub(crate) unregistered: BTreeSet<ids::InstanceId>,
    /// Whether an instance requests lists from its seeds although it has one.
    pub(crate) accepts_later_lists: bool,
    pending_fences: Vec<PendingFence>,
}

impl SimulatedZone {
    /// Returns the time on the clock of an instance.
    pub(super) fn local_time(&self, name: &ids::InstanceId) -> time::TimeMs {
        let rate = self.faults.clock_permille.get(name);
        let rate = rate.copied().unwrap_or(PERMILLE);
        time::TimeMs::new(self.now.get() * rate / PERMILLE)
    }

    /// Keeps a fence until its delays are over; returns whether the instance has such delays.
    pub(super) fn delay_fence(
        &mut self,
        by: &ids::InstanceId,
        instance: &ids::InstanceId,
        fenced: ids::Incarnation,
        goes_on_alone: bool,
    ) -> bool {
        let (Some(delay), Some(requester)) =
            (self.faults.fence_delays.get(by), self.instances.get(by))
        else {
            return false;
        };
        let pending = PendingFence {
            by: by.clone(),
            incarnation: requester.incarnation,
            instance: instance.clone(),
            fenced,
            goes_on_alone,
            write_at: self.now + ms(delay.write_ms),
            result_at: delay.result_ms.map(|result_ms| self.now + ms(result_ms)),
            is_written: None,
        };
        self.faults.pending_fences.push(pending);
        true
    }

    /// Writes the delayed fence records that are due, and reports the results that are due.
    pub(super) fn run_pending_fences(&mut self) {
        for mut fence in core::mem::take(&mut self.faults.pending_fences) {
            if fence.is_written.is_none() && fence.write_at <= self.now {
                let written = self.write_fence(
                    &fence.by,
                    &fence.instance,
                    fence.fenced,
                    fence.goes_on_alone,
                );
                fence.is_written = Some(written);
            }
            let is_known = fence.result_at.is_some_and(|at| at <= self.now);
            let is_same = self.instances.get(&fence.by).is_some_and(|requester| {
                requester.incarnation == fence.incarnation && requester.paused_until <= self.now
            });
            match fence.is_written {
                Some(is_written) if is_known && is_same => {
                    let (instance, incarnation) = (fence.instance, fence.fenced);
                    let event = if is_written {
                        view::Event::Fenced {
                            instance,
                            incarnation,
                        }
                    } else {
                        view::Event::FenceFailed { instance }
                    };
                    self.membership(&fence.by, event);
                }
                _ => self.faults.pending_fences.push(fence),
            }
        }
    }

    /// Writes a fence record if the platform has an entry of that incarnation, and returns whether it did.
    pub(super) fn write_fence(
        &mut self,
        by: &ids::InstanceId,
        instance: &ids::InstanceId,
        incarnation: ids::Incarnation,
        goes_on_alone: bool,
    ) -> bool {
        let is_same = self
            .list
            .get(instance)
            .is_some_and(|entry| entry.incarnation == incarnation);
        if !is_same {
            return false;
        }
        if self.deletes_fenced_entries {
            self.list.remove(instance);
        } else if let Some(entry) = self.list.get_mut(instance) {
            entry.fenced = true;
            entry.goes_on_alone |= goes_on_alone;
        }
        let fenced = trace::TraceEvent::Fenced {
            by: by.clone(),
            instance: instance.clone(),
            incarnation,
        };
        self.trace.record_event(self.now, fenced);
        true
    }

    /// Passes the list of the first seed that has one to an instance that has none.
    pub(super) fn read_list_from_seeds(&mut self, name: &ids::InstanceId) {
        let has_list = self.has_list(name) && !self.faults.accepts_later_lists;
        let seeds = self.faults.seeds.get(name).cloned().unwrap_or_default();
        if has_list || seeds.is_empty() {
            return;
        }
        let lists = seeds.iter().filter(|seed| !self.is_cut_between(name, seed));
        let list = lists.filter_map(|seed| self.list_for_peers(seed)).next();
        if let Some((records, age)) = list {
            let source = view::ListSource::Peer;
            let event = view::Event::List {
                records,
                age,
                source,
            };
            self.membership(name, event);
        }
    }

    fn has_list(&self, name: &ids::InstanceId) -> bool {
        let instance = self.instances.get(name);
        instance.is_some_and(|instance| instance.membership.list_age().is_some())
    }

    fn is_cut_between(&self, a: &ids::InstanceId, b: &ids::InstanceId) -> bool {
        let cuts = &self.cuts;
        cuts.contains(&(a.clone(), b.clone())) || cuts.contains(&(b.clone(), a.clone()))
    }

    /// Returns the list that an instance passes to one that starts: the members as it knows them, and itself.
    pub(crate) fn list_for_peers(
        &self,
        name: &ids::InstanceId,
    ) -> Option<(Vec<record::InstanceRecord>, time::SpanMs)> {
        let instance = self.instances.get(name)?;
        let age = instance.membership.list_age()?;
        let members = instance.membership.instances();
        let mut records: Vec<record::InstanceRecord> = members
            .map(|member| record::InstanceRecord {
                incarnation: member.incarnation,
                ..member.record.clone()
            })
            .collect();
        records.push(setup::record(name, instance.incarnation));
        Some((records, age))
    }
}
