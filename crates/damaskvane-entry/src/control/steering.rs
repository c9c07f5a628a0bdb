//! Makes the plan that look-ups follow, out of the digests of all zones.
//!
//! ```text
//! own load -> aggregator of the zone -> digest -> all zones -> view -> plan
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;

use damaskvane_config::{declaration, state};
use damaskvane_core::{ids, time};
use damaskvane_membership::digest as digests;
use damaskvane_steering::{digest, input, plan, planner, policy, staleness};
use serde_json::json;

use crate::control::Control;
use crate::control::shifts;
use crate::load;
use crate::serving;
use crate::translate;
use crate::wire;

const SHORTEST_WORLD_PERIOD: time::SpanMs = time::SpanMs::new(1_000);
const LONGEST_WORLD_PERIOD: time::SpanMs = time::SpanMs::new(10_000);

/// With so many zones the longest period keeps control within its budget.
const ZONES_AT_LONGEST: u64 = 23;

/// What steering remembers between two plans.
#[derive(Debug)]
pub(super) struct Steering {
    view: digest::View,
    plan: Option<plan::Plan>,
    exchange: digests::DigestExchange<load::ZoneReport>,
    world_period: time::SpanMs,
    zone: load::ZoneLoad,
    measured_at: time::TimeMs,
    clients: Arc<serving::ClientZones>,
    clients_version: ids::ConfigVersion,
    pub(super) shifts: shifts::Shifts,
}

impl Default for Steering {
    fn default() -> Self {
        Self {
            view: digest::View::default(),
            plan: None,
            exchange: digests::DigestExchange::new(digests::DigestSettings::default()),
            world_period: LONGEST_WORLD_PERIOD,
            zone: load::ZoneLoad::default(),
            measured_at: time::TimeMs::ZERO,
            clients: Arc::default(),
            clients_version: ids::ConfigVersion::default(),
            shifts: shifts::Shifts::default(),
        }
    }
}

impl Control {
    /// Plans anew from what is known now.
    pub(super) fn steer(&mut self) {
        let Some(in_force) = self.relay.adopter().in_force().cloned() else {
            return;
        };
        let now = self.now();
        let config = in_force.state();
        if self.steering.clients_version != config.version() {
            self.steering.clients = Arc::new(self.steering.clients.follow(&config));
            self.steering.clients_version = config.version();
        }
        let moved = self.moved_elsewhere(now);
        self.steering.shifts.follow(&config, &moved, now);
        let limits = self.limits();
        self.steering
            .shifts
            .advance(&self.steering.view, limits, now);
        let topology = input::Topology {
            movements: self.steering.shifts.movements(),
            ..translate::topology(&config)
        };
        let limits = self.limits();
        let planner = planner::Planner::new(planner::Settings {
            limits,
            ..settings(&config)
        });
        let plan = planner.plan(
            &topology,
            &self.steering.view,
            self.steering.plan.as_ref(),
            now,
        );
        self.steering.plan = Some(plan.clone());
        let clients = Arc::clone(&self.steering.clients);
        self.publish_serving(config, clients, plan);
    }

    /// Measures the own load, tells the aggregator, and sends the zone's digest if this is the one.
    pub(super) fn measure(&mut self) {
        let now = self.now();
        let period = now.since(self.steering.measured_at);
        self.steering.measured_at = now;
        let load = load::InstanceLoad::measure(&self.serving.meter, period);
        let topology = self.digest_topology();
        self.steering.world_period = world_period(topology.zones.len());
        self.steering
            .exchange
            .set_inter_region_period(self.steering.world_period);
        match topology.aggregator() {
            Some(aggregator) if *aggregator != self.record.instance => {
                let message = wire::WireMessage::Load(load);
                self.peers.send(&aggregator.clone(), &message);
            }
            _ => self
                .steering
                .zone
                .take(now, self.record.instance.clone(), load),
        }
        if self.steering.exchange.is_due(now, &topology) {
            let report = self.zone_report(now);
            let sends = self.steering.exchange.publish(now, &topology, report);
            self.send_digests(sends);
        }
        self.adopt_digests();
    }

    /// A report counts as fresh for as long as the next one may take to arrive; beyond three periods it
    /// means nothing.
    fn limits(&self) -> staleness::Limits {
        let period_ms = self.steering.world_period.get();
        let defaults = staleness::Limits::default();
        staleness::Limits {
            fresh: time::SpanMs::new(period_ms + defaults.fresh.get()),
            old: defaults.old.max(time::SpanMs::new(3 * period_ms)),
        }
    }

