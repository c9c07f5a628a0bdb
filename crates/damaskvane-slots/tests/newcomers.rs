//! Scripted histories of a zone beside an instance that was listed last and does not answer.
//!
//! The owner of a server grants its slots, which are rights to run one request on it. An instance becomes the owner with
//! the consent of the others. To fence an instance is to revoke its right to own servers.

mod common;

use common::{SimulatedZone, id, outage, script, slot_settings};

const ONE_SERVER: [u32; 1] = [3];
/// Time after which a silent instance is fenced, or a refused connection has shown its end.
const DETECTION_MS: u64 = 1_500;
/// Time within which a running instance reads of a restart on the platform's list.
const LIST_LAG_MS: u64 = 1_000;
/// Time between two probes, lists passed on, or messages of a claim.
const RETRY_MS: u64 = 300;

fn outage_ms(zone: &mut SimulatedZone, span_ms: u64) -> u64 {
    let outages = outage::run(zone, span_ms);
    outages.iter().map(outage::Outage::length_ms).sum()
}

/// Guards against two instances that can't reach each other and fence each other's next incarnations in turn, so that
/// none of them ever serves.
#[test]
fn a_lasting_cut_between_two_instances_leaves_one_serving() {
    let [owner, other] = script::ranked(["a-1", "a-2"]);
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
    zone.cut(&owner, &other);
    let waited_ms = outage_ms(&mut zone, 60_000);
    let limit_ms = DETECTION_MS + LIST_LAG_MS + slot_settings().expiry_ms().get() + 2 * RETRY_MS;
    assert!(waited_ms <= limit_ms, "{waited_ms} ms");
}

/// Guards against a new zone in which none claims a server because one instance never read the platform's list.
#[test]
fn a_new_zone_serves_beside_an_instance_that_never_read_a_list() {
    for lost_after_ms in [0, 30, 400] {
        let mut zone = SimulatedZone::new(1, &["a-1", "a-2", "a-3"], &ONE_SERVER);
        zone.run(lost_after_ms);
        zone.without_platform.insert(id("a-3"));
        let waited_ms = outage_ms(&mut zone, 30_000);
        let limit_ms = slot_settings().expiry_ms().get() + LIST_LAG_MS;
        assert!(
            waited_ms <= limit_ms,
            "lost after {lost_after_ms} ms: {waited_ms} ms"
        );
    }
}

/// Guards against a server without an owner after its owner died beside a newcomer that is cut off from the successor.
#[test]
fn an_owner_is_replaced_beside_a_newcomer_that_was_never_heard() {
    for newcomer in ["b-1", "b-2", "b-3", "b-4"].map(id) {
        let [owner, successor] = script::ranked(["a-1", "a-2"]);
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
        zone.cut(&successor, &newcomer);
        zone.start(&newcomer);
        zone.run(1_000);
        zone.kill(&owner);
        let waited_ms = outage_ms(&mut zone, 20_000);
        let limit_ms =
            DETECTION_MS + LIST_LAG_MS + slot_settings().expiry_ms().get() + 2 * RETRY_MS;
        assert!(waited_ms <= limit_ms, "{newcomer}: {waited_ms} ms");
    }
}

/// Guards against a newcomer's leases of a dead owner, on whose slots a successor that never heard it grants others.
#[test]
fn leases_of_a_newcomer_that_was_never_heard_are_waited_for() {
    for newcomer in ["b-1", "b-2", "b-3", "b-4"].map(id) {
        for started_ms in [500, 1_000, 2_000, 4_000] {
            for lost_ms in [0, 100, 300] {
                let [owner, successor] = script::ranked(["a-1", "a-2"]);
                let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
                zone.cut(&successor, &newcomer);
                zone.start(&newcomer);
                zone.run(started_ms);
                zone.cuts.insert((owner.clone(), successor.clone()));
                zone.leave(&owner);
                zone.run(lost_ms);
                zone.cuts.remove(&(owner.clone(), successor.clone()));
                zone.run(10_000);
            }
        }
    }
}
