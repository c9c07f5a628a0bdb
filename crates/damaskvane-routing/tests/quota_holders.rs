//! Tests of which instances hold the pools of quotas.

use damaskvane_routing::peers::ListedInstance;
use damaskvane_routing::quota::HolderTable;
use damaskvane_routing::teams::TeamKey;

fn listed(name: &str, zone: &str, created: u64) -> ListedInstance {
    ListedInstance {
        instance: name.parse().expect("a name"),
        peer_address: "10.0.0.1:7000".parse().expect("an address"),
        zone: zone.parse().ok(),
        created,
    }
}

/// Guards against two instances that hold the same pool, since one of them doesn't know yet that the other joined.
#[test]
fn an_instance_that_joins_a_zone_with_holders_takes_no_pool() {
    let before: Vec<_> = (1..=8)
        .map(|number| listed(&format!("i-{number}"), "a", number))
        .collect();
    let mut after = before.clone();
    // Its name sorts before all others.
    after.insert(0, listed("a-0", "a", 9));
    let (before, after) = (HolderTable::new(&before), HolderTable::new(&after));
    let zone = "a".parse().expect("a zone");
    for team in 0..1_000 {
        let team = TeamKey(team * 7_919);
        assert_eq!(before.holder(&zone, team), after.holder(&zone, team));
    }
}

#[test]
fn the_pools_of_a_zone_are_divided_among_its_first_instances() {
    let listed: Vec<_> = (1..=20)
        .map(|number| listed(&format!("i-{number}"), "a", number))
        .collect();
    let table = HolderTable::new(&listed);
    let zone = "a".parse().expect("a zone");
    let mut counts = std::collections::BTreeMap::new();
    for team in 0..800 {
        let holder = table.holder(&zone, TeamKey(team)).expect("a holder");
        *counts.entry(holder.instance.to_string()).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 8);
    assert!(counts.values().all(|count| *count == 100));
    assert_eq!(table.holders(TeamKey(1)).count(), 1);
}
