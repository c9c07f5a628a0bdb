//! Computes the plan for lookups from the load digests of all zones.
//!
//! The plan distributes the clients of each zone over the zones. A digest is the load report of one zone;
//! the zone's aggregator is the instance that sums the loads of the zone's instances and sends the digest.
//!
//! ```text
//! local load -> aggregator of the zone -> digest -> all zones -> view -> plan
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

const MIN_INTER_REGION_PERIOD: time::SpanMs = time::SpanMs::new(1_000);
const MAX_INTER_REGION_PERIOD: time::SpanMs = time::SpanMs::new(10_000);

/// Number of zones from which on digests are sent at the maximum period. With this many zones, that period
/// keeps the traffic of control messages within its budget.
const ZONES_AT_MAX_PERIOD: u64 = 23;

/// State of steering that is kept between two plans.
#[derive(Debug)]
pub(super) struct Steering {
    view: digest::View,
    plan: Option<plan::Plan>,
    exchange: digests::DigestExchange<load::ZoneReport>,
    inter_region_period: time::SpanMs,
    zone_load: load::ZoneLoad,
    measured_at: time::TimeMs,
    client_zones: Arc<serving::ClientZones>,
    client_zones_version: ids::ConfigVersion,
    pub(super) shifts: shifts::Shifts,
}

impl Default for Steering {
    fn default() -> Self {
        Self {
            view: digest::View::default(),
            plan: None,
            exchange: digests::DigestExchange::new(digests::DigestSettings::default()),
            inter_region_period: MAX_INTER_REGION_PERIOD,
            zone_load: load::ZoneLoad::default(),
            measured_at: time::TimeMs::ZERO,
            client_zones: Arc::default(),
            client_zones_version: ids::ConfigVersion::default(),
            shifts: shifts::Shifts::default(),
        }
    }
}

impl Control {
    /// Computes and publishes a new plan. Does nothing while no configuration is active.
    pub(super) fn update_plan(&mut self) {
        let Some(active) = self.relay.applier().active_config().cloned() else {
            return;
        };
        let now = self.now();
        let config = active.state();
        if self.steering.client_zones_version != config.version() {
            self.steering.client_zones = Arc::new(self.steering.client_zones.with_config(&config));
            self.steering.client_zones_version = config.version();
        }
        let moved = self.max_moved_permille(now);
        self.steering
            .shifts
            .apply_declarations(&config, &moved, now);
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
        let client_zones = Arc::clone(&self.steering.client_zones);
        self.publish_serving(config, client_zones, plan);
    }

    /// Measures this instance's load and reports it to the aggregator of the zone. On the aggregator, sends the
    /// zone's digest if it is due.
    pub(super) fn measure_load(&mut self) {
        let now = self.now();
        let period = now.since(self.steering.measured_at);
        self.steering.measured_at = now;
        let load = load::InstanceLoad::measure(&self.serving.meter, period);
        let topology = self.digest_topology();
        self.steering.inter_region_period = inter_region_period(topology.zones.len());
        self.steering
            .exchange
            .set_inter_region_period(self.steering.inter_region_period);
        match topology.aggregator() {
            Some(aggregator) if *aggregator != self.record.instance => {
                let message = wire::WireMessage::Load(load);
                self.peers.send(&aggregator.clone(), &message);
            }
            _ => self
                .steering
                .zone_load
                .record(now, self.record.instance.clone(), load),
        }
        if self.steering.exchange.is_due(now, &topology) {
            let report = self.zone_report(now);
            let sends = self.steering.exchange.publish(now, &topology, report);
            self.send_digests(sends);
        }
        self.apply_digests();
    }

    /// Returns the age limits of digests. A digest is fresh until the next one, sent one period later, has
    /// had time to arrive. A digest older than three periods (never less than the default limit) is too old
    /// to use.
    fn limits(&self) -> staleness::Limits {
        let period_ms = self.steering.inter_region_period.get();
        let defaults = staleness::Limits::default();
        staleness::Limits {
            fresh: time::SpanMs::new(period_ms + defaults.fresh.get()),
            old: defaults.old.max(time::SpanMs::new(3 * period_ms)),
        }
    }

    fn zone_report(&self, now: time::TimeMs) -> load::ZoneReport {
        let config = self
            .relay
            .applier()
            .active_config()
            .map(|active| active.state());
        let typical = |service: &ids::ServiceId| {
            config
                .as_ref()
                .and_then(|config| config.services().get(service))
                .map_or(time::SpanMs::new(1), |service| service.typical_request_ms)
        };
        let mut report = self.steering.zone_load.report(now, typical);
        report.moved_permille = self.steering.shifts.moved_permille();
        report
    }

    pub(super) fn handle_load(&mut self, from: ids::InstanceId, load: load::InstanceLoad) {
        let now = self.now();
        self.steering.zone_load.record(now, from, load);
    }

    pub(super) fn handle_digests(
        &mut self,
        from: &ids::InstanceId,
        bundle: digests::DigestBundle<load::ZoneReport>,
    ) {
        let now = self.now();
        let topology = self.digest_topology();
        let sends = self.steering.exchange.receive(now, &topology, from, bundle);
        self.send_digests(sends);
        self.apply_digests();
    }

    fn send_digests(&self, sends: Vec<digests::DigestSend<load::ZoneReport>>) {
        for send in sends {
            self.peers
                .send(&send.to, &wire::WireMessage::Digests(send.bundle));
        }
    }

    fn apply_digests(&mut self) {
        let now = self.now();
        for held in self.steering.exchange.digests(now) {
            let taken_at = time::TimeMs::new(now.get().saturating_sub(held.age.get()));
            let digest = held.body.to_digest(held.zone, held.sequence, taken_at);
            self.steering.view.apply_digest(digest);
        }
    }

    /// Returns, for each shift of traffic between zones, the largest share of clients that any zone reports
    /// as moved, in thousandths. An instance that has just started resumes its shifts from there.
    fn max_moved_permille(&self, now: time::TimeMs) -> BTreeMap<String, u32> {
        let mut moved = BTreeMap::new();
        for held in self.steering.exchange.digests(now) {
            for (shift, permille) in &held.body.moved_permille {
                let max_permille: &mut u32 = moved.entry(shift.clone()).or_default();
                *max_permille = (*max_permille).max(*permille);
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
            .publish("shifts", json!(self.steering.shifts.progress_report()));
    }
}

/// Returns the time between two digests to other regions. The time grows with the number of zones, so that
/// the rate of digests that each instance receives does not grow.
fn inter_region_period(zones: usize) -> time::SpanMs {
    let period_ms = MAX_INTER_REGION_PERIOD.get() * zones as u64 / ZONES_AT_MAX_PERIOD;
    time::SpanMs::new(period_ms)
        .max(MIN_INTER_REGION_PERIOD)
        .min(MAX_INTER_REGION_PERIOD)
}

/// Returns the settings of the planner, which plans for all services together.
///
/// The policy is headroom if any service declares that policy. The lookup TTL, the time for which clients
/// may cache a lookup response, is the longest of all services.
fn settings(config: &state::ConfigState) -> planner::Settings {
    let services = || config.services().values();
    let uses_headroom = services().any(|service| service.policy == declaration::Policy::Headroom);
    let defaults = planner::Settings::default();
    planner::Settings {
        policy: if uses_headroom {
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
