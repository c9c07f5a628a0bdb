//! What instances tell each other.

use damaskvane_core::time;
use damaskvane_dispatch::quarantine::Incident;
use rand::RngExt;

use super::event::{Event, Notice};
use super::world::World;
use super::{INSTANCES, REMOVAL_MS};
use crate::support::keys::at;

impl World {
    pub(super) fn broadcast(&mut self, from: usize, notice: &Notice, delays_ms: &[u64]) {
        for delay_ms in delays_ms {
            let aged = match notice {
                Notice::Incident(scope, incident) => {
                    let age = time::SpanMs::new(incident.age.get() + delay_ms);
                    let incident = Incident {
                        age,
                        ..incident.clone()
                    };
                    Notice::Incident(*scope, incident)
                }
                completed @ Notice::Completed(..) => completed.clone(),
            };
            self.notices.push(aged);
            let notice = self.notices.len() - 1;
            let is_cut = self.instances[from].cut_until_ms > self.now_ms + delay_ms;
            for instance in (0..INSTANCES).filter(|one| *one != from) {
                let is_lost = is_cut || self.rng.random_bool(0.05);
                let travel_ms = self.rng.random_range(1..30);
                if !is_lost {
                    self.schedule(delay_ms + travel_ms, Event::Deliver { instance, notice });
                }
            }
        }
    }

    pub(super) fn deliver(&mut self, instance: usize, notice: usize) {
        if self.instances[instance].cut_until_ms > self.now_ms {
            return;
        }
        match self.notices[notice].clone() {
            Notice::Incident(scope, incident) => self.apply_incident(instance, scope, &incident),
            Notice::Completed(request, completed_ms) => {
                let list = &mut self.instances[instance].list;
                if list.record_request_completed(at(completed_ms), &request) {
                    self.schedule(REMOVAL_MS, Event::RemoveOutdated);
                }
            }
        }
    }
}
