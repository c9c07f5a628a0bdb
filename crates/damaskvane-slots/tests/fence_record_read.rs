//! Scripted histories of an owner that was fenced while it can't read the platform's list, beside an instance that reads
//! it and reaches the owner.
//!
//! The owner of a server grants its slots, which are rights to run one request on it. To fence an instance is to
//! revoke its right to own servers, by a fence record on the platform's list.

mod common;

use common::faults::FenceDelay;
use common::{SimulatedZone, outage, script};

const ONE_SERVER: [u32; 1] = [3];

/// Longest time without grants after a fence: the lag of the list and the authority of the fenced owner (5 s), and a
/// lease with its margin (1.7 s).
const MAX_OUTAGE_MS: u64 = 6_700;

/// Returns a zone in which the other instance fences the owner, which lost the platform, and never learns the result.
fn fenced_owner(cut_ms: u64, write_ms: u64, has_seed: bool) -> SimulatedZone {
    let [owner, other] = script::ranked(["a-1", "a-2"]);
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
    zone.tolerates_excess = true;
    let delay = FenceDelay {
        write_ms,
        result_ms: None,
    };
    zone.faults.fence_delays.insert(other.clone(), delay);
    if has_seed {
        zone.faults.seeds.insert(owner.clone(), vec![other.clone()]);
    }
    zone.cut(&owner, &other);
    zone.without_platform.insert(owner);
    zone.run(cut_ms);
    zone.cuts.clear();
    zone
}

/// Guards against a fenced owner without the platform that neither grants slots nor stops, so that no other instance
/// can take its servers over.
#[test]
fn a_fenced_owner_without_the_platform_makes_way() {
    for has_seed in [false, true] {
        let mut zone = fenced_owner(1_700, 300, has_seed);
        let title = format!("the fenced owner has no platform, a list from the other: {has_seed}");
        let longest_ms = outage::report(&mut zone, 90_000, &title);
        assert!(longest_ms <= MAX_OUTAGE_MS, "{longest_ms}");
    }
}

/// Guards against two owners while a fenced owner is reached again and runs on until it reads its fence record. The cut
/// ends, and the record is written, at various times.
#[test]
fn a_fenced_owner_that_is_reached_again_leaves_one_owner() {
    let mut fenced = 0;
    for cut_ms in (1_500..3_000).step_by(100) {
        for write_ms in (0..2_000).step_by(100) {
            for has_seed in [false, true] {
                let mut zone = fenced_owner(cut_ms, write_ms, has_seed);
                zone.run(12_000);
                let history =
                    format!("cut for {cut_ms}, written after {write_ms}, list {has_seed}");
                script::assert_no_excess(&zone, &history);
                zone.without_platform.clear();
                zone.run(4_000);
                script::assert_no_excess(&zone, &history);
                fenced += script::fences(&zone);
            }
        }
    }
    println!("{fenced} fences");
    assert!(fenced > 0);
}
