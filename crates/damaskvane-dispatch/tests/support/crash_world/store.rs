//! The records that instances keep in the platform's store.

use std::collections::BTreeSet;

use damaskvane_dispatch::fingerprint::Fingerprint;

use super::REMOVAL_MS;
use super::event::Event;
use super::world::World;
use crate::support::keys::at;

impl World {
    /// Writes a record to the store, whose changes reach every instance that is not cut off.
    pub(super) fn record(&mut self, instance: usize, fingerprint: Fingerprint) {
        let now = at(self.now_ms);
        if self.instances[instance]
            .list
            .refused_for(now, fingerprint)
            .is_none()
        {
            return;
        }
        let is_cut = self.instances[instance].cut_until_ms > self.now_ms;
        if is_cut || self.store_down_until_ms > self.now_ms {
            let again = Event::Record {
                instance,
                fingerprint,
            };
            return self.schedule(500, again);
        }
        self.harm.records_written += usize::from(self.stored.insert(fingerprint));
        for instance in &mut self.instances {
            if instance.cut_until_ms <= self.now_ms {
                instance.records.insert(fingerprint);
                instance.list.apply_quarantine_record(now, fingerprint);
            }
        }
        self.schedule(REMOVAL_MS, Event::RemoveOutdated);
    }

    /// Removes the records of requests that an instance lets run although it has read the record.
    pub(super) fn remove_outdated(&mut self) {
        let now = at(self.now_ms);
        if self.store_down_until_ms > self.now_ms {
            return;
        }
        let reached = self
            .instances
            .iter()
            .filter(|one| one.cut_until_ms <= self.now_ms);
        let removed: BTreeSet<Fingerprint> = reached
            .flat_map(|one| {
                let read = one.records.intersection(&self.stored).copied();
                read.filter(|record| one.list.refused_for(now, *record).is_none())
            })
            .collect();
        for fingerprint in removed {
            self.stored.remove(&fingerprint);
            for instance in &mut self.instances {
                if instance.cut_until_ms <= self.now_ms && instance.records.remove(&fingerprint) {
                    instance.list.release_record(now, fingerprint);
                }
            }
        }
    }

    pub(super) fn read_store(&mut self, instance: usize) {
        let reader = &mut self.instances[instance];
        if reader.cut_until_ms > self.now_ms || self.store_down_until_ms > self.now_ms {
            return;
        }
        let released: Vec<_> = reader.records.difference(&self.stored).copied().collect();
        for fingerprint in released {
            reader.records.remove(&fingerprint);
            reader.list.release_record(at(self.now_ms), fingerprint);
        }
        for fingerprint in &self.stored {
            reader.records.insert(*fingerprint);
            reader
                .list
                .apply_quarantine_record(at(self.now_ms), *fingerprint);
        }
        self.schedule(REMOVAL_MS, Event::RemoveOutdated);
    }
}
