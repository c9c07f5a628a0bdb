//! Tests of each row of the table in `docs/operations/steering.md`: the decision by the age of a zone's last
//! report and the zone's reachability, and the effect of the decision on the plan.
#![allow(clippy::unwrap_used)]

mod common;

use common::{apply_all_reports, at, planned_to, rps, topology, zone};
use damaskvane_core::time;
use damaskvane_steering::{digest, planner, rate, staleness};
use staleness::{Age, Decision, Reachability};

const TABLE: [(Age, Reachability, Decision); 6] = [
    (Age::Fresh, Reachability::Connected, Decision::Measured),
    (Age::Old, Reachability::Connected, Decision::Hold),
    (Age::Expired, Reachability::Connected, Decision::StaticShare),
    (Age::Fresh, Reachability::Unreachable, Decision::Exclude),
    (Age::Old, Reachability::Unreachable, Decision::Exclude),
    (Age::Expired, Reachability::Unreachable, Decision::Exclude),
];

#[test]
fn every_age_and_reachability_has_its_decision() {
    for (age, reachability, decision) in TABLE {
        assert_eq!(
            staleness::decide(age, reachability),
            decision,
            "{age:?} {reachability:?}"
        );
    }
}

#[test]
fn ages_change_at_their_limits() {
    let limits = staleness::Limits::default();
    let cases = [
        (Some(0), Age::Fresh),
        (Some(3_000), Age::Fresh),
        (Some(3_001), Age::Old),
        (Some(15_000), Age::Old),
        (Some(15_001), Age::Expired),
        (None, Age::Expired),
    ];
    for (age_ms, age) in cases {
        let taken_at = age_ms.map(|age_ms: u64| at(100_000 - age_ms));
        assert_eq!(limits.age(taken_at, at(100_000)), age, "{age_ms:?}");
    }
    assert_eq!(limits.age(Some(at(200_000)), at(100_000)), Age::Fresh);
}

/// Returns the request rate planned to zone `mb-a` at the zone's last report, and the rate planned
/// `report_age_ms` later.
///
/// After the last report, the demand of the neighbour zone `mb-b` rises from 100 to 260 requests a second.
fn planned_to_mb_a(report_age_ms: u64, reachability: Reachability) -> (rate::Rate, rate::Rate) {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    let (mut before, mut plan) = (rate::Rate::ZERO, None);
    let last_report_ms = 20_000;
    for now_ms in (1_000..=last_report_ms + report_age_ms).step_by(1_000) {
        let sequence = now_ms / 1_000;
        let after_last_report = now_ms > last_report_ms;
        for id in topology().zones.keys() {
            let demand = if after_last_report && id.as_str() == "mb-b" {
                260
            } else {
                100
            };
            if !after_last_report || *id != zone("mb-a") {
                view.apply_digest(common::report(id, sequence, now_ms, demand));
            }
        }
        let is_unreachable = after_last_report && reachability == Reachability::Unreachable;
        view.set_unreachable(&zone("mb-a"), is_unreachable);
        let next = planner.plan(&topology(), &view, plan.as_ref(), at(now_ms));
        if now_ms == last_report_ms {
            before = planned_to(&next, &zone("mb-a"));
        }
        plan = Some(next);
    }
    (before, planned_to(&plan.unwrap(), &zone("mb-a")))
}

#[test]
fn a_fresh_report_is_used_for_the_plan() {
    let (before, after) = planned_to_mb_a(3_000, Reachability::Connected);
    assert!(
        after > before,
        "{after} after {before}: the neighbour's clients are planned here"
    );
}

/// A zone's reports stop while the zone still serves requests. If the planner raised the zone's planned rate
/// by reports that are seconds old, the zone would get the overflow of all neighbours at once, and its own
/// clients would be refused.
#[test]
fn an_old_report_holds_the_planned_rate() {
    let (_, at_old) = planned_to_mb_a(4_000, Reachability::Connected);
    let (_, later) = planned_to_mb_a(14_000, Reachability::Connected);
    assert!(later <= at_old, "{later} after {at_old}");
    assert!(later >= rps(90), "the zone keeps its own clients: {later}");
}

#[test]
fn a_zone_without_a_report_gets_its_static_share() {
    let (_, after) = planned_to_mb_a(20_000, Reachability::Connected);
    assert!(after > rps(80) && after <= rps(190 + 10), "{after}");
    let planner = planner::Planner::new(planner::Settings::default());
    let plan = planner.plan(&topology(), &digest::View::default(), None, at(0));
    let own = common::flow(&plan, "mb-a", "mb-a");
    assert!(
        own > rate::Rate::ZERO,
        "without any report, clients use their own zone"
    );
}

#[test]
fn an_unreachable_zone_gets_no_traffic_at_any_age() {
    for report_age_ms in [1_000, 10_000, 20_000] {
        let (_, after) = planned_to_mb_a(report_age_ms, Reachability::Unreachable);
        assert_eq!(after, rate::Rate::ZERO, "{report_age_ms} ms");
    }
}

/// A zone is partitioned from all others and receives only its own digests. The zone must keep serving its
/// own clients up to its capacity, without waiting for the others.
#[test]
fn a_partitioned_zone_serves_its_own_clients_within_its_capacity() {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    let mut plan = None;
    for step in 1..40 {
        if step < 10 {
            apply_all_reports(&mut view, step, step * 1_000, 100);
        }
        for id in topology().zones.keys() {
            view.set_unreachable(id, step >= 10 && *id != zone("ab-a"));
        }
        view.apply_digest(common::report(&zone("ab-a"), step, step * 1_000, 100));
        plan = Some(planner.plan(&topology(), &view, plan.as_ref(), at(step * 1_000)));
    }
    let plan = plan.unwrap();
    let own = plan.source(&common::service_id(), &zone("ab-a")).unwrap();
    assert!(own.share_ppm(&zone("ab-a")) > 0);
    assert!(planned_to(&plan, &zone("ab-a")) <= rps(194));
    assert_eq!(own.retry_after, time::SpanMs::new(2_000));
}

/// An aggregator (an instance that sends its zone's digests) is stuck and sends the same digest repeatedly.
/// If each arrival counted as a new digest, the plan would use values that are minutes old.
#[test]
fn a_repeated_report_expires() {
    let mut view = digest::View::default();
    let limits = staleness::Limits::default();
    assert!(view.apply_digest(common::report(&zone("ab-a"), 7, 0, 100)));
    let repeated = common::report(&zone("ab-a"), 7, 16_000, 100);
    assert!(!view.apply_digest(repeated));
    assert_eq!(view.age(&zone("ab-a"), limits, at(16_000)), Age::Expired);
}
