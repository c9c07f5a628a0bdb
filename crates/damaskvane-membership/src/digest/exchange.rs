//! The exchange of digests as one instance takes part in it.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time};

use crate::digest::book::{DigestBook, DigestView, Taken};
use crate::digest::message::{Digest, DigestBundle};
use crate::digest::settings::DigestSettings;
use crate::digest::topology::{Topology, ZoneContacts};

/// A bundle to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DigestSend<D> {
    /// The instance.
    pub to: ids::InstanceId,
    /// What it gets.
    pub bundle: DigestBundle<D>,
}

/// Holds the latest digest of each zone and passes digests on.
#[derive(Debug)]
pub struct DigestExchange<D> {
    settings: DigestSettings,
    book: DigestBook<D>,
    /// Zones whose digests came from outside the region and go to its other zones next.
    imported: BTreeSet<ids::AvailabilityZoneId>,
    /// Zones whose digests go down the tree of the own zone next.
    waiting: BTreeSet<ids::AvailabilityZoneId>,
    next_region_at: time::TimeMs,
    next_world_at: time::TimeMs,
    round: usize,
}

impl<D: Clone> DigestExchange<D> {
    /// An exchange that holds nothing yet.
    #[must_use]
    pub const fn new(settings: DigestSettings) -> Self {
        Self {
            book: DigestBook::new(settings.forget_ms),
            settings,
            imported: BTreeSet::new(),
            waiting: BTreeSet::new(),
            next_region_at: time::TimeMs::ZERO,
            next_world_at: time::TimeMs::ZERO,
            round: 0,
        }
    }

