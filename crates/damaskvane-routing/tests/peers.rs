//! Which instances are alive, and which a look-up names.

mod support;

use damaskvane_core::ids;
use damaskvane_routing::peers::{Heartbeat, ListedInstance, Members, PeerSettings, Phase};
use support::{at, regions, zone};

fn heartbeat(name: &str, zone_name: &str, incarnation: u64, serial: u64) -> Heartbeat {
    let port = name.bytes().map(u16::from).sum();
    Heartbeat {
        instance: name.parse().expect("a name"),
        incarnation: ids::Incarnation::new(incarnation),
        serial,
        zone: zone(zone_name),
        client_address: ([10, 0, 0, 1], port).into(),
        peer_address: ([10, 0, 0, 2], port).into(),
        phase: Phase::Ready,
    }
}

fn members() -> Members {
    let own = "own".parse().expect("a name");
    let mut members = Members::new(PeerSettings::default(), own, regions());
    members.apply_heartbeat(at(0), heartbeat("own", "east-a", 1, 1));
    members
}

fn named(members: &Members, now_ms: u64, zone_name: &str) -> Vec<u16> {
    let region = regions()[&zone(zone_name)].clone();
    let zone = zone(zone_name);
    let addresses = members.look_up(at(now_ms), Some(&zone), Some(&region), &[]);
    addresses.iter().map(std::net::SocketAddr::port).collect()
}

fn port(name: &str) -> u16 {
    name.bytes().map(u16::from).sum()
}

/// The store turns an instance away just after its start, before its record is written. Nobody knows it, so it
/// hears of no change; were it ready, its clients would get routes and servers of before for good.
#[test]
fn an_instance_that_knows_nobody_is_acquainted_only_after_a_while() {
    let alone = members();
    assert!(!alone.has_joined(at(100)));
    assert!(alone.has_joined(at(PeerSettings::default().join_timeout_ms)));
}

#[test]
fn an_instance_is_acquainted_once_it_is_listed_or_has_heard_from_another() {
    let mut listed = members();
    listed.set_listed([]);
    assert!(!listed.has_joined(at(1)));
    listed.set_registered();
    assert!(listed.has_joined(at(1)));
    let mut hearing = members();
    hearing.apply_heartbeat(at(1), heartbeat("peer", "west-a", 1, 1));
    assert!(hearing.has_joined(at(1)));
}

/// An instance loses power. Clients that are still sent there wait a second for each new connection, so it
/// isn't named once its heartbeats are missing.
#[test]
fn a_silent_instance_is_no_longer_named() {
    let mut members = members();
    members.apply_heartbeat(at(0), heartbeat("peer", "west-a", 1, 1));
    assert_eq!(named(&members, 1_000, "west-a"), [port("peer")]);
    assert_eq!(named(&members, 5_000, "west-a"), [port("own")]);
}

/// A stopping instance says so and isn't named from then on, although its last heartbeat of before may
/// arrive after that word.
#[test]
fn a_leaving_instance_is_no_longer_named_even_if_an_older_heartbeat_comes_late() {
    let mut members = members();
    let leaving = Heartbeat {
        phase: Phase::Leaving,
        ..heartbeat("peer", "west-a", 1, 8)
    };
    members.apply_heartbeat(at(0), heartbeat("peer", "west-a", 1, 6));
    members.apply_heartbeat(at(100), leaving);
    members.apply_heartbeat(at(120), heartbeat("peer", "west-a", 1, 7));
    assert_eq!(named(&members, 200, "west-a"), [port("own")]);
}

/// An instance restarts and counts its heartbeats anew. Compared with the count of its last start they would
/// look old, and the instance would stay unnamed.
#[test]
fn a_restarted_instance_is_named_again() {
    let mut members = members();
    members.apply_heartbeat(at(0), heartbeat("peer", "west-a", 1, 500));
    members.apply_heartbeat(at(2_000), heartbeat("peer", "west-a", 2, 1));
    assert_eq!(named(&members, 2_100, "west-a"), [port("peer")]);
}

/// All instances of a caller's zone are gone. The caller gets those of its region first, since they are
/// nearest.
#[test]
fn a_zone_without_instances_is_served_from_its_region() {
    let mut members = members();
    members.apply_heartbeat(at(0), heartbeat("west", "west-a", 1, 1));
    assert_eq!(named(&members, 100, "east-b"), [port("own")]);
}

/// The own process is alive whatever its own timers say: a woken instance must not leave itself out.
#[test]
fn an_instance_always_names_itself_while_it_is_ready() {
    let members = members();
    assert_eq!(named(&members, 60_000, "east-a"), [port("own")]);
}

/// A route may be served by some regions only, and its callers' own region has no instance left. Named at
/// random, an instance of a third region would get bodies that must not go there.
#[test]
fn callers_without_instances_near_get_those_of_allowed_regions() {
    let mut members = members();
    members.apply_heartbeat(at(0), heartbeat("west", "west-a", 1, 1));
    let allowed = ["west".parse().expect("a name")];
    let (zone, region) = (zone("north-a"), "north".parse().expect("a name"));
    let addresses = members.look_up(at(100), Some(&zone), Some(&region), &allowed);
    let ports: Vec<u16> = addresses.iter().map(std::net::SocketAddr::port).collect();
    assert_eq!(ports, [port("west")]);
}

