//! Tests of the limits that plans keep, some of them in random runs with fixed seeds.
//!
//! A plan divides the demand of each source zone among the destination zones.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::{STEP_MS, apply_all_reports, at, flow, planned_to, rps, service_id, topology, zone};
use damaskvane_core::{ids, units};
use damaskvane_steering::{digest, plan, planner, policy, rate};
use rand::{RngExt, SeedableRng};

type Shares = BTreeMap<(ids::AvailabilityZoneId, ids::AvailabilityZoneId), u32>;

fn shares(plan: &plan::Plan) -> Shares {
    let mut shares = Shares::new();
    for (source, planned) in &plan.services[&service_id()].sources {
        for share in &planned.shares {
            shares.insert((source.clone(), share.zone.clone()), share.share_ppm);
        }
    }
    shares
}

/// Returns the highest request rate that can arrive at the zone `to` while lookup responses in clients'
/// caches still hold any of the `recent` shares; `plan` gives the demand of each source zone.
fn max_arrival_rate(
    recent: &VecDeque<Shares>,
    plan: &plan::Plan,
    to: &ids::AvailabilityZoneId,
) -> rate::Rate {
    let sources = plan.services[&service_id()].sources.iter();
    let rates = sources.map(|(source, planned)| {
        let pair = (source.clone(), to.clone());
        let shares = recent.iter().filter_map(|shares| shares.get(&pair));
        planned.demand.ppm(shares.copied().max().unwrap_or(0))
    });
    rates.sum()
}

fn random_report(
    rng: &mut impl RngExt,
    id: &ids::AvailabilityZoneId,
    step: u64,
) -> digest::ZoneDigest {
    let mut report = common::report(id, step, step * STEP_MS, rng.random_range(0..400));
    let service = report.services.get_mut(&service_id()).unwrap();
    match rng.random_range(0..12) {
        0 => service.capacity = rate::Rate::from_milli(rng.random()),
        1 => service.capacity = rate::Rate::ZERO,
        2 => service.overload = true,
        3 => service.demand = BTreeMap::from([(id.clone(), rate::Rate::from_milli(rng.random()))]),
        4 => service.refused = rps(50),
        _ => {}
    }
    report
}

/// Reports are lost or have extreme values, zones become unreachable and return, and a plan is made each
/// second. If a plan sent a zone more than its capacity, the zone would refuse requests while other zones
/// have capacity.
#[test]
fn no_destination_is_planned_above_its_capacity() {
    for seed in 0..40 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let policy = [policy::Policy::Latency, policy::Policy::Headroom][seed as usize % 2];
        let settings = planner::Settings {
            policy,
            ..planner::Settings::default()
        };
        let planner = planner::Planner::new(settings.clone());
        let topology = topology();
        let mut view = digest::View::default();
        let mut recent = VecDeque::new();
        let mut previous: Option<plan::Plan> = None;
        for step in 1..120 {
            for id in topology.zones.keys() {
                if rng.random_range(0..4) > 0 {
                    view.apply_digest(random_report(&mut rng, id, step));
                }
                if rng.random_range(0..40) == 0 {
                    view.set_unreachable(id, rng.random());
                }
            }
            let plan = planner.plan(&topology, &view, previous.as_ref(), at(step * STEP_MS));
            assert_eq!(plan.broken_invariants, 0, "seed {seed} step {step}");
            let before: Vec<_> = topology
                .zones
                .keys()
                .map(|to| max_arrival_rate(&recent, &plan, to))
                .collect();
            recent.push_back(shares(&plan));
            if recent.len() as u64 * STEP_MS > settings.lookup_ttl.get() + STEP_MS {
                recent.pop_front();
            }
            for (to, before) in topology.zones.keys().zip(before) {
                let usable = settings.usable(rps(200));
                assert!(
                    planned_to(&plan, to) <= usable,
                    "seed {seed} step {step} {to}"
                );
                let after = max_arrival_rate(&recent, &plan, to);
                assert!(
                    after <= usable.max(before),
                    "seed {seed} step {step} {to}: {after}"
                );
                let max_rise = rps(200).permille(settings.failover_step_permille);
                let rise = after.saturating_sub(before);
                assert!(
                    previous.is_none() || rise <= max_rise,
                    "seed {seed} step {step} {to}: {rise}"
                );
            }
            previous = Some(plan);
        }
    }
}

#[test]
fn equal_input_gives_an_equal_plan() {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    apply_all_reports(&mut view, 1, 0, 190);
    let first = planner.plan(&topology(), &view, None, at(0));
    let second = planner.plan(&topology(), &view, None, at(0));
    assert_eq!(first, second);
}

fn plan_for_constant_demand(
    settings: planner::Settings,
    demand: &[(&str, u64)],
    topology: &damaskvane_steering::input::Topology,
) -> plan::Plan {
    let planner = planner::Planner::new(settings);
    let mut view = digest::View::default();
    let mut plan = None;
    for step in 1..60 {
        for (id, demand) in demand {
            view.apply_digest(common::report(&zone(id), step, step * STEP_MS, *demand));
        }
        plan = Some(planner.plan(topology, &view, plan.as_ref(), at(step * STEP_MS)));
    }
    plan.unwrap()
}

