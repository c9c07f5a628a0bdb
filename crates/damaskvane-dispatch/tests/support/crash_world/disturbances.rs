//! Disturbances: cuts, restarts, outages of the store, racks that fail.

use rand::RngExt;

use super::event::Event;
use super::world::World;
use super::{CONTACT_MS, INSTANCES, SERVERS};

impl World {
    pub(super) fn disturb(&mut self) {
        let instance = self.rng.random_range(0..INSTANCES);
        let length_ms = self.rng.random_range(500..5_000);
        match self.rng.random_range(0..3) {
            0 => {
                let cut = &mut self.instances[instance];
                cut.cut_until_ms = self.now_ms + length_ms;
                cut.disturbed_until_ms = cut.cut_until_ms + CONTACT_MS;
            }
            1 => {
                let started = &mut self.instances[instance];
                started.restart(self.design.settings());
                let until_ms = self.now_ms + CONTACT_MS;
                started.disturbed_until_ms = started.disturbed_until_ms.max(until_ms);
                self.read_store(instance);
            }
            _ => {
                self.store_down_until_ms = self.now_ms + length_ms;
                for instance in &mut self.instances {
                    let until_ms = self.store_down_until_ms + CONTACT_MS;
                    instance.disturbed_until_ms = instance.disturbed_until_ms.max(until_ms);
                }
            }
        }
        self.schedule(length_ms + 1, Event::Heal);
        let next_ms = self.rng.random_range(500..4_000);
        self.schedule(next_ms, Event::Disturb);
    }

    /// A rack of servers fails within a moment.
    pub(super) fn fail_together(&mut self) {
        let first = self.rng.random_range(0..SERVERS);
        for number in 0..6 {
            let server = (first + number) % SERVERS;
            let delay_ms = self.rng.random_range(0..200);
            self.schedule(delay_ms, Event::Crash { server });
        }
        let next_ms = self.rng.random_range(4_000..10_000);
        self.schedule(next_ms, Event::FailTogether);
    }
}