fn watchers(members: &Members, now_ms: u64) -> Vec<String> {
    let region = regions()[&zone("east-a")].clone();
    let watchers = members.watchers(at(now_ms), &region);
    watchers
        .iter()
        .map(|one| one.instance.to_string())
        .collect()
}

/// Guards against a region that loses all that watch the store for it with one zone.
#[test]
fn a_region_has_its_watchers_in_zones_apart() {
    let mut members = members();
    members.apply_heartbeat(at(0), heartbeat("another", "east-a", 1, 1));
    members.apply_heartbeat(at(0), heartbeat("b-1", "east-b", 1, 1));
    members.apply_heartbeat(at(0), heartbeat("west", "west-a", 1, 1));
    assert_eq!(watchers(&members, 100), ["another", "b-1"]);
    members.apply_heartbeat(at(3_000), heartbeat("b-1", "east-b", 1, 2));
    members.apply_heartbeat(at(3_000), heartbeat("own", "east-a", 1, 2));
    assert_eq!(watchers(&members, 3_000), ["own", "b-1"]);
}

/// Guards against shared limits that add up to more than the bound: whoever is listed or was heard counts, also once
/// it is silent, and each one once.
#[test]
fn all_that_are_listed_or_heard_share_the_limits() {
    let listed = |name: &str| ListedInstance {
        instance: name.parse().expect("a name"),
        peer_address: heartbeat(name, "east-a", 1, 1).peer_address,
        zone: Some(zone("east-a")),
    };
    let mut members = members();
    members.set_listed([listed("own"), listed("one"), listed("two")]);
    assert_eq!(members.max_running_instances(), 3);
    members.apply_heartbeat(at(0), heartbeat("one", "east-a", 1, 1));
    members.apply_heartbeat(at(0), heartbeat("three", "west-a", 1, 1));
    assert_eq!(members.max_running_instances(), 4);
    members.apply_heartbeat(at(9_000), heartbeat("three", "west-a", 2, 1));
    members.add_listed([listed("three"), listed("four")]);
    assert_eq!(members.max_running_instances(), 5);
    members.remove_listed(&"one".parse().expect("a name"));
    assert_eq!(members.max_running_instances(), 5);
    members.set_listed([listed("own")]);
    assert_eq!(members.max_running_instances(), 3);
}

fn relays(members: &Members, now_ms: u64) -> Vec<String> {
    let relays = members.relays(at(now_ms), &zone("east-a"));
    relays
        .into_iter()
        .map(|relay| relay.instance.to_string())
        .collect()
}

/// A deployment starts, and its first configuration is written a second later. Nobody is ready before; were
/// only ready instances relays, each instance would watch the store for itself meanwhile.
#[test]
fn instances_that_are_starting_are_relays_as_long_as_nobody_is_ready() {
    let mut members = members();
    let starting = |name: &str| Heartbeat {
        phase: Phase::Starting,
        ..heartbeat(name, "east-a", 1, 1)
    };
    members.set_own_phase(at(0), Phase::Starting);
    members.apply_heartbeat(at(1), starting("another"));
    members.apply_heartbeat(at(1), starting("third"));
    assert_eq!(relays(&members, 2), ["another", "own"]);
    members.apply_heartbeat(at(3), heartbeat("third", "east-a", 1, 2));
    assert_eq!(relays(&members, 4), ["third"]);
}

/// An instance that starts while the store is away knows nobody. It asks its seeds until one answers or the list
/// is read, and no longer: each question is a datagram to another region.
#[test]
fn seeds_are_asked_until_somebody_is_known() {
    let seed: std::net::SocketAddr = ([10, 0, 9, 9], 7_660).into();
    let mut starting = members();
    starting.set_own_phase(at(0), Phase::Starting);
    starting.set_seeds([seed, heartbeat("own", "east-a", 1, 1).peer_address]);
    assert_eq!(starting.recipients(at(100), 1), [seed]);
    starting.apply_heartbeat(at(200), heartbeat("peer", "west-a", 1, 1));
    assert!(!starting.recipients(at(300), 3).contains(&seed));
    let mut listed = members();
    listed.set_seeds([seed]);
    listed.set_listed([]);
    assert!(!listed.recipients(at(100), 1).contains(&seed));
}

#[test]
fn only_a_ready_instance_answers_and_only_one_that_starts() {
    let mut members = members();
    let starting = Heartbeat {
        phase: Phase::Starting,
        ..heartbeat("peer", "west-a", 1, 1)
    };
    assert!(members.reply_to_heartbeat(&starting).is_some());
    assert!(
        members
            .reply_to_heartbeat(&heartbeat("peer", "west-a", 1, 1))
            .is_none()
    );
    members.set_own_phase(at(1), Phase::Starting);
    assert!(members.reply_to_heartbeat(&starting).is_none());
}