    /// The latest digest of every zone, with its age.
    pub fn digests(&self, now: time::TimeMs) -> impl Iterator<Item = DigestView<'_, D>> {
        self.book.views(now)
    }

    /// Changes the time between two bundles to other regions, for a fleet that has grown or shrunk.
    pub const fn set_inter_region_period(&mut self, period: time::SpanMs) {
        self.settings.world_period_ms = period;
    }

    /// Whether a digest of the own zone is to be made now: this instance is the aggregator and the
    /// period is over.
    #[must_use]
    pub fn is_due(&self, now: time::TimeMs, topology: &Topology) -> bool {
        topology.is_aggregator() && now >= self.next_region_at
    }

    /// Takes the digest of the own zone and sends what is due; call it when [`Self::is_due`].
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
            sequence: self.book.next_sequence(&topology.own_zone),
            age: time::SpanMs::ZERO,
            body,
        };
        self.book.take(digest.clone(), now);
        self.waiting.insert(topology.own_zone.clone());
        let waiting = core::mem::take(&mut self.waiting);
        let news: Vec<Digest<D>> = waiting
            .iter()
            .filter_map(|zone| self.book.copy(zone, now))
            .collect();
        let mut sends = self.for_children(topology, &news);
        sends.extend(self.for_region(now, topology, &digest));
        if now >= self.next_world_at {
            self.next_world_at = now + self.settings.world_period_ms;
            sends.extend(self.for_world(now, topology));
        }
        sends
    }

    /// Takes a bundle from another instance and passes on what was news.
    pub fn receive(
        &mut self,
        now: time::TimeMs,
        topology: &Topology,
        from: &ids::InstanceId,
        bundle: DigestBundle<D>,
    ) -> Vec<DigestSend<D>> {
        let mut news = Vec::new();
        let mut echoes = Vec::new();
        for digest in bundle.0 {
            let zone = digest.zone.clone();
            let is_from_author = digest.author == *from;
            match self.book.take(digest.clone(), now) {
                Taken::Newer => news.push(digest),
                Taken::Overtaken if is_from_author => echoes.extend(self.book.copy(&zone, now)),
                Taken::Same | Taken::Overtaken => {}
            }
        }
        let mut sends = self.pass_on(topology, from, &news);
        if !echoes.is_empty() {
            // A new aggregator counts too low. Told of the higher sequence it goes on from there;
            // otherwise its zone would seem frozen to this one until the old digest is forgotten.
            let bundle = DigestBundle(echoes);
            sends.push(DigestSend {
                to: from.clone(),
                bundle,
            });
        }
        sends
    }

    fn pass_on(
        &mut self,
        topology: &Topology,
        from: &ids::InstanceId,
        news: &[Digest<D>],
    ) -> Vec<DigestSend<D>> {
        if news.is_empty() {
            return Vec::new();
        }
        let is_outside = !topology.is_own_zone(from);
        if is_outside && !topology.is_aggregator() {
            let up = topology.aggregator().cloned();
            return up.map(|to| send(to, news.to_vec())).into_iter().collect();
        }
        if !topology.is_own_region(from) || !is_outside {
            self.note_imported(topology, news);
        }
        if topology.is_aggregator() {
            // One message a period for each child costs a fraction of one for each arrival.
            let zones = news.iter().map(|digest| digest.zone.clone());
            self.waiting.extend(zones);
            return Vec::new();
        }
        self.for_children(topology, news)
    }

    fn note_imported(&mut self, topology: &Topology, news: &[Digest<D>]) {
        if !topology.is_aggregator() {
            return;
        }
        let own = topology.own_region();
        let foreign = news
            .iter()
            .map(|digest| &digest.zone)
            .filter(|zone| topology.region(zone) != own);
        self.imported.extend(foreign.cloned());
    }

    fn for_children(&self, topology: &Topology, news: &[Digest<D>]) -> Vec<DigestSend<D>> {
        topology
            .children(self.settings.fan_out)
            .map(|child| send(child.clone(), news.to_vec()))
            .collect()
    }

    fn for_region(
        &mut self,
        now: time::TimeMs,
        topology: &Topology,
        own: &Digest<D>,
    ) -> Vec<DigestSend<D>> {
        let imported = core::mem::take(&mut self.imported);
        let imported = imported.iter().filter_map(|zone| self.book.copy(zone, now));
        let digests: Vec<Digest<D>> = core::iter::once(own.clone()).chain(imported).collect();
        topology
            .zones_of_own_region()
            .filter(|(zone, _)| **zone != topology.own_zone)
            .filter_map(|(zone, contacts)| self.contact(now, zone, contacts))
            .map(|to| send(to, digests.clone()))
            .collect()
    }

    /// Sends the digests of the region to each other region, if the own zone is the first that is heard.
    fn for_world(&self, now: time::TimeMs, topology: &Topology) -> Vec<DigestSend<D>> {
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
            .filter_map(|zone| self.book.copy(zone, now))
            .collect();
        self.other_regions(now, topology)
            .into_values()
            .map(|to| send(to, digests.clone()))
            .collect()
    }

    /// For each other region the zone with the youngest digest, and whom to send to there.
    fn other_regions(
        &self,
        now: time::TimeMs,
        topology: &Topology,
    ) -> BTreeMap<ids::RegionId, ids::InstanceId> {
        let mut best: BTreeMap<ids::RegionId, (time::SpanMs, ids::InstanceId)> = BTreeMap::new();
        let own = topology.own_region();
        for (zone, contacts) in &topology.zones {
            let Some(to) = self.contact(now, zone, contacts) else {
                continue;
            };
            if Some(&contacts.region) == own {
                continue;
            }
            let age = self.book.view(zone, now).map(|held| held.age);
            let age = age.unwrap_or(time::SpanMs::new(u64::MAX));
            let entry = (age, to);
            best.entry(contacts.region.clone())
                .and_modify(|known| {
                    if entry.0 < known.0 {
                        *known = entry.clone();
                    }
                })
                .or_insert(entry);
        }
        best.into_iter()
            .map(|(region, (_, to))| (region, to))
            .collect()
    }

    fn is_fresh(&self, now: time::TimeMs, zone: &ids::AvailabilityZoneId) -> bool {
        self.book
            .view(zone, now)
            .is_some_and(|held| held.age < self.settings.fresh_ms)
    }

    /// The author of the zone's fresh digest; without one, each listed instance in turn.
    fn contact(
        &self,
        now: time::TimeMs,
        zone: &ids::AvailabilityZoneId,
        contacts: &ZoneContacts,
    ) -> Option<ids::InstanceId> {
        let held = self.book.view(zone, now);
        let author = held
            .filter(|held| held.age < self.settings.fresh_ms)
            .map(|held| held.author)
            .filter(|author| contacts.ranked.contains(author));
        let in_turn = || {
            let index = self.round.checked_rem(contacts.ranked.len())?;
            contacts.ranked.get(index)
        };
        author.or_else(in_turn).cloned()
    }
}

const fn send<D>(to: ids::InstanceId, digests: Vec<Digest<D>>) -> DigestSend<D> {
    let bundle = DigestBundle(digests);
    DigestSend { to, bundle }
}
