//! Scripted histories of two ledgers of one server, of which one is handed over during a wait: no server runs more
//! requests than its slots.
//!
//! The owner of a server grants its slots, which are rights to run one request on it, and records the grants in its
//! ledger. To fence an instance is to revoke its right to own servers, by a fence record on the platform's list.

mod common;

use common::{SimulatedZone, script};
use damaskvane_core::ids;
use damaskvane_slots::exchange::OwnerPhase;

const ONE_SERVER: [u32; 1] = [3];
const NAMES: [&str; 4] = ["a-1", "a-2", "a-3", "a-4"];
/// Time in which a consent that was sent arrives.
const CONSENT_ARRIVAL_MS: u64 = 20;
/// Names with which the successor's messages go out before those of the newcomer.
const SUCCESSOR_FIRST: [&str; 4] = ["b-1", "b-2", "b-3", "b-4"];

/// Instances of a zone with one server, each with the role that the hash gives it.
///
/// The hash assigns the server to `latest` if all run, else to `newcomer`, else to `fenced`, else to `successor`.
#[derive(Debug)]
struct Roles {
    latest: ids::InstanceId,
    newcomer: ids::InstanceId,
    fenced: ids::InstanceId,
    successor: ids::InstanceId,
}

impl Roles {
    fn new(names: [&str; 4]) -> Self {
        let [latest, newcomer, fenced, successor] = script::ranked(names);
        Self {
            latest,
            newcomer,
            fenced,
            successor,
        }
    }
}

/// Returns a zone in which a newcomer has received the ledger of an owner that was fenced, and serves, while the
/// owner's successor, which fenced the owner, still waits. The newcomer's claim did not reach the successor.
fn newcomer_beside_a_waiting_successor(roles: &Roles) -> SimulatedZone {
    let (fenced, successor) = (&roles.fenced, &roles.successor);
    let mut zone =
        SimulatedZone::under_full_load(&[fenced.as_str(), successor.as_str()], &ONE_SERVER);
    zone.starting_ms = 0;
    zone.tolerates_excess = true;
    assert_eq!(zone.owner(0).as_ref(), Some(fenced));
    zone.cut(fenced, successor);
    zone.run(700);
    zone.start(&roles.newcomer);
    // The successor misses the one read of the list that shows the newcomer before the fence.
    zone.without_platform.insert(successor.clone());
    script::run_until(&mut zone, 1_000, |zone| {
        script::is_listed(zone, &roles.newcomer)
    });
    zone.without_platform.remove(successor);
    zone.without_platform
        .extend([fenced.clone(), roles.newcomer.clone()]);
    script::run_until(&mut zone, 2_000, |zone| {
        script::phase(zone, successor) == Some(OwnerPhase::Waiting)
    });
    script::run_until(&mut zone, 2_000, |zone| {
        script::has_heard(zone, successor, &roles.newcomer)
    });
    zone.cuts
        .insert((roles.newcomer.clone(), successor.clone()));
    script::run_until(&mut zone, 2_000, |zone| {
        script::phase(zone, &roles.newcomer) == Some(OwnerPhase::Serving)
    });
    zone.cuts
        .remove(&(roles.newcomer.clone(), successor.clone()));
    zone.without_platform.remove(&roles.newcomer);
    zone
}

/// Guards against a second owner that was handed the ledger of a waiting owner, beside an instance that serves with
/// the ledger of the fenced owner. One claim of each new instance is lost.
#[test]
fn a_ledger_handed_over_during_a_wait_leaves_one_owner() {
    let roles = Roles::new(NAMES);
    for start_after_ms in [200, 1_000, 2_000, 3_000] {
        let mut zone = newcomer_beside_a_waiting_successor(&roles);
        zone.run(start_after_ms);
        zone.start(&roles.latest);
        script::run_until(&mut zone, 3_000, |zone| {
            script::has_heard(zone, &roles.newcomer, &roles.latest)
        });
        let lost = (roles.latest.clone(), roles.newcomer.clone());
        zone.cuts.insert(lost.clone());
        script::run_until(&mut zone, 1_000, |zone| {
            script::phase(zone, &roles.successor) == Some(OwnerPhase::None)
        });
        zone.run(CONSENT_ARRIVAL_MS);
        zone.cuts.remove(&lost);
        zone.run(12_000);
        script::assert_no_excess(&zone, &format!("started after {start_after_ms} ms"));
    }
}

/// Returns a zone like [`newcomer_beside_a_waiting_successor`], in which the newcomer's claim was declined: the
/// successor knows of a later instance to which the hash assigns the server, and the newcomer does not.
fn newcomer_declined_by_a_waiting_successor(roles: &Roles) -> SimulatedZone {
    let (fenced, successor) = (&roles.fenced, &roles.successor);
    let names = [fenced.as_str(), successor.as_str()];
    let mut zone = SimulatedZone::under_full_load(&names, &ONE_SERVER);
    zone.starting_ms = 0;
    zone.tolerates_excess = true;
    zone.cut(fenced, successor);
    zone.run(700);
    zone.start(&roles.newcomer);
    zone.without_platform.insert(successor.clone());
    script::run_until(&mut zone, 1_000, |zone| {
        script::is_listed(zone, &roles.newcomer)
    });
    zone.without_platform.remove(successor);
    zone.without_platform
        .extend([fenced.clone(), roles.newcomer.clone()]);
    zone.start(&roles.latest);
    script::run_until(&mut zone, 4_000, |zone| {
        script::phase(zone, &roles.newcomer) == Some(OwnerPhase::Serving)
    });
    assert_eq!(script::phase(&zone, successor), Some(OwnerPhase::Waiting));
    zone
}

/// Guards against a new owner that ignores the ledger of one predecessor because the ledger of another, which waits,
/// arrived first. No message is lost; one instance reads the platform's list late.
#[test]
fn a_ledger_that_arrives_second_counts_without_a_lost_message() {
    let mut over = Vec::new();
    for names in [NAMES, SUCCESSOR_FIRST] {
        let roles = Roles::new(names);
        for read_after_ms in (0..6_000).step_by(100) {
            let mut zone = newcomer_declined_by_a_waiting_successor(&roles);
            zone.run(read_after_ms);
            zone.without_platform.remove(&roles.newcomer);
            zone.run(8_000);
            if let Some(excess) = &zone.excess {
                if over.is_empty() {
                    println!("{excess}");
                }
                over.push((names[0], read_after_ms));
            }
        }
    }
    assert!(over.is_empty(), "{over:?}");
}

/// Guards against a new owner that ignores the ledger of one predecessor because the ledger of another, which waits,
/// arrived first. One claim is lost; the new owner's claim reaches both predecessors.
#[test]
fn a_ledger_that_arrives_second_counts_as_well() {
    let roles = Roles::new(SUCCESSOR_FIRST);
    assert!(
        roles.successor < roles.newcomer,
        "messages are sent in the order of the names"
    );
    for start_after_ms in (3_000..6_000).step_by(100) {
        let mut zone = newcomer_beside_a_waiting_successor(&roles);
        zone.run(start_after_ms);
        zone.start(&roles.latest);
        zone.run(8_000);
        script::assert_no_excess(&zone, &format!("started after {start_after_ms} ms"));
    }
}
