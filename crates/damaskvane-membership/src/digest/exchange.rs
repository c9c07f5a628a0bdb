//! Digest exchange of one instance.
//!
//! A digest is a report on one zone, which the zone's aggregator (its first instance by rank) creates.
//! The instances of a zone form a tree: the aggregator is the root, and each instance forwards to its
//! children.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time};

use crate::digest::message::{Digest, DigestBundle};
use crate::digest::settings::DigestSettings;
use crate::digest::table::{DigestTable, DigestView, InsertOutcome};
use crate::digest::topology::{Topology, ZoneContacts};

/// A bundle of digests to send to one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DigestSend<D> {
    /// Instance that receives the bundle.
    pub to: ids::InstanceId,
    /// Digests to send.
    pub bundle: DigestBundle<D>,
}

/// Stores the latest digest of each zone and forwards digests to other instances.
#[derive(Debug)]
pub struct DigestExchange<D> {
    settings: DigestSettings,
    table: DigestTable<D>,
    /// Zones of other regions whose new digests this instance has to send to the other zones of its
    /// region.
    imported: BTreeSet<ids::AvailabilityZoneId>,
    /// Zones whose new digests this instance has to send to its children in the tree of its zone.
    pending_for_children: BTreeSet<ids::AvailabilityZoneId>,
    next_region_at: time::TimeMs,
    next_inter_region_at: time::TimeMs,
    round: usize,
}

impl<D: Clone> DigestExchange<D> {
    /// Creates an exchange that has no digests yet.
    #[must_use]
    pub const fn new(settings: DigestSettings) -> Self {
        Self {
            table: DigestTable::new(settings.forget_ms),
            settings,
            imported: BTreeSet::new(),
            pending_for_children: BTreeSet::new(),
            next_region_at: time::TimeMs::ZERO,
            next_inter_region_at: time::TimeMs::ZERO,
            round: 0,
        }
    }

