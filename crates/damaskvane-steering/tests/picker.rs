//! Tests of the zone that a plan selects for a client: the client keeps its zone while the plan stays the
//! same, and refusals rotate among the clients.
#![allow(clippy::unwrap_used)]

mod common;

use common::{at, rps, service_id, zone};
use damaskvane_core::{ids, time};
use damaskvane_steering::{picker, plan};

const CLIENTS: u64 = 20_000;

fn plan_of(shares: &[(&str, u32)]) -> plan::Plan {
    let shares = shares.iter().map(|(id, share_ppm)| plan::Share {
        zone: zone(id),
        share_ppm: *share_ppm,
    });
    let source = plan::SourcePlan {
        demand: rps(100),
        shares: shares.collect(),
        retry_after: time::SpanMs::new(2_000),
    };
    let mut service = plan::ServicePlan::default();
    service.sources.insert(zone("ab-a"), source);
    let mut plan = plan::Plan::empty(at(0));
    plan.services.insert(service_id(), service);
    plan
}

fn first(plan: &plan::Plan, hash: u64, now_ms: u64) -> Option<ids::AvailabilityZoneId> {
    let client = picker::Client {
        zone: zone("ab-a"),
        hash,
    };
    let zones = picker::pick(plan, &service_id(), &client, at(now_ms));
    zones.ok().and_then(|zones| zones.first().cloned())
}

#[test]
fn clients_are_divided_by_weight() {
    let plan = plan_of(&[("ab-a", 700_000), ("ab-b", 200_000), ("mb-a", 100_000)]);
    for (id, share) in [("ab-a", 0.7), ("ab-b", 0.2), ("mb-a", 0.1)] {
        let count = (0..CLIENTS)
            .filter(|hash| first(&plan, *hash, 0) == Some(zone(id)))
            .count();
        let measured = count as f64 / CLIENTS as f64;
        assert!((measured - share).abs() < 0.02, "{id}: {measured}");
    }
}

#[test]
fn a_change_of_weights_moves_little_more_than_the_changed_share() {
    let before = plan_of(&[("ab-a", 700_000), ("ab-b", 200_000), ("mb-a", 100_000)]);
    let after = plan_of(&[("ab-a", 600_000), ("ab-b", 300_000), ("mb-a", 100_000)]);
    let moved = (0..CLIENTS).filter(|hash| first(&before, *hash, 0) != first(&after, *hash, 9));
    let moved = moved.count() as f64 / CLIENTS as f64;
    assert!(moved < 0.13, "{moved} moved for a change of 0.1");
}

#[test]
fn without_a_change_every_client_keeps_its_zone() {
    let plan = plan_of(&[("ab-a", 700_000), ("ab-b", 300_000)]);
    assert!((0..CLIENTS).all(|hash| first(&plan, hash, 0) == first(&plan, hash, 77_000)));
}

#[test]
fn all_destinations_are_returned_in_the_clients_own_order() {
    let plan = plan_of(&[("ab-a", 700_000), ("ab-b", 300_000)]);
    let client = picker::Client {
        zone: zone("ab-a"),
        hash: 3,
    };
    let zones = picker::pick(&plan, &service_id(), &client, at(0)).unwrap();
    assert_eq!(zones.len(), 2);
}

/// In a shortage, a share of the clients is refused. If it were always the same clients, they would be
/// without the service for the whole shortage, while all others are served.
#[test]
fn refusals_rotate_among_the_clients() {
    let plan = plan_of(&[("ab-a", 750_000)]);
    let refused = |hash, now_ms| first(&plan, hash, now_ms).is_none();
    let share = (0..CLIENTS).filter(|hash| refused(*hash, 0)).count() as f64 / CLIENTS as f64;
    assert!((share - 0.25).abs() < 0.02, "{share}");
    let always = (0..CLIENTS).filter(|hash| (0..20).all(|period| refused(*hash, period * 2_000)));
    assert_eq!(always.count(), 0);
}