    fn zone_report(&self, now: time::TimeMs) -> load::ZoneReport {
        let config = self
            .relay
            .adopter()
            .in_force()
            .map(|in_force| in_force.state());
        let typical = |service: &ids::ServiceId| {
            config
                .as_ref()
                .and_then(|config| config.services().get(service))
                .map_or(time::SpanMs::new(1), |service| service.typical_request_ms)
        };
        let mut report = self.steering.zone.report(now, typical);
        report.moved_permille = self.steering.shifts.moved();
        report
    }

    pub(super) fn take_load(&mut self, from: ids::InstanceId, load: load::InstanceLoad) {
        let now = self.now();
        self.steering.zone.take(now, from, load);
    }

    pub(super) fn take_digests(
        &mut self,
        from: &ids::InstanceId,
        bundle: digests::DigestBundle<load::ZoneReport>,
    ) {
        let now = self.now();
        let topology = self.digest_topology();
        let sends = self.steering.exchange.receive(now, &topology, from, bundle);
        self.send_digests(sends);
        self.adopt_digests();
    }

    fn send_digests(&self, sends: Vec<digests::DigestSend<load::ZoneReport>>) {
        for send in sends {
            self.peers
                .send(&send.to, &wire::WireMessage::Digests(send.bundle));
        }
    }

    fn adopt_digests(&mut self) {
        let now = self.now();
        for held in self.steering.exchange.digests(now) {
            let taken_at = time::TimeMs::new(now.get().saturating_sub(held.age.get()));
            let digest = held.body.to_digest(held.zone, held.sequence, taken_at);
            self.steering.view.apply_digest(digest);
        }
    }

    /// How far each shift is in the zones that told so, for an instance that has just started.
    fn moved_elsewhere(&self, now: time::TimeMs) -> BTreeMap<String, u32> {
        let mut moved = BTreeMap::new();
        for held in self.steering.exchange.digests(now) {
            for (shift, permille) in &held.body.moved_permille {
                let most: &mut u32 = moved.entry(shift.clone()).or_default();
                *most = (*most).max(*permille);
            }
        }
        moved
    }

    fn digest_topology(&self) -> digests::Topology {
        let mut zones: BTreeMap<ids::AvailabilityZoneId, digests::ZoneContacts> = BTreeMap::new();
        let mut add =
            |zone: &ids::AvailabilityZoneId, region: &ids::RegionId, instance: &ids::InstanceId| {
                zones
                    .entry(zone.clone())
                    .or_insert_with(|| digests::ZoneContacts {
                        region: region.clone(),
                        ranked: Vec::new(),
                    })
                    .ranked
                    .push(instance.clone());
            };
        for instance in self.membership.instances() {
            if instance.state.takes_new_work() {
                let record = instance.record;
                add(&record.zone, &record.region, &record.instance);
            }
        }
        add(
            &self.record.availability_zone,
            &self.record.region,
            &self.record.instance,
        );
        for contacts in zones.values_mut() {
            contacts.ranked.sort();
        }
        digests::Topology {
            own: self.record.instance.clone(),
            own_zone: self.record.availability_zone.clone(),
            zones,
        }
    }

    pub(super) fn publish_steering(&self) {
        let now = self.now();
        let ages: BTreeMap<_, _> = self
            .steering
            .exchange
            .digests(now)
            .map(|held| (held.zone.to_string(), held.age.get()))
            .collect();
        self.status.publish("digest_age_ms", json!(ages));
        self.status
            .publish("shifts", json!(self.steering.shifts.described()));
    }
}

/// The time between two reports to other regions. It grows with the zones, so that what each instance
/// receives does not.
fn world_period(zones: usize) -> time::SpanMs {
    let period_ms = LONGEST_WORLD_PERIOD.get() * zones as u64 / ZONES_AT_LONGEST;
    time::SpanMs::new(period_ms)
        .max(SHORTEST_WORLD_PERIOD)
        .min(LONGEST_WORLD_PERIOD)
}

/// One planner serves all services: it weighs headroom if any service asks for it, and counts answers
/// in caches for the longest time that any service allows.
fn settings(config: &state::ConfigState) -> planner::Settings {
    let services = || config.services().values();
    let wants_headroom = services().any(|service| service.policy == declaration::Policy::Headroom);
    let defaults = planner::Settings::default();
    planner::Settings {
        policy: if wants_headroom {
            policy::Policy::Headroom
        } else {
            policy::Policy::Latency
        },
        lookup_ttl: services()
            .map(|service| service.lookup_ttl_ms)
            .max()
            .unwrap_or(defaults.lookup_ttl),
        ..defaults
    }
}
