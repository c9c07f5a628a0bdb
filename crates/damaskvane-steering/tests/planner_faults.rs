//! Tests of plans while zones shed requests, regions are unreachable and reports are wrong.
//!
//! A zone reports its load and capacity in digests; a plan divides the demand of each source zone among the
//! destination zones.
#![allow(clippy::unwrap_used)]

mod common;

use common::{STEP_MS, apply_all_reports, at, planned_to, rps, service_id, topology, zone};
use damaskvane_core::units;
use damaskvane_steering::{digest, plan, planner, rate};

/// A zone sheds requests while its digest reports no running requests. If the planner steered by the reported
/// load, it would send the zone ever more clients, which would be refused while other zones have capacity.
#[test]
fn a_zone_that_sheds_loses_traffic_despite_a_low_reported_load() {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    let mut plan = None;
    for step in 1..30 {
        apply_all_reports(&mut view, step, step * STEP_MS, 100);
        let mut report = common::report(&zone("ab-a"), step + 1_000, step * STEP_MS, 100);
        let service = report.services.get_mut(&service_id()).unwrap();
        service.running = units::Slots::ZERO;
        service.refused = rps(30);
        view.apply_digest(report);
        plan = Some(planner.plan(&topology(), &view, plan.as_ref(), at(step * STEP_MS)));
    }
    let plan = plan.unwrap();
    assert!(
        planned_to(&plan, &zone("ab-a")) < rps(60),
        "{}",
        planned_to(&plan, &zone("ab-a"))
    );
    assert_eq!(
        plan.source(&service_id(), &zone("ab-a"))
            .unwrap()
            .refused_ppm(),
        0
    );
}

/// All zones report zero capacity although they serve requests. A plan that trusted these reports would
/// refuse all clients at once.
#[test]
fn zero_capacity_reports_without_evidence_refuse_no_clients() {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    for id in topology().zones.keys() {
        let mut report = common::report(id, 1, 0, 40);
        report.services.get_mut(&service_id()).unwrap().capacity = rate::Rate::ZERO;
        view.apply_digest(report);
    }
    let plan = planner.plan(&topology(), &view, None, at(0));
    assert_eq!(
        plan.source(&service_id(), &zone("ab-a"))
            .unwrap()
            .refused_ppm(),
        0
    );
}

/// A region fails at peak load. The plan must spread its clients within the capacity of the other regions;
/// otherwise these regions are overloaded and refuse their own clients as well.
#[test]
fn clients_of_a_lost_region_spread_within_the_capacity_of_the_others() {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    let mut plan = None;
    for step in 1..60 {
        let now_ms = step * STEP_MS;
        for id in topology().zones.keys() {
            let is_lost = step > 20 && topology().zones[id].as_str() == "ab";
            view.set_unreachable(id, is_lost);
            if !is_lost {
                view.apply_digest(common::report(id, step, now_ms, 120));
            }
        }
        if step == 26 {
            let plan: &plan::Plan = plan.as_ref().unwrap();
            let refused = plan
                .source(&service_id(), &zone("ab-a"))
                .unwrap()
                .refused_ppm();
            assert!(refused < 50_000, "{refused} after 6 s");
        }
        let next = planner.plan(&topology(), &view, plan.as_ref(), at(now_ms));
        assert!(step <= 20 || planned_to(&next, &zone("ab-a")) == rate::Rate::ZERO);
        assert!(planned_to(&next, &zone("mb-a")) <= rps(194));
        plan = Some(next);
    }
}

/// The last reports of a lost region stay in the view (the latest digest of each zone). If the planner added
/// them to the requests that the region's clients now send to other zones, it would count the region's demand
/// twice, and far more clients would be refused than the capacity requires.
#[test]
fn the_last_reports_of_a_lost_region_are_not_counted_twice() {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    let mut plan = None;
    for step in 1..60 {
        let now_ms = step * STEP_MS;
        for id in topology().zones.keys() {
            let is_ab = topology().zones[id].as_str() == "ab";
            view.set_unreachable(id, step > 20 && is_ab);
            if step <= 20 {
                view.apply_digest(common::report(id, step, now_ms, 100));
            } else if !is_ab {
                let mut report = common::report(id, step, now_ms, 100);
                let service = report.services.get_mut(&service_id()).unwrap();
                service.demand.insert(zone("ab-a"), rps(25));
                service.demand.insert(zone("ab-b"), rps(25));
                view.apply_digest(report);
            }
        }
        plan = Some(planner.plan(&topology(), &view, plan.as_ref(), at(now_ms)));
    }
    let demand = plan
        .unwrap()
        .source(&service_id(), &zone("ab-a"))
        .unwrap()
        .demand;
    assert!(demand <= rps(105) && demand >= rps(95), "{demand}");
}

/// All zones of a region become unreachable, and the region's clients do not send their requests to other zones
/// yet. If the planner reduced the region's demand at once, it would assign the capacity that these clients need
/// to clients of other regions. The region's clients would be refused once they arrive in other zones.
#[test]
fn the_demand_of_a_lost_region_is_retained_for_a_while() {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    let mut plan = None;
    for step in 1..30 {
        for id in topology().zones.keys() {
            let is_lost = step > 20 && topology().zones[id].as_str() == "ab";
            view.set_unreachable(id, is_lost);
            if !is_lost {
                view.apply_digest(common::report(id, step, step * STEP_MS, 100));
            }
        }
        plan = Some(planner.plan(&topology(), &view, plan.as_ref(), at(step * STEP_MS)));
    }
    let demand = plan
        .unwrap()
        .source(&service_id(), &zone("ab-a"))
        .unwrap()
        .demand;
    assert!(demand >= rps(85), "{demand}");
}

/// One report shows fifty times the actual demand. If the planner's estimate of the demand followed this
/// report at once, clients of all zones would be refused for seconds while capacity is free.
#[test]
fn a_single_outlier_report_barely_moves_the_estimate_and_refuses_no_clients() {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    let mut plan = None;
    for step in 1..40 {
        apply_all_reports(&mut view, step, step * STEP_MS, 100);
        if step == 20 {
            view.apply_digest(common::report(&zone("ab-a"), 10_000, step * STEP_MS, 5_000));
        }
        if step == 21 {
            view.remove(&zone("ab-a"));
            view.apply_digest(common::report(&zone("ab-a"), step, step * STEP_MS, 100));
        }
        let next = planner.plan(&topology(), &view, plan.as_ref(), at(step * STEP_MS));
        let sources = next.services[&service_id()].sources.values();
        let max_refused = sources.map(plan::SourcePlan::refused_ppm).max().unwrap();
        assert!(max_refused < 1_000, "step {step}: {max_refused}");
        let demand = next.source(&service_id(), &zone("ab-a")).unwrap().demand;
        assert!(demand < rps(120), "step {step}: {demand}");
        plan = Some(next);
    }
}
