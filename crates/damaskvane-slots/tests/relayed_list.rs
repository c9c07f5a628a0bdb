//! Scripted histories of an owner that can't read the platform's list, beside a neighbour that reads it and echoes
//! (confirms) the owner's heartbeats.
//!
//! The owner of a server grants its slots, which are rights to run one request on it. To fence an instance is to
//! revoke its right to own servers, by a fence record on the platform's list.

mod common;

use common::{SimulatedZone, ms, outage, script};

const ONE_SERVER: [u32; 1] = [3];

/// Longest time without grants after a fence or a pause: that of a handover or a restart of claims.
const MAX_OUTAGE_MS: u64 = 1_000;

/// Guards against an owner that grants nothing for as long as it can't read the list, after an instance was fenced.
#[test]
fn an_owner_serves_without_the_platform_after_a_fence() {
    for lost_after_ms in [500, 10_000] {
        let [owner, neighbour, fenced] = script::ranked(["a-1", "a-2", "a-3"]);
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &ONE_SERVER);
        zone.tolerates_excess = true;
        zone.cut(&fenced, &owner);
        zone.cut(&fenced, &neighbour);
        zone.kill(&fenced);
        script::run_until(&mut zone, 4_000, |zone| script::fences(zone) > 0);
        zone.run(lost_after_ms);
        zone.without_platform.insert(owner);
        let title = format!("the owner loses the platform {lost_after_ms} ms after a fence");
        let longest_ms = outage::report(&mut zone, 60_000, &title);
        assert!(longest_ms <= MAX_OUTAGE_MS, "{longest_ms}");
    }
}

/// Guards against an owner that grants nothing after a pause for as long as it can't read the list.
#[test]
fn an_owner_serves_without_the_platform_after_a_pause() {
    let [owner, _] = script::ranked(["a-1", "a-2"]);
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
    zone.tolerates_excess = true;
    zone.without_platform.insert(owner.clone());
    if let Some(instance) = zone.instances.get_mut(&owner) {
        instance.paused_until = zone.now + ms(400);
    }
    zone.run(2_000);
    let longest_ms = outage::report(&mut zone, 60_000, "the owner without the platform paused");
    assert!(longest_ms <= MAX_OUTAGE_MS, "{longest_ms}");
}

/// Guards against an owner that grants slots by a neighbour's old list beside the instance that fenced it. The
/// neighbour loses the platform around the fence, and ends around the time at which the owner must have stopped.
#[test]
fn an_owner_stops_when_its_neighbours_list_is_old() {
    let [owner, neighbour, fencer] = script::ranked(["a-1", "a-2", "a-3"]);
    let mut histories = 0_u32;
    for lost_at_ms in (0..4_000).step_by(250) {
        for killed_at_ms in (5_000..12_000).step_by(250) {
            for permille in [950, 1_000, 1_050] {
                for list_every_ms in [300, 900] {
                    let mut zone =
                        SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &ONE_SERVER);
                    zone.tolerates_excess = true;
                    zone.list_every_ms = list_every_ms;
                    zone.faults
                        .clock_permille
                        .insert(neighbour.clone(), permille);
                    zone.without_platform.insert(owner.clone());
                    zone.cut(&owner, &fencer);
                    zone.run(lost_at_ms);
                    zone.without_platform.insert(neighbour.clone());
                    zone.run(killed_at_ms - lost_at_ms);
                    zone.kill(&neighbour);
                    zone.run(6_000);
                    let history = format!(
                        "lost at {lost_at_ms}, killed at {killed_at_ms}, clock {permille}, lists every {list_every_ms}"
                    );
                    assert!(script::fences(&zone) > 0, "{history}");
                    script::assert_no_excess(&zone, &history);
                    histories += 1;
                }
            }
        }
    }
    println!("{histories} histories");
}
