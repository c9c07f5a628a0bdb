//! Instances that have just started own no servers beside instances that run for longer.
//!
//! The owner of a server grants its slots, which are rights to run one request on it. An instance that has just
//! started and becomes an owner without the ledger of its predecessor has to wait for instances that were fenced
//! (lost their right to own servers) before its start, of which it may not know.

mod common;

use common::{SimulatedZone, outage, script, slot_settings};
use damaskvane_slots::exchange::OwnerPhase;

/// Time in which a refused connection proves that an instance has ended (docs/design/membership.md).
const PROOF_MS: u64 = 2_000;

/// Guards against a server that no instance grants for longer than a proof and a lease after its owner died, because
/// the hash assigns it to an instance that has just started and not to an older one.
#[test]
fn an_older_instance_takes_over_beside_one_that_has_just_started() {
    for started_before_ms in (0..2_000).step_by(200) {
        let [newcomer, owner, older] = script::ranked(["a-1", "a-2", "a-3"]);
        let names = [owner.as_str(), older.as_str()];
        let mut zone = SimulatedZone::under_full_load(&names, &[3]);
        zone.start(&newcomer);
        zone.run(started_before_ms);
        let owner = zone.owner(0).expect("an owner");
        zone.kill(&owner);
        let outages = outage::run(&mut zone, 10_000);
        let longest_ms = outages.iter().map(outage::Outage::length_ms).max();
        let limit_ms = PROOF_MS + slot_settings().expiry_ms().get();
        assert!(
            longest_ms <= Some(limit_ms),
            "started {started_before_ms} ms before: {longest_ms:?} ms"
        );
        script::assert_no_excess(&zone, "an older instance takes over");
    }
}

/// Guards against an instance that never becomes an owner although it has run for long.
#[test]
fn an_instance_owns_its_servers_once_it_is_no_longer_starting() {
    let [newcomer, owner, older] = script::ranked(["a-1", "a-2", "a-3"]);
    let mut zone = SimulatedZone::under_full_load(&[owner.as_str(), older.as_str()], &[3]);
    zone.start(&newcomer);
    zone.run(common::STARTING_MS - 1_000);
    assert_eq!(zone.owner(0), Some(owner));
    zone.run(2_000);
    assert_eq!(zone.owner(0), Some(newcomer));
}

/// Guards against a zone whose instances all started recently and wait for each other to own its servers.
#[test]
fn instances_that_all_have_just_started_own_servers() {
    let mut zone = SimulatedZone::new(1, &["a-1", "a-2"], &[3]);
    script::run_until(&mut zone, 4_000, |zone| {
        let names = ["a-1", "a-2"];
        names
            .iter()
            .any(|name| zone.phase(name, 0) == OwnerPhase::Serving)
    });
}
