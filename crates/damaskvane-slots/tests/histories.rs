//! Scripted histories in which the order of the events is forced: no server runs more requests than its slots.
//!
//! The owner of a server grants its slots, which are rights to run one request on it. To fence an instance is to
//! revoke its right to own servers, by a fence record on the platform's list of instances.

mod common;

use std::collections::BTreeMap;

use common::faults::FenceDelay;
use common::{SimulatedZone, id, ms, script};
use damaskvane_core::ids;

const ONE_SERVER: [u32; 1] = [3];

/// Permille by which clocks may drift from each other over one lease: the margin less the time that a request may
/// take to its server, divided by the lease.
const DRIFTS_PERMILLE: [u64; 4] = [10, 20, 40, 60];

/// Returns the rates of the clocks of two instances, of which one is fast, slow, or both, by `drift` in total.
fn rates(drift: u64) -> [(u64, u64); 4] {
    [
        (1_000 + drift, 1_000),
        (1_000, 1_000 + drift),
        (1_000 - drift / 2, 1_000 + drift / 2),
        (1_000 + drift / 2, 1_000 - drift / 2),
    ]
}

/// Returns a zone of two under full load, whose clocks have these rates, with its owner and the other instance.
fn drifting(owner_rate: u64, other_rate: u64) -> (SimulatedZone, ids::InstanceId, ids::InstanceId) {
    let [owner, other] = script::ranked(["a-1", "a-2"]);
    let mut zone = SimulatedZone::new(1, &[], &ONE_SERVER);
    zone.uses_full_deadline = true;
    zone.demand_percent = 100;
    zone.tolerates_excess = true;
    let rates = [(owner.clone(), owner_rate), (other.clone(), other_rate)];
    zone.faults.clock_permille = BTreeMap::from(rates);
    zone.start(&owner);
    zone.start(&other);
    zone.run(8_000);
    (zone, owner, other)
}

/// Guards against leases, handovers and waits that end too early because clocks run at different rates, each within
/// the margin over one lease.
#[test]
fn clocks_that_drift_within_the_margin_leave_one_owner() {
    for drift in DRIFTS_PERMILLE {
        for (owner_rate, other_rate) in rates(drift) {
            for cut_after_ms in (0..500).step_by(50) {
                let (mut zone, owner, other) = drifting(owner_rate, other_rate);
                zone.run(cut_after_ms);
                zone.cut(&owner, &other);
                zone.run(cut_after_ms);
                zone.without_platform.insert(owner.clone());
                zone.run(14_000);
                let fenced =
                    format!("drift {drift}, {owner_rate} {other_rate}, cut {cut_after_ms}");
                script::assert_no_excess(&zone, &fenced);
                zone.cuts.clear();
                zone.without_platform.clear();
                zone.run(4_000);
                zone.kill(&owner);
                zone.run(3_000);
                zone.start(&owner);
                zone.run(4_000);
                script::assert_no_excess(&zone, &format!("{fenced}, rejoined"));
            }
        }
    }
}

/// Guards against a successor that grants slots before the authority of an owner ends which continues as the last
/// instance of a zone without the platform, because their clocks run at different rates.
#[test]
fn clocks_that_drift_within_the_margin_leave_one_owner_after_a_platform_loss() {
    let mut over = Vec::new();
    for drift in DRIFTS_PERMILLE {
        for (owner_rate, other_rate) in rates(drift) {
            for cut_after_ms in (0..2_000).step_by(250) {
                let (mut zone, owner, other) = drifting(owner_rate, other_rate);
                zone.without_platform.extend([owner.clone(), other.clone()]);
                zone.run(1_500 + cut_after_ms);
                zone.cut(&owner, &other);
                zone.run(1_600);
                zone.without_platform.remove(&other);
                zone.run(35_000);
                if zone.excess.is_some() {
                    over.push((drift, owner_rate, other_rate, cut_after_ms));
                }
            }
        }
    }
    println!("{over:?}");
    assert!(over.is_empty(), "{over:?}");
}

