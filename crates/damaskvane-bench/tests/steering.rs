//! The steering experiment gives the same verdict every run, and its runs break no invariant.

use damaskvane_bench::steering;
use damaskvane_steering::policy;
use steering::{Case, DeploymentName, Fault, Length, Strategy};

const LENGTH: Length = Length {
    warm_s: 20,
    run_s: 60,
};

fn case(fault: Fault, load_percent: u32) -> Case {
    Case {
        deployment: DeploymentName::Prairie,
        strategy: Strategy::Planned(policy::Policy::Latency),
        fault,
        load_percent,
        seed: 1,
    }
}

#[test]
fn equal_seeds_measure_the_same() {
    let case = case(Fault::RegionLoss, 50);
    let (first, second) = (
        steering::run_case(&case, LENGTH),
        steering::run_case(&case, LENGTH),
    );
    assert_eq!(first, second);
}

#[test]
fn no_fault_breaks_an_invariant_of_the_planner() {
    for fault in Fault::ALL {
        let measured = steering::run_case(&case(fault, 95), LENGTH);
        assert_eq!(measured.broken_invariants, 0, "{fault}");
    }
}

#[test]
fn at_a_load_that_capacity_carries_no_zone_is_overloaded() {
    let measured = steering::run_case(&case(Fault::None, 80), LENGTH);
    assert_eq!(measured.overload_s, 0);
    assert!(measured.refused_percent < 1.0, "{measured:?}");
}

/// A region is lost at peak. What is refused beyond what no decision could carry is the loss until it
/// is seen and the margin; before the fixes of the demand estimate it was more than 20 hundredths.
#[test]
fn a_lost_region_refuses_little_more_than_it_must() {
    let measured = steering::run_case(&case(Fault::RegionLoss, 80), Length::default());
    let beyond = measured.refused_percent - measured.unavoidable_percent;
    assert!(beyond < 6.0, "{measured:?}");
}
