//! Tests of which instances count as alive, which instances a lookup returns, and which instances watch the store or
//! relay its changes.
//!
//! A lookup is a client's request for the addresses of instances. An incarnation is one start of an instance's process.

mod support;

use damaskvane_core::ids;
use damaskvane_routing::configuration::RegionSet;
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

fn looked_up_ports(members: &Members, now_ms: u64, zone_name: &str) -> Vec<u16> {
    let region = regions()[&zone(zone_name)].clone();
    let zone = zone(zone_name);
    let addresses = members.look_up(at(now_ms), Some(&zone), Some(&region), &RegionSet::Any);
    addresses.iter().map(std::net::SocketAddr::port).collect()
}

fn port(name: &str) -> u16 {
    name.bytes().map(u16::from).sum()
}

/// Guards against outdated routes and servers. The store rejects an instance just after its start, before the
/// instance's record is written. No other instance has a record of it, so it receives no changes; if it were ready, its
/// clients would use the outdated state permanently.
#[test]
fn an_instance_without_peers_has_joined_only_after_the_timeout() {
    let members = members();
    assert!(!members.has_joined(at(100)));
    assert!(members.has_joined(at(PeerSettings::default().join_timeout_ms)));
}

#[test]
fn an_instance_has_joined_once_it_is_listed_or_has_received_a_heartbeat() {
    let mut listed = members();
    listed.set_listed([]);
    assert!(!listed.has_joined(at(1)));
    listed.set_registered();
    assert!(listed.has_joined(at(1)));
    let mut with_peer = members();
    with_peer.apply_heartbeat(at(1), heartbeat("peer", "west-a", 1, 1));
    assert!(with_peer.has_joined(at(1)));
}

/// Guards against clients that wait a second for each new connection because a lookup returns an instance that has lost
/// power and sends no heartbeats.
#[test]
fn a_lookup_omits_a_silent_instance() {
    let mut members = members();
    members.apply_heartbeat(at(0), heartbeat("peer", "west-a", 1, 1));
    assert_eq!(looked_up_ports(&members, 1_000, "west-a"), [port("peer")]);
    assert_eq!(looked_up_ports(&members, 5_000, "west-a"), [port("own")]);
}

/// Guards against clients that are sent to a stopping instance: an older heartbeat arrives after the heartbeat that
/// reported the stop.
#[test]
fn a_lookup_omits_a_leaving_instance_after_a_late_heartbeat() {
    let mut members = members();
    let leaving = Heartbeat {
        phase: Phase::Leaving,
        ..heartbeat("peer", "west-a", 1, 8)
    };
    members.apply_heartbeat(at(0), heartbeat("peer", "west-a", 1, 6));
    members.apply_heartbeat(at(100), leaving);
    members.apply_heartbeat(at(120), heartbeat("peer", "west-a", 1, 7));
    assert_eq!(looked_up_ports(&members, 200, "west-a"), [port("own")]);
}

/// Guards against a restarted instance that no lookup returns: it numbers its heartbeats from the start again. Compared
/// with the numbers of the instance's previous incarnation, the new heartbeats would count as outdated.
#[test]
fn a_lookup_returns_a_restarted_instance() {
    let mut members = members();
    members.apply_heartbeat(at(0), heartbeat("peer", "west-a", 1, 500));
    members.apply_heartbeat(at(2_000), heartbeat("peer", "west-a", 2, 1));
    assert_eq!(looked_up_ports(&members, 2_100, "west-a"), [port("peer")]);
}

/// Guards against callers that are sent far away when all instances of their zone are lost: the other instances of
/// their region are nearest.
#[test]
fn a_zone_without_instances_is_served_from_its_region() {
    let mut members = members();
    members.apply_heartbeat(at(0), heartbeat("west", "west-a", 1, 1));
    assert_eq!(looked_up_ports(&members, 100, "east-b"), [port("own")]);
}

/// Guards against an instance that leaves itself out of lookups after its process was suspended: an instance counts
/// itself as alive even if its own last heartbeat is old.
#[test]
fn a_lookup_returns_this_instance_while_it_is_ready() {
    let members = members();
    assert_eq!(looked_up_ports(&members, 60_000, "east-a"), [port("own")]);
}

/// Guards against request bodies in a region that must not receive them. A route is restricted to some regions, and the
/// callers' own region has no instance left. An instance that a lookup selected at random could be in a region outside
/// the restriction.
#[test]
fn callers_without_nearby_instances_receive_those_of_allowed_regions() {
    let mut members = members();
    members.apply_heartbeat(at(0), heartbeat("west", "west-a", 1, 1));
    let allowed = RegionSet::Only(vec!["west".parse().expect("a name")]);
    let (zone, region) = (zone("north-a"), "north".parse().expect("a name"));
    let addresses = members.look_up(at(100), Some(&zone), Some(&region), &allowed);
    let ports: Vec<u16> = addresses.iter().map(std::net::SocketAddr::port).collect();
    assert_eq!(ports, [port("west")]);
}