/// Guards against a second owner after an instance requested a fence, and the record was written, or its result
/// became known, only after a pause of the instance.
#[test]
fn a_fence_that_is_written_or_learned_late_leaves_one_owner() {
    let results = [Some(0), Some(500), Some(2_000), Some(6_000), None];
    for write_ms in [0, 300, 1_000, 3_000, 6_000] {
        for result_ms in results {
            for heal_after_ms in [0, 500, 1_500, 3_000, 20_000] {
                for pause_ms in [0, 2_000, 5_000] {
                    for has_platform in [true, false] {
                        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
                        zone.tolerates_excess = true;
                        let [owner, fencer] = script::ranked(["a-1", "a-2"]);
                        let result_ms = result_ms.map(|result_ms| write_ms + result_ms);
                        let delay = FenceDelay {
                            write_ms,
                            result_ms,
                        };
                        zone.faults.fence_delays.insert(fencer.clone(), delay);
                        zone.cut(&owner, &fencer);
                        if !has_platform {
                            zone.without_platform.insert(owner.clone());
                        }
                        zone.run(1_600);
                        zone.pause(&fencer, ms(pause_ms));
                        zone.run(heal_after_ms);
                        zone.cuts.clear();
                        zone.run(20_000);
                        let history = format!(
                            "written {write_ms}, learned {result_ms:?}, healed {heal_after_ms}, paused {pause_ms}, platform {has_platform}"
                        );
                        script::assert_no_excess(&zone, &history);
                    }
                }
            }
        }
    }
}

/// What becomes of the platform's entry of a fenced owner that is cut off.
#[derive(Debug, Clone, Copy)]
enum RecordFault {
    /// The fence record is lost.
    Lost,
    /// The entry is as it was before the fence.
    Unmarked,
}

/// Guards against a second owner after the platform lost a fence record, while an instance that knows of the fence
/// runs, or one starts that does not.
#[test]
fn a_lost_fence_record_leaves_one_owner() {
    for fault in [RecordFault::Lost, RecordFault::Unmarked] {
        for lost_after_ms in [0, 300, 600, 1_500, 4_000] {
            for start_after_ms in [0, 400, 1_200, 3_000] {
                for fencer_dies in [false, true] {
                    for third in ["b-1", "b-2", "b-3", "b-4"] {
                        let history = format!(
                            "{fault:?} {lost_after_ms} {start_after_ms} {fencer_dies} {third}"
                        );
                        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &[3, 3, 3]);
                        zone.tolerates_excess = true;
                        let [owner, fencer] = script::ranked(["a-1", "a-2"]);
                        zone.cut(&owner, &fencer);
                        zone.without_platform.insert(owner.clone());
                        script::run_until(&mut zone, 3_000, |zone| script::fences(zone) == 1);
                        zone.run(lost_after_ms);
                        match fault {
                            RecordFault::Lost => drop(zone.list.remove(&owner)),
                            RecordFault::Unmarked => {
                                let entry = zone.list.get_mut(&owner).expect("an entry");
                                entry.fenced = false;
                            }
                        }
                        zone.start(&id(third));
                        zone.run(start_after_ms);
                        if fencer_dies {
                            zone.kill(&fencer);
                        }
                        zone.run(15_000);
                        script::assert_no_excess(&zone, &history);
                    }
                }
            }
        }
    }
}

/// Guards against a second owner after two fences in series: an owner is fenced, and the instance that fenced it is
/// cut off and fenced by a third one, which is then replaced.
#[test]
fn two_fences_in_series_leave_one_owner() {
    for second_cut_ms in [0, 400, 1_000, 2_000, 4_000, 6_000] {
        for platform_lost_ms in [0, 1_000, 1_700, 3_000] {
            for replaced_ms in [1_000, 2_000, 3_000, 5_000] {
                for third in ["b-1", "b-2", "b-3", "b-4"] {
                    let history =
                        format!("{second_cut_ms} {platform_lost_ms} {replaced_ms} {third}");
                    let mut zone =
                        SimulatedZone::under_full_load(&["a-1", "a-2", third], &[3, 3, 3]);
                    zone.tolerates_excess = true;
                    let (first, second, third) = (id("a-1"), id("a-2"), id(third));
                    zone.cut(&first, &second);
                    zone.cut(&first, &third);
                    zone.without_platform.insert(first.clone());
                    zone.run(second_cut_ms);
                    zone.cut(&second, &third);
                    zone.run(platform_lost_ms);
                    zone.without_platform.insert(second.clone());
                    zone.run(replaced_ms);
                    zone.kill(&third);
                    zone.start(&third);
                    zone.run(1_000);
                    zone.cut(&second, &first);
                    zone.run(14_000);
                    script::assert_no_excess(&zone, &history);
                    zone.cuts.clear();
                    zone.without_platform.clear();
                    zone.run(6_000);
                    script::assert_no_excess(&zone, &history);
                }
            }
        }
    }
}

