//! Instances that have just started say so in their heartbeats, and are to own no servers beside older ones.

mod common;

use common::{Zone, id};
use damaskvane_membership::settings;

fn is_starting(zone: &Zone, viewer: &str, of: &str) -> bool {
    let roster = zone.instances[&id(viewer)].roster();
    let member = roster
        .members
        .iter()
        .find(|member| member.instance == id(of));
    member.expect("a known instance").is_starting
}

/// Guards against two instances that disagree on whether one of them has just started, so that each leaves the
/// servers to the other.
#[test]
fn a_start_is_seen_alike_by_all_instances() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    for (viewer, of) in [
        ("z-a-1", "z-a-1"),
        ("z-a-1", "z-a-2"),
        ("z-a-2", "z-a-1"),
        ("z-a-2", "z-a-2"),
    ] {
        assert!(is_starting(&zone, viewer, of), "{viewer} of {of}");
    }
    zone.run(settings::MembershipSettings::default().starting_ms.get());
    for (viewer, of) in [("z-a-1", "z-a-2"), ("z-a-2", "z-a-1")] {
        assert!(!is_starting(&zone, viewer, of), "{viewer} of {of}");
        assert!(!is_starting(&zone, of, of), "{of} of itself");
    }
}

/// Guards against an instance that counts as able to own servers before it is on the platform's list, so that nobody
/// claims the servers that the hash assigns to it.
#[test]
fn an_instance_that_is_not_listed_is_starting() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.run(settings::MembershipSettings::default().starting_ms.get());
    let name = id("z-a-3");
    zone.instances
        .insert(name.clone(), common::member("z-a-3", 1));
    zone.run(1_000);
    assert!(is_starting(&zone, "z-a-3", "z-a-3"));
    assert!(zone.instances[&name].roster().authority_until.is_none());
}
