//! What a second of a run is measured by: steered load against what the zones can carry.
//!
//! ```text
//! rates of all sources -> plan's shares -> load of each zone -> overload, headroom, unavoidable refusals
//! ```

use std::mem;

use crate::steering::decider::Answer;
use crate::steering::fault;
use crate::steering::world::{World, asker};

impl World<'_> {
    /// The rate steered to each zone: the demand of every source times the part of its clients whose
    /// next request goes there, as a mean over the two seconds that an answer lives. It is free of
    /// the chance that single requests bring.
    pub(super) fn measure_steered(&mut self, second: u64) {
        for service in 0..self.deployment.services.len() {
            let rates = self.traffic[service].rates_rps(&self.deployment, second as f64);
            let now = self.steered_rps(service, &rates);
            let before = mem::replace(&mut self.steered_before[service], now.clone());
            let means = now
                .iter()
                .zip(&before)
                .map(|(now, before)| (now + before) / 2.0);
            let steered: Vec<_> = means.collect();
            let mut used = [0.0; 3];
            let mut carried = [0.0; 3];
            let live: Vec<_> = self.zones().filter(|zone| !self.is_dead(*zone)).collect();
            for zone in live {
                let capacity = self.live_capacity_rps(service, zone);
                self.meter.overload_s += u64::from(steered[zone] > capacity);
                used[self.deployment.regions[zone]] += steered[zone];
                carried[self.deployment.regions[zone]] += capacity;
            }
            for (used, carried) in used
                .into_iter()
                .zip(carried)
                .filter(|(_, carried)| *carried > 0.0)
            {
                self.meter.free(1.0 - used / carried);
            }
            self.measure_unavoidable(service, &rates);
        }
    }

    fn live_capacity_rps(&self, service: usize, zone: usize) -> f64 {
        let capacity = self.deployment.capacity_rps(service, zone);
        if self.sheds(zone) {
            capacity / 2.0
        } else {
            capacity
        }
    }

    /// A client's next request goes where its cached answer says, or, with none, where a look-up
    /// would send it now.
    fn steered_rps(&mut self, service: usize, rates: &[f64]) -> Vec<f64> {
        let mut steered = vec![0.0; self.deployment.zones.len()];
        let mut rng = self.rng.clone();
        let now = (self.now(), self.case.fault);
        for (source, rate) in rates.iter().enumerate() {
            let clients = self.clients[service][source].len();
            let Some(asked) = self.asked(source) else {
                continue;
            };
            for client in 0..clients {
                let cached = self.clients[service][source][client];
                let answer = if cached.until_us > self.now_us {
                    cached.answer
                } else {
                    let asker = asker(service, source, client);
                    self.deciders[asked].answer(&self.deployment, asker, now, &mut rng)
                };
                if let Answer::Zone(zone) = answer {
                    steered[zone] += rate / clients as f64;
                }
            }
        }
        steered
    }

    /// What no decision could have carried: on each side of a cut, demand above live capacity.
    pub(super) fn measure_unavoidable(&mut self, service: usize, rates: &[f64]) {
        let cut = self.case.fault.region_cut(self.now_s());
        let side = |zone: usize| usize::from(cut && self.deployment.regions[zone] == fault::REGION);
        for this in 0..2 {
            let demand: f64 = self
                .zones()
                .filter(|zone| side(*zone) == this)
                .map(|zone| rates[zone])
                .sum();
            let live = self
                .zones()
                .filter(|zone| side(*zone) == this && !self.is_dead(*zone));
            let capacity: f64 = live.map(|zone| self.live_capacity_rps(service, zone)).sum();
            self.meter.offered_rps += demand;
            self.meter.excess_rps += (demand - capacity).max(0.0);
        }
    }
}