/// Guards against a second owner after a holder or the owner restarts while a lease is renewed.
#[test]
fn a_restart_during_a_renewal_leaves_one_owner() {
    let [owner, holder, third] = script::ranked(["a-1", "a-2", "a-3"]);
    for restarted in [&owner, &holder, &third] {
        for wait_ms in (0..1_500).step_by(50) {
            for away_ms in [0, 50, 500, 1_500] {
                for delay_ms in [5, 150] {
                    let names = [&owner, &holder, &third].map(ids::InstanceId::as_str);
                    let mut zone = SimulatedZone::under_full_load(&names, &ONE_SERVER);
                    zone.tolerates_excess = true;
                    zone.max_delay_ms = delay_ms;
                    zone.run(wait_ms);
                    zone.kill(restarted);
                    zone.run(away_ms);
                    zone.start(restarted);
                    zone.run(8_000);
                    let history =
                        format!("{restarted} after {wait_ms}, away {away_ms}, delay {delay_ms}");
                    script::assert_no_excess(&zone, &history);
                }
            }
        }
    }
}

/// Returns a zone in which an instance that starts without the platform learned its list from a neighbour that lost
/// the platform, while a third one, which only the platform lists, has started; the neighbour then dies.
fn started_from_a_neighbours_list(names: [&str; 3], accepts_later_lists: bool) -> SimulatedZone {
    let [neighbour, starter, third] = names.map(id);
    let mut zone = SimulatedZone::under_full_load(&names[..2], &[3, 3, 3]);
    zone.tolerates_excess = true;
    zone.faults.accepts_later_lists = accepts_later_lists;
    zone.without_platform.insert(neighbour.clone());
    zone.kill(&starter);
    zone.run(1_500);
    zone.start(&third);
    zone.run(1_500);
    zone.without_platform.insert(starter.clone());
    let seeds = vec![neighbour.clone()];
    zone.faults.seeds.insert(starter.clone(), seeds);
    zone.start(&starter);
    zone.run(2_000);
    zone.kill(&neighbour);
    zone.run(15_000);
    zone
}

const STARTS_FROM_LISTS: [[&str; 3]; 4] = [
    ["a-1", "a-2", "a-3"],
    ["a-2", "a-3", "a-1"],
    ["a-3", "a-1", "a-2"],
    ["b-1", "b-2", "b-3"],
];

/// Guards against an instance that concludes from a neighbour's list that it knows all instances that started before
/// it, and owns a server beside one that the neighbour did not know.
#[test]
fn a_list_from_a_neighbour_leaves_one_owner() {
    for names in STARTS_FROM_LISTS {
        let zone = started_from_a_neighbours_list(names, false);
        script::assert_no_excess(&zone, &format!("{names:?}"));
        assert!(!script::is_listed(&zone, &id(names[1])));
    }
}

/// Guards against a second owner after an instance was passed a second list by a neighbour, which has its record only by
/// its heartbeats.
#[test]
fn a_second_list_from_a_neighbour_leaves_one_owner() {
    for names in STARTS_FROM_LISTS {
        let zone = started_from_a_neighbours_list(names, true);
        script::assert_no_excess(&zone, &format!("{names:?}"));
        assert!(!script::is_listed(&zone, &id(names[1])));
    }
}

/// Guards against a second owner beside one that an instance takes for gone, since it knew of that one from a
/// neighbour's list before the platform listed it.
#[test]
fn an_instance_known_before_it_is_listed_is_not_taken_for_gone() {
    for registered_after_ms in [1_000, 2_000, 4_000, 8_000] {
        let [starter, restarted, neighbour] = script::ranked(["a-1", "a-2", "a-3"]);
        let names = [restarted.as_str(), neighbour.as_str()];
        let mut zone = SimulatedZone::under_full_load(&names, &ONE_SERVER);
        zone.tolerates_excess = true;
        zone.leave(&restarted);
        zone.run(5_000);
        zone.without_platform
            .extend([restarted.clone(), starter.clone()]);
        zone.faults.unregistered.insert(starter.clone());
        for name in [&restarted, &starter] {
            let seeds = vec![neighbour.clone()];
            zone.faults.seeds.insert(name.clone(), seeds);
            zone.start(name);
            zone.run(1_000);
        }
        zone.without_platform.remove(&starter);
        zone.run(2_000);
        zone.without_platform.clear();
        zone.run(registered_after_ms);
        zone.faults.unregistered.clear();
        zone.run(20_000);
        let history = format!("registered after {registered_after_ms} ms");
        script::assert_no_excess(&zone, &history);
    }
}
