//! Which instances send heartbeats to each other, and which instance owns which server.

mod common;

use std::collections::BTreeSet;

use common::id;
use damaskvane_core::ids;
use damaskvane_membership::{ownership, plan, settings};
use proptest::prelude::*;

fn zone(count: usize) -> Vec<ids::InstanceId> {
    (0..count)
        .map(|number| id(&format!("z-a-{number}")))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn heartbeat_neighbours_are_mutual_and_bounded(count in 1_usize..80) {
        let settings = settings::MembershipSettings::default();
        let zone = zone(count);
        for own in &zone {
            let neighbours = plan::neighbours(own, zone.clone(), &settings);
            prop_assert!(!neighbours.contains(own));
            prop_assert_eq!(neighbours.len(), (count - 1).min(settings.mesh_limit));
            for other in &neighbours {
                prop_assert!(plan::neighbours(other, zone.clone(), &settings).contains(own));
            }
        }
    }

    #[test]
    fn only_servers_of_the_lost_instance_change_owner(count in 2_usize..20, lost in 0_usize..20) {
        let zone = zone(count);
        let lost = &zone[lost % count];
        let remaining: Vec<ids::InstanceId> = zone.iter().filter(|other| *other != lost).cloned().collect();
        for server in 0..50 {
            let key = format!("server-{server}");
            let before = ownership::owner(&key, &zone);
            let after = ownership::owner(&key, &remaining);
            prop_assert!(before == after || before.as_ref() == Some(lost));
            prop_assert_eq!(before, ownership::ranking(&key, &zone).first().cloned());
        }
    }
}

#[test]
fn every_instance_owns_a_server() {
    let zone = zone(6);
    let owners: BTreeSet<_> = (0..100)
        .filter_map(|server| ownership::owner(&format!("server-{server}"), &zone))
        .collect();
    assert_eq!(owners.len(), 6);
}