/// Guards against request bodies in a region that no route of the service allows, because its routes have no region in
/// common.
#[test]
fn callers_of_a_service_without_a_common_region_receive_only_instances_of_their_region() {
    let mut members = members();
    members.apply_heartbeat(at(0), heartbeat("west", "west-a", 1, 1));
    let none = RegionSet::Only(Vec::new());
    let ports = |zone_name: &str, region: &str| -> Vec<u16> {
        let (zone, region) = (zone(zone_name), region.parse().expect("a name"));
        let addresses = members.look_up(at(100), Some(&zone), Some(&region), &none);
        addresses.iter().map(std::net::SocketAddr::port).collect()
    };
    assert_eq!(ports("west-b", "west"), [port("west")]);
    assert_eq!(ports("north-a", "north"), Vec::<u16>::new());
}

/// Adds an instance that refuses requests with keys, as it does without a recent proof that its configuration is current.
fn add_limited(members: &mut Members, name: &str, zone_name: &str) {
    let limited = Heartbeat {
        phase: Phase::Limited,
        ..heartbeat(name, zone_name, 1, 1)
    };
    members.apply_heartbeat(at(0), limited);
}

/// Guards against callers who are sent to the nearest instances while these refuse nearly all requests, although others
/// serve them.
#[test]
fn callers_receive_instances_that_serve_keys_before_nearer_ones_that_do_not() {
    let mut members = members();
    add_limited(&mut members, "west", "west-a");
    add_limited(&mut members, "b-1", "east-b");
    assert_eq!(looked_up_ports(&members, 100, "east-b"), [port("own")]);
    assert_eq!(looked_up_ports(&members, 100, "west-a"), [port("own")]);
}

/// Guards against lookups without an address when the store is down for all instances: some routes need no key.
#[test]
fn callers_receive_the_nearest_instances_if_none_serves_keys() {
    let mut members = members();
    members.set_own_phase(at(1), Phase::Limited);
    add_limited(&mut members, "west", "west-a");
    assert_eq!(looked_up_ports(&members, 100, "west-a"), [port("west")]);
    assert_eq!(looked_up_ports(&members, 100, "east-a"), [port("own")]);
}

/// Guards against a zone without relays and aggregators when none of its instances serves keys: the changes that end
/// this state reach the zone through them.
#[test]
fn instances_that_do_not_serve_keys_remain_relays_and_aggregators() {
    let mut members = members();
    members.set_own_phase(at(1), Phase::Limited);
    add_limited(&mut members, "zz", "east-a");
    assert!(members.is_aggregator(at(100)));
    let relays = members.relays(at(100), &zone("east-a"));
    assert_eq!(relays.len(), 2);
    assert_eq!(watchers(&members, 100), ["own"]);
}

fn watchers(members: &Members, now_ms: u64) -> Vec<String> {
    let region = regions()[&zone("east-a")].clone();
    let watchers = members.watchers(at(now_ms), &region);
    watchers
        .iter()
        .map(|one| one.instance.to_string())
        .collect()
}

/// Guards against a region whose watchers of the store are all in one zone, so that the loss of the zone leaves none.
#[test]
fn a_region_has_watchers_in_different_zones() {
    let mut members = members();
    members.apply_heartbeat(at(0), heartbeat("another", "east-a", 1, 1));
    members.apply_heartbeat(at(0), heartbeat("b-1", "east-b", 1, 1));
    members.apply_heartbeat(at(0), heartbeat("west", "west-a", 1, 1));
    assert_eq!(watchers(&members, 100), ["another", "b-1"]);
    members.apply_heartbeat(at(3_000), heartbeat("b-1", "east-b", 1, 2));
    members.apply_heartbeat(at(3_000), heartbeat("own", "east-a", 1, 2));
    assert_eq!(watchers(&members, 3_000), ["own", "b-1"]);
}

/// Guards against shares of a limit that add up to more than the limit: every instance that is listed or from which a
/// heartbeat was received counts once, also after its heartbeats have stopped.
#[test]
fn all_listed_instances_and_senders_of_heartbeats_share_the_limits() {
    let listed = |name: &str| ListedInstance {
        instance: name.parse().expect("a name"),
        peer_address: heartbeat(name, "east-a", 1, 1).peer_address,
        zone: Some(zone("east-a")),
        created: 0,
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

/// Guards against a new deployment in which every instance watches the store itself. The first configuration is written
/// a second after the start, and until then no instance is ready. If only ready instances relayed store changes, each
/// instance would have to watch the store.
#[test]
fn starting_instances_are_relays_until_an_instance_is_ready() {
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

/// Guards against needless datagrams to another region. An instance that starts during a store outage knows no other
/// instance. It sends heartbeats to its seeds until a ready instance replies or the list is read, and no longer.
#[test]
fn seeds_receive_heartbeats_until_a_peer_is_known() {
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
fn only_a_ready_instance_replies_and_only_to_a_starting_instance() {
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