const NORMAL_DEMAND: [(&str, u64); 6] = [
    ("ab-a", 100),
    ("ab-b", 100),
    ("mb-a", 100),
    ("mb-b", 100),
    ("sask-a", 100),
    ("sask-b", 100),
];

#[test]
fn clients_stay_in_their_zone_while_it_is_below_the_knee() {
    let plan = plan_for_constant_demand(planner::Settings::default(), &NORMAL_DEMAND, &topology());
    for (id, _) in NORMAL_DEMAND {
        assert_eq!(flow(&plan, id, id), rps(100));
    }
}

#[test]
fn excess_demand_of_a_zone_goes_to_its_region_first() {
    let mut demand = NORMAL_DEMAND;
    demand[0].1 = 220;
    let plan = plan_for_constant_demand(planner::Settings::default(), &demand, &topology());
    let sent = |to: &str| flow(&plan, "ab-a", to).milli();
    assert!(sent("ab-a") >= 160_000, "{}", sent("ab-a"));
    assert!(sent("ab-b") >= 40_000, "{}", sent("ab-b"));
    assert_eq!(
        sent("mb-a") + sent("mb-b") + sent("sask-a") + sent("sask-b"),
        0
    );
}

#[test]
fn the_headroom_policy_equalizes_the_utilization_of_regions() {
    let mut demand = NORMAL_DEMAND;
    demand[0].1 = 190;
    demand[1].1 = 190;
    let free_in_ab = |policy| {
        let settings = planner::Settings {
            policy,
            ..planner::Settings::default()
        };
        let plan = plan_for_constant_demand(settings, &demand, &topology());
        let used = ["ab-a", "ab-b"].map(|id| planned_to(&plan, &zone(id)).milli());
        400_000 - used.iter().sum::<u64>()
    };
    // The demand of 780 requests a second is 65% of the capacity of 1,200. At equal utilization, a region
    // with a capacity of 400 has 140 free; the planner fills in steps of 5% (20 requests a second).
    let headroom = free_in_ab(policy::Policy::Headroom);
    assert!((120_000..=140_000).contains(&headroom), "{headroom}");
    let latency = free_in_ab(policy::Policy::Latency);
    assert!(latency < 80_000, "{latency}");
}

#[test]
fn a_shortage_refuses_the_same_share_of_every_source() {
    let mut demand = NORMAL_DEMAND.map(|(id, _)| (id, 200));
    demand[0].1 = 600;
    let plan = plan_for_constant_demand(planner::Settings::default(), &demand, &topology());
    let sources = plan.services[&service_id()].sources.values();
    let refused: Vec<_> = sources.map(plan::SourcePlan::refused_ppm).collect();
    let (min, max) = (refused.iter().min().unwrap(), refused.iter().max().unwrap());
    assert!(*min > 200_000 && max - min < 20_000, "{refused:?}");
}

/// A link between regions carries the traffic of all services. If the planner counted only the requests and
/// not the bytes on a link, the link would saturate, and the responses of all services would slow down.
#[test]
fn flows_between_regions_stay_within_the_link_budget() {
    let mut topology = topology();
    let services = topology.services.values_mut();
    services.for_each(|service| service.typical_bytes = 125_000);
    for budget in topology.links.values_mut() {
        *budget = units::MegabitsPerSecond::new(20);
    }
    let mut demand = NORMAL_DEMAND;
    demand[0].1 = 600;
    let plan = plan_for_constant_demand(planner::Settings::default(), &demand, &topology);
    for region in ["mb", "sask"] {
        let zones = ["a", "b"].map(|letter| format!("{region}-{letter}"));
        let sent: rate::Rate = zones.iter().map(|to| flow(&plan, "ab-a", to)).sum();
        assert!(sent <= rps(20) && sent >= rps(18), "{region}: {sent}");
    }
}

#[test]
fn a_moved_share_goes_to_its_destination_within_capacity() {
    let mut topology = topology();
    topology
        .movements
        .push(damaskvane_steering::input::Movement {
            service: service_id(),
            source: zone("ab-a"),
            destination: zone("mb-a"),
            moved_permille: 300,
        });
    let plan = plan_for_constant_demand(planner::Settings::default(), &NORMAL_DEMAND, &topology);
    assert_eq!(flow(&plan, "ab-a", "mb-a"), rps(30));
    let full = NORMAL_DEMAND.map(|(id, demand)| (id, if id == "mb-a" { 194 } else { demand }));
    let plan = plan_for_constant_demand(planner::Settings::default(), &full, &topology);
    assert!(planned_to(&plan, &zone("mb-a")) <= rps(194));
    assert_eq!(plan.broken_invariants, 0);
}

#[test]
fn small_zones_keep_a_larger_share_free() {
    let settings = planner::Settings::default();
    let free = |capacity| capacity - settings.usable(rps(capacity)).milli().div_ceil(1_000);
    assert_eq!([free(25), free(100), free(10_000)], [2, 6, 240]);
}
