//! Counts: instances report what they admitted to their zone, zones tell each other, and each instance admits by the
//! sum that it knows.

use std::collections::{HashMap, VecDeque};

use damaskvane_routing::teams::Quota;
use rand_pcg::Pcg64Mcg;

use crate::quotas::case::{Case, ZONES};
use crate::quotas::network::Network;
use crate::quotas::way::{Asked, Decided, Way};

/// Time between two reports of an instance to its zone, and of a zone to the others.
const REPORT_MS: u64 = 250;
const ZONE_REPORT_MS: u64 = 500;
const WINDOW_MS: u64 = 5_000;
/// Bytes of a team's count in a report.
const ENTRY_BYTES: u64 = 10;
/// Share of the bound that is used; the rest is for what is not reported yet.
const USED_SHARE: f64 = 0.85;

#[derive(Debug)]
struct ZoneCounts {
    to: usize,
    from: usize,
    counts: Vec<(usize, u32)>,
}

#[derive(Debug, Default)]
struct Zone {
    /// Admitted requests of this zone that were reported, by team, with their times.
    own: HashMap<usize, VecDeque<u64>>,
    /// What the other zones reported last, with its time.
    others: HashMap<(usize, usize), (u64, u32)>,
}

impl Zone {
    fn own_count(&mut self, now_ms: u64, team: usize) -> usize {
        let Some(times) = self.own.get_mut(&team) else {
            return 0;
        };
        while times.front().is_some_and(|at| at + WINDOW_MS <= now_ms) {
            times.pop_front();
        }
        times.len()
    }
}

#[derive(Debug)]
pub(super) struct Counts {
    per_zone: usize,
    network: Network<ZoneCounts>,
    zones: Vec<Zone>,
    /// What each instance admitted since its last report, by team.
    unreported: Vec<HashMap<usize, Vec<u64>>>,
}

impl Counts {
    pub(super) fn new(case: &Case) -> Self {
        Self {
            per_zone: (case.instances / ZONES).max(1),
            network: Network::new(case),
            zones: (0..ZONES).map(|_| Zone::default()).collect(),
            unreported: (0..case.instances).map(|_| HashMap::new()).collect(),
        }
    }

    fn known(&mut self, now_ms: u64, zone: usize, team: usize) -> f64 {
        let own = self.zones[zone].own_count(now_ms, team);
        let others = (0..ZONES)
            .filter(|other| *other != zone)
            .filter_map(|other| {
                let (at, count) = self.zones[zone].others.get(&(other, team))?;
                (at + WINDOW_MS > now_ms).then_some(f64::from(*count))
            });
        own as f64 + others.sum::<f64>()
    }

    fn report_instances(&mut self, now_ms: u64) {
        for (instance, admitted) in self.unreported.iter_mut().enumerate() {
            let zone = &mut self.zones[instance % ZONES];
            for (team, times) in admitted.drain() {
                self.network.count_in_zone(ENTRY_BYTES);
                zone.own.entry(team).or_default().extend(times);
            }
        }
        // The sums go back to all instances of the zone.
        for zone in &self.zones {
            let bytes = zone.own.len() as u64 * ENTRY_BYTES * self.per_zone as u64;
            self.network.count_in_zone(bytes);
        }
        let _ = now_ms;
    }

    fn report_zones(&mut self, random: &mut Pcg64Mcg, now_ms: u64) {
        for from in 0..ZONES {
            let teams: Vec<usize> = self.zones[from].own.keys().copied().collect();
            let counts: Vec<(usize, u32)> = teams
                .into_iter()
                .map(|team| (team, self.zones[from].own_count(now_ms, team) as u32))
                .collect();
            for to in (0..ZONES).filter(|to| *to != from) {
                let bytes = counts.len() as u64 * ENTRY_BYTES;
                let message = ZoneCounts {
                    to,
                    from,
                    counts: counts.clone(),
                };
                self.network
                    .send(random, now_ms, (from, to), bytes, message);
            }
        }
    }
}

fn bound(quota: Quota) -> f64 {
    let settings = Case::bound(ZONES);
    let window_s = WINDOW_MS as f64 / 1_000.0;
    (quota.rate_per_s * window_s + quota.burst) * (1.0 + settings.over) + settings.slack
}

impl Way for Counts {
    fn ask(&mut self, _: &mut Pcg64Mcg, now_ms: u64, asked: Asked) -> Option<Decided> {
        let known = self.known(now_ms, asked.zone, asked.team);
        let instances = (self.per_zone * ZONES) as f64;
        let unreported = self.unreported[asked.instance]
            .entry(asked.team)
            .or_default();
        let left = bound(asked.quota) * USED_SHARE - known;
        // A step that all instances may take at the same time, and at least one request.
        let step = (2.0 * left / instances).max(1.0);
        let is_admitted = left >= 1.0 && (unreported.len() as f64) < step;
        if is_admitted {
            unreported.push(now_ms);
        }
        Some(Decided {
            number: asked.number,
            team: asked.team,
            is_admitted,
        })
    }

    fn advance(&mut self, random: &mut Pcg64Mcg, now_ms: u64) -> Vec<Decided> {
        if now_ms.is_multiple_of(REPORT_MS) {
            self.report_instances(now_ms);
        }
        if now_ms.is_multiple_of(ZONE_REPORT_MS) {
            self.report_zones(random, now_ms);
        }
        while let Some(message) = self.network.arrived(now_ms) {
            for (team, count) in message.counts {
                let others = &mut self.zones[message.to].others;
                others.insert((message.from, team), (now_ms, count));
            }
        }
        Vec::new()
    }

    fn restart(&mut self, _: u64, instance: usize) {
        self.unreported[instance].clear();
        // The first instance of a zone keeps the zone's counts.
        if instance < ZONES {
            self.zones[instance] = Zone::default();
        }
    }

    fn bytes(&self) -> (u64, u64) {
        (self.network.bytes, self.network.bytes_between_zones)
    }
}
