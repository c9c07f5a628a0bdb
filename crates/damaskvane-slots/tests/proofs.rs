//! Scripted histories in which a proof ends the wait of a server's new owner.
//!
//! The owner of a server grants its slots, which are rights to run one request on it. To fence an instance is to
//! revoke its right to own servers. A fenced owner may act until its authority ends, unless its process has ended.

mod common;

use common::{SimulatedZone, outage, script, slot_settings};
use damaskvane_core::ids;

const ONE_SERVER: [u32; 1] = [3];
/// Time within which a running instance reads of a restart on the platform's list.
const LIST_LAG_MS: u64 = 1_000;
/// Time between two probes of a silent instance, and between two messages of a claim.
const RETRY_MS: u64 = 300;
/// Time in which the owner is fenced after it was cut off and died.
const FENCED_AFTER_MS: u64 = 1_800;

/// Returns a zone of two whose owner was cut off, died, and was fenced by the other instance, with the owner.
fn zone_with_a_fenced_owner() -> (SimulatedZone, ids::InstanceId) {
    let [owner, other] = script::ranked(["a-1", "a-2"]);
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
    zone.cut(&owner, &other);
    zone.kill(&owner);
    zone.run(FENCED_AFTER_MS);
    assert_eq!(script::fences(&zone), 1);
    (zone, owner)
}

fn outage_ms(zone: &mut SimulatedZone) -> u64 {
    let outages = outage::run(zone, 10_000);
    outages.iter().map(outage::Outage::length_ms).sum()
}

/// Guards against a successor that waits for the authority of a fenced owner whose machine refuses connections.
#[test]
fn a_refused_connection_ends_the_wait_for_a_fenced_owner() {
    let (mut zone, _) = zone_with_a_fenced_owner();
    zone.cuts.clear();
    let waited_ms = outage_ms(&mut zone);
    let limit_ms = RETRY_MS + slot_settings().expiry_ms().get() + RETRY_MS;
    assert!(waited_ms <= limit_ms, "{waited_ms} ms");
}

/// Guards against a successor that waits for the authority of a fenced owner whose next incarnation runs.
#[test]
fn a_restart_ends_the_wait_for_a_fenced_owner() {
    for restart_ms in [100, 200, 300] {
        let (mut zone, owner) = zone_with_a_fenced_owner();
        zone.run(restart_ms);
        zone.cuts.clear();
        zone.start(&owner);
        let waited_ms = outage_ms(&mut zone);
        let limit_ms = LIST_LAG_MS + slot_settings().expiry_ms().get() + RETRY_MS;
        assert!(
            waited_ms <= limit_ms,
            "restart after {restart_ms} ms: {waited_ms} ms"
        );
    }
}

/// Guards against a successor that takes an answered or a lost probe for the end of a fenced owner, which still grants
/// slots under its authority.
#[test]
fn a_fenced_owner_that_runs_is_waited_for() {
    let [owner, other] = script::ranked(["a-1", "a-2"]);
    for is_healed in [true, false] {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
        zone.without_platform.insert(owner.clone());
        zone.cut(&owner, &other);
        zone.run(FENCED_AFTER_MS);
        assert_eq!(script::fences(&zone), 1);
        if is_healed {
            zone.cuts.clear();
        }
        zone.run(12_000);
    }
}
