//! What plans keep to while zones shed, regions are lost and reports are wrong.
#![allow(clippy::unwrap_used)]

mod common;

use common::{STEP_MS, all_report, at, planned_to, rps, service_id, topology, zone};
use damaskvane_core::units;
use damaskvane_steering::{digest, plan, planner, rate};

/// A service sheds but its load report says idle. Steering that believes load sends it more and more,
/// and its users are refused while other zones are free.
#[test]
fn a_zone_that_sheds_loses_traffic_whatever_its_load_says() {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    let mut plan = None;
    for step in 1..30 {
        all_report(&mut view, step, step * STEP_MS, 100);
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

/// All zones report no capacity although they work. Believing it refuses everyone at once.
#[test]
fn reports_of_no_capacity_without_evidence_do_not_empty_the_system() {
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

/// A region fails at peak. Its clients must find a place within what the others can carry; sending
/// them all at once overloads the rest, and users of healthy regions are refused as well.
#[test]
fn a_lost_region_spreads_over_the_others_within_their_capacity() {
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

/// A lost region's last reports stay in the view. Counted together with what its clients send to the
/// other zones by now, they double its demand, and far more is refused than capacity makes
/// unavoidable.
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

/// A region is lost and its clients are not yet seen elsewhere. Were their demand to fall with the
/// reports, its place would be given away and its clients refused as they come.
#[test]
fn the_demand_of_a_silent_region_is_kept_for_a_while() {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    let mut plan = None;
    for step in 1..30 {
        for id in topology().zones.keys() {
            let is_silent = step > 20 && topology().zones[id].as_str() == "ab";
            view.set_unreachable(id, is_silent);
            if !is_silent {
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

/// One report in a run shows fifty times the demand. Believed at once, it refuses everyone's clients
/// for seconds while capacity is free.
#[test]
fn a_single_absurd_report_moves_the_estimate_by_chance_at_most_and_refuses_nobody() {
    let planner = planner::Planner::new(planner::Settings::default());
    let mut view = digest::View::default();
    let mut plan = None;
    for step in 1..40 {
        all_report(&mut view, step, step * STEP_MS, 100);
        if step == 20 {
            view.apply_digest(common::report(&zone("ab-a"), 10_000, step * STEP_MS, 5_000));
        }
        if step == 21 {
            view.remove(&zone("ab-a"));
            view.apply_digest(common::report(&zone("ab-a"), step, step * STEP_MS, 100));
        }
        let next = planner.plan(&topology(), &view, plan.as_ref(), at(step * STEP_MS));
        let sources = next.services[&service_id()].sources.values();
        let most = sources.map(plan::SourcePlan::refused_ppm).max().unwrap();
        assert!(most < 1_000, "step {step}: {most}");
        let demand = next.source(&service_id(), &zone("ab-a")).unwrap().demand;
        assert!(demand < rps(120), "step {step}: {demand}");
        plan = Some(next);
    }
}