    /// Returns the latest digest of every zone, with its age at `now`.
    pub fn digests(&self, now: time::TimeMs) -> impl Iterator<Item = DigestView<'_, D>> {
        self.table.views(now)
    }

    /// Sets the time between two bundles to other regions, which the caller derives from the fleet's
    /// size.
    pub const fn set_inter_region_period(&mut self, period: time::SpanMs) {
        self.settings.inter_region_period_ms = period;
    }

    /// Returns whether this instance has to create a new digest of the local zone: it is the
    /// aggregator, and `region_period_ms` has passed since the last digest.
    #[must_use]
    pub fn is_due(&self, now: time::TimeMs, topology: &Topology) -> bool {
        topology.is_aggregator() && now >= self.next_region_at
    }

    /// Stores a new digest of the local zone with the content `body`, and returns the bundles to send.
    ///
    /// The caller calls this function when [`Self::is_due`] returns true.
    pub fn publish(
        &mut self,
        now: time::TimeMs,
        topology: &Topology,
        body: D,
    ) -> Vec<DigestSend<D>> {
        self.next_region_at = now + self.settings.region_period_ms;
        self.round += 1;
        let digest = Digest {
            zone: topology.own_zone.clone(),
            author: topology.own.clone(),
            sequence: self.table.next_sequence(&topology.own_zone),
            age: time::SpanMs::ZERO,
            body,
        };
        self.table.insert(digest.clone(), now);
        self.pending_for_children.insert(topology.own_zone.clone());
        let pending_for_children = core::mem::take(&mut self.pending_for_children);
        let newer: Vec<Digest<D>> = pending_for_children
            .iter()
            .filter_map(|zone| self.table.copy(zone, now))
            .collect();
        let mut sends = self.sends_to_children(topology, &newer);
        sends.extend(self.sends_to_region(now, topology, &digest));
        if now >= self.next_inter_region_at {
            self.next_inter_region_at = now + self.settings.inter_region_period_ms;
            sends.extend(self.sends_to_other_regions(now, topology));
        }
        sends
    }

    /// Stores those digests of a received bundle that are newer than the stored ones, and returns the
    /// bundles to send: the newer digests to further instances, and later ones to an author of outdated
    /// digests.
    pub fn receive(
        &mut self,
        now: time::TimeMs,
        topology: &Topology,
        from: &ids::InstanceId,
        bundle: DigestBundle<D>,
    ) -> Vec<DigestSend<D>> {
        let mut newer = Vec::new();
        let mut replies = Vec::new();
        for digest in bundle.0 {
            let zone = digest.zone.clone();
            let is_author = digest.author == *from;
            match self.table.insert(digest.clone(), now) {
                InsertOutcome::Stored => newer.push(digest),
                InsertOutcome::Outdated if is_author => replies.extend(self.table.copy(&zone, now)),
                InsertOutcome::Duplicate | InsertOutcome::Outdated => {}
            }
        }
        let mut sends = self.forward(topology, from, &newer);
        if !replies.is_empty() {
            // A new aggregator may start with too low a sequence number, and continues from the higher
            // one that this bundle carries. Otherwise this instance would store no new digest of that
            // zone until the stored digest is `forget_ms` old.
            let bundle = DigestBundle(replies);
            sends.push(DigestSend {
                to: from.clone(),
                bundle,
            });
        }
        sends
    }

    fn forward(
        &mut self,
        topology: &Topology,
        from: &ids::InstanceId,
        newer: &[Digest<D>],
    ) -> Vec<DigestSend<D>> {
        if newer.is_empty() {
            return Vec::new();
        }
        let is_from_other_zone = !topology.is_own_zone(from);
        if is_from_other_zone && !topology.is_aggregator() {
            let aggregator = topology.aggregator().cloned();
            return aggregator
                .map(|to| digest_send(to, newer.to_vec()))
                .into_iter()
                .collect();
        }
        if !topology.is_own_region(from) || !is_from_other_zone {
            self.record_imported(topology, newer);
        }
        if topology.is_aggregator() {
            // The digests are sent with the next `publish`: one message a period to each child costs a
            // fraction of one message to each child for every received bundle.
            let zones = newer.iter().map(|digest| digest.zone.clone());
            self.pending_for_children.extend(zones);
            return Vec::new();
        }
        self.sends_to_children(topology, newer)
    }

    fn record_imported(&mut self, topology: &Topology, newer: &[Digest<D>]) {
        if !topology.is_aggregator() {
            return;
        }
        let own = topology.own_region();
        let foreign = newer
            .iter()
            .map(|digest| &digest.zone)
            .filter(|zone| topology.region(zone) != own);
        self.imported.extend(foreign.cloned());
    }

    fn sends_to_children(&self, topology: &Topology, newer: &[Digest<D>]) -> Vec<DigestSend<D>> {
        topology
            .children(self.settings.fan_out)
            .map(|child| digest_send(child.clone(), newer.to_vec()))
            .collect()
    }

    fn sends_to_region(
        &mut self,
        now: time::TimeMs,
        topology: &Topology,
        own: &Digest<D>,
    ) -> Vec<DigestSend<D>> {
        let imported = core::mem::take(&mut self.imported);
        let imported = imported
            .iter()
            .filter_map(|zone| self.table.copy(zone, now));
        let digests: Vec<Digest<D>> = core::iter::once(own.clone()).chain(imported).collect();
        topology
            .zones_of_own_region()
            .filter(|(zone, _)| **zone != topology.own_zone)
            .filter_map(|(zone, contacts)| self.recipient(now, zone, contacts))
            .map(|to| digest_send(to, digests.clone()))
            .collect()
    }

    /// Returns the bundles with the region's digests to each other region, if the local zone is the
    /// first one of the region, by id, that has a fresh digest.
    fn sends_to_other_regions(&self, now: time::TimeMs, topology: &Topology) -> Vec<DigestSend<D>> {
        let fresh: Vec<&ids::AvailabilityZoneId> = topology
            .zones_of_own_region()
            .map(|(zone, _)| zone)
            .filter(|zone| self.is_fresh(now, zone))
            .collect();
        if fresh.first() != Some(&&topology.own_zone) {
            return Vec::new();
        }
        let digests: Vec<Digest<D>> = fresh
            .into_iter()
            .filter_map(|zone| self.table.copy(zone, now))
            .collect();
        self.recipients_in_other_regions(now, topology)
            .into_values()
            .map(|to| digest_send(to, digests.clone()))
            .collect()
    }

    /// Returns for each other region the instance to send to, in the region's zone with the youngest
    /// digest.
    fn recipients_in_other_regions(
        &self,
        now: time::TimeMs,
        topology: &Topology,
    ) -> BTreeMap<ids::RegionId, ids::InstanceId> {
        let mut best: BTreeMap<ids::RegionId, (time::SpanMs, ids::InstanceId)> = BTreeMap::new();
        let own = topology.own_region();
        for (zone, contacts) in &topology.zones {
            let Some(to) = self.recipient(now, zone, contacts) else {
                continue;
            };
            if Some(&contacts.region) == own {
                continue;
            }
            let age = self.table.view(zone, now).map(|stored| stored.age);
            let age = age.unwrap_or(time::SpanMs::new(u64::MAX));
            let entry = (age, to);
            best.entry(contacts.region.clone())
                .and_modify(|current| {
                    if entry.0 < current.0 {
                        *current = entry.clone();
                    }
                })
                .or_insert(entry);
        }
        best.into_iter()
            .map(|(region, (_, to))| (region, to))
            .collect()
    }

    fn is_fresh(&self, now: time::TimeMs, zone: &ids::AvailabilityZoneId) -> bool {
        self.table
            .view(zone, now)
            .is_some_and(|stored| stored.age < self.settings.fresh_ms)
    }

    /// Returns the instance of a zone to send to: the author of the zone's digest if the digest is
    /// fresh, and otherwise one of the zone's instances in turn, another one after each digest that
    /// this instance creates.
    fn recipient(
        &self,
        now: time::TimeMs,
        zone: &ids::AvailabilityZoneId,
        contacts: &ZoneContacts,
    ) -> Option<ids::InstanceId> {
        let stored = self.table.view(zone, now);
        let author = stored
            .filter(|stored| stored.age < self.settings.fresh_ms)
            .map(|stored| stored.author)
            .filter(|author| contacts.ranked.contains(author));
        let in_turn = || {
            let index = self.round.checked_rem(contacts.ranked.len())?;
            contacts.ranked.get(index)
        };
        author.or_else(in_turn).cloned()
    }
}

const fn digest_send<D>(to: ids::InstanceId, digests: Vec<Digest<D>>) -> DigestSend<D> {
    let bundle = DigestBundle(digests);
    DigestSend { to, bundle }
}
