//! Tests of whether an instance finds out that it is partitioned from the servers, and who carries its connections.

mod support;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::configuration::RegionSet;
use damaskvane_routing::peers::{Heartbeat, Phase};
use damaskvane_routing::pool::{
    RestStatement, ServerKey, ServerPool, ServerReport, ServerState, StatementSource,
};
use damaskvane_routing::reachability::{
    Carrier, Check, ConnectFailure, Reach, Reachability, ReachabilitySettings, TunnelPeers,
    TunnelRefusal, TunnelWish,
};
use support::{at, entry, pool_of, server_id, zone};

fn reachability() -> Reachability {
    Reachability::new(ReachabilitySettings::default())
}

fn server(number: usize) -> ids::BackendServerId {
    server_id(&format!("east-a-{number}"))
}

/// Lets this many servers refuse connections, and another instance open one to the first.
fn partition(reach: &mut Reachability, now: TimeMs, servers: usize) {
    for number in 0..servers {
        reach.record_open_failed(now, &server(number), ConnectFailure::Refused);
    }
    assert!(reach.record_opened_by_peer(now, &server(0)));
}

/// Guards against a single dead server, or servers that are dead for all, that look like a partition.
#[test]
fn servers_that_died_are_no_partition() {
    let mut reach = reachability();
    reach.record_open_failed(at(10), &server(0), ConnectFailure::Refused);
    reach.record_opened_by_peer(at(20), &server(0));
    assert_eq!(reach.reach(), Reach::Direct, "one server alone may be down");
    for number in 1..4 {
        reach.record_open_failed(at(30), &server(number), ConnectFailure::NoAnswer);
    }
    assert_eq!(reach.reach(), Reach::Doubtful);
    reach.record_opened(at(40), &server(5));
    assert_eq!(reach.reach(), Reach::Direct, "another server is reached");
    assert!(!reach.record_opened_by_peer(at(50), &server(1)));
    assert!(!reach.needs_tunnel(&server(4)));
}

/// Guards against requests for a server that is alone out of reach: others reach it, so it is used through them.
#[test]
fn a_server_alone_out_of_reach_is_used_through_others() {
    let mut reach = reachability();
    reach.record_open_failed(at(10), &server(0), ConnectFailure::NoAnswer);
    reach.record_opened_by_peer(at(20), &server(0));
    reach.record_answered(at(30));
    assert!(reach.needs_tunnel(&server(0)));
    assert!(!reach.needs_tunnel(&server(1)));
    let known: Vec<_> = (0..3).map(server).collect();
    let check = reach.take_due_check(at(1_000), known.iter());
    assert_eq!(check, Some(Check::Return(vec![server(0)])));
    reach.record_opened(at(1_010), &server(0));
    assert!(!reach.needs_tunnel(&server(0)));
}

/// Guards against silence on open connections that goes unnoticed because no connection is opened.
#[test]
fn silence_of_several_servers_raises_doubt_unless_any_server_answers() {
    let mut reach = reachability();
    reach.record_answered(at(100));
    for number in 0..2 {
        reach.record_unanswered(at(400), &server(number), at(90));
    }
    assert_eq!(reach.reach(), Reach::Direct, "a server has answered since");
    for number in 0..2 {
        reach.record_unanswered(at(600), &server(number), at(110));
    }
    assert_eq!(reach.reach(), Reach::Doubtful);
    reach.record_answered(at(610));
    assert_eq!(reach.reach(), Reach::Direct);
}

/// Guards against requests that all wait for one server, so that nothing shows whether the others are reached.
#[test]
fn a_server_that_fails_alone_calls_for_a_control_unless_another_answers() {
    let mut reach = reachability();
    reach.record_answered(at(100));
    reach.record_unanswered(at(500), &server(0), at(110));
    let none = core::iter::empty;
    assert_eq!(reach.take_due_check(at(510), none()), Some(Check::Control));
    assert_eq!(
        reach.take_due_check(at(1_000), none()),
        None,
        "once a failure"
    );
    reach.record_open_failed(at(1_100), &server(0), ConnectFailure::NoAnswer);
    reach.record_answered(at(1_110));
    assert_eq!(reach.take_due_check(at(1_500), none()), None);
}

/// Guards against answers on old connections that hide that no new one opens.
#[test]
fn answers_on_old_connections_do_not_end_the_doubt_about_new_ones() {
    let mut reach = reachability();
    for number in 0..2 {
        reach.record_open_failed(at(100), &server(number), ConnectFailure::Refused);
    }
    reach.record_answered(at(110));
    assert_eq!(reach.reach(), Reach::Doubtful);
}

/// Guards against a return to direct connections after one that opened by chance, and against one that is never looked
/// for.
#[test]
fn a_partition_ends_when_two_servers_are_reached_again() {
    let mut reach = reachability();
    partition(&mut reach, at(0), 3);
    let check = reach.take_due_check(at(1_000), core::iter::empty());
    let Some(Check::Return(servers)) = check else {
        panic!("no look at the servers: {check:?}");
    };
    assert_eq!(servers.len(), 2);
    reach.record_opened(at(1_010), &servers[0]);
    reach.record_open_failed(at(1_020), &servers[1], ConnectFailure::NoAnswer);
    assert_eq!(reach.reach(), Reach::Partitioned);
    reach.record_opened(at(1_100), &servers[1]);
    assert_eq!(reach.reach(), Reach::Direct);
    assert!(!reach.needs_tunnel(&server(2)));
}

/// Guards against a partition that never ends since the servers that were found out of reach have died meanwhile.
#[test]
fn a_partition_ends_although_the_servers_that_showed_it_are_dead() {
    let mut reach = reachability();
    partition(&mut reach, at(0), 2);
    let alive = server(7);
    let mut opened = 0;
    for step in 1..20 {
        let now = at(step * 400);
        if let Some(Check::Return(servers)) = reach.take_due_check(now, [&alive].into_iter()) {
            for id in servers {
                if id == alive {
                    reach.record_opened(now, &id);
                    opened += 1;
                } else {
                    reach.record_open_failed(now, &id, ConnectFailure::Refused);
                }
            }
        }
    }
    assert_eq!(reach.reach(), Reach::Direct, "{opened} connections opened");
}

/// Guards against servers that stay down after a partition because only this instance's own failures said so.
#[test]
fn failures_of_an_isolated_instance_are_forgiven_when_a_connection_opens() {
    let mut reach = reachability();
    reach.record_answered(at(100));
    for number in 0..3 {
        reach.record_open_failed(at(200), &server(number), ConnectFailure::NoAnswer);
    }
    let soon = reach.record_opened(at(300), &server(4));
    assert_eq!(soon, [], "the servers may really have died");
    for number in 0..3 {
        reach.record_open_failed(at(400), &server(number), ConnectFailure::NoAnswer);
    }
    let late = reach.record_opened(at(5_000), &server(0));
    assert_eq!(late, [server(0), server(1), server(2)]);
    for number in 0..3 {
        reach.record_open_failed(at(9_000), &server(number), ConnectFailure::Refused);
    }
    let after_a_quiet_time = reach.record_opened(at(9_100), &server(4));
    assert_eq!(
        after_a_quiet_time,
        [],
        "no sign of life was expected before"
    );
}

/// Guards against an instance that tells others of servers' failures while the failures may be its own.
#[test]
fn a_doubtful_instance_blames_no_server() {
    let mut reach = reachability();
    reach.record_answered(at(100));
    assert_eq!(reach.blame_until(), Some(at(100)));
    for number in 0..2 {
        reach.record_open_failed(at(200), &server(number), ConnectFailure::Refused);
    }
    assert_eq!(reach.blame_until(), None);
    reach.record_opened_by_peer(at(210), &server(0));
    assert_eq!(reach.blame_until(), None);
}

fn carrier() -> Carrier {
    Carrier {
        now: at(1_000),
        is_leaving: false,
        reach: Reach::Direct,
        needs_tunnel: false,
        tunnels: 0,
        max_tunnels: 2,
    }
}

fn refusal(carrier: Carrier, pool: &ServerPool) -> Option<TunnelRefusal> {
    carrier.admit(pool, &server(0)).err()
}

/// Guards against a tunnel through two instances, or around in a loop, and against one that holds up a planned stop.
#[test]
fn an_instance_that_is_cut_off_full_or_leaving_carries_no_tunnel() {
    let pool = pool_of(&[("east-a", 1)]);
    assert_eq!(refusal(carrier(), &pool), None);
    for reach in [Reach::Doubtful, Reach::Partitioned] {
        let partitioned = Carrier { reach, ..carrier() };
        assert_eq!(
            refusal(partitioned, &pool),
            Some(TunnelRefusal::Partitioned)
        );
    }
    let indirect = Carrier {
        needs_tunnel: true,
        ..carrier()
    };
    assert_eq!(refusal(indirect, &pool), Some(TunnelRefusal::Partitioned));
    let full = Carrier {
        tunnels: 2,
        ..carrier()
    };
    assert_eq!(refusal(full, &pool), Some(TunnelRefusal::Busy));
    let leaving = Carrier {
        is_leaving: true,
        ..carrier()
    };
    assert_eq!(refusal(leaving, &pool), Some(TunnelRefusal::Leaving));
}

/// Guards against a tunnel to a server that drains, is unknown or whose zone is evacuated, as the carrying instance knows.
#[test]
fn a_tunnel_leads_only_to_servers_that_may_get_requests() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let unknown = carrier().admit(&pool, &server(9)).err();
    assert_eq!(unknown, Some(TunnelRefusal::UnknownServer));
    pool.set_evacuated(at(0), [zone("east-a")].into());
    assert_eq!(refusal(carrier(), &pool), Some(TunnelRefusal::Evacuated));
    pool.set_evacuated(at(0), [].into());
    let mut draining = entry("east-a-0", "east-a");
    draining.state = ServerState::Draining;
    draining.sequence += 1;
    pool.apply(at(1), draining);
    assert_eq!(refusal(carrier(), &pool), Some(TunnelRefusal::Draining));
}

fn heartbeat(instance: &str, zone_name: &str) -> Heartbeat {
    Heartbeat {
        instance: instance.parse().expect("an id"),
        incarnation: ids::Incarnation::new(1),
        serial: 1,
        zone: zone(zone_name),
        client_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        phase: Phase::Ready,
    }
}

fn choose(peers: &TunnelPeers, regions: &RegionSet, tried: &[ids::InstanceId]) -> Option<String> {
    let heartbeats = [
        (heartbeat("far", "west-a"), "west"),
        (heartbeat("beside", "east-b"), "east"),
        (heartbeat("near", "east-a"), "east"),
    ];
    let regions_of: Vec<ids::RegionId> = heartbeats
        .iter()
        .map(|(_, region)| region.parse().expect("an id"))
        .collect();
    let others = heartbeats.iter().zip(&regions_of);
    let wish = TunnelWish {
        own_zone: &zone("east-a"),
        own_region: &"east".parse().expect("an id"),
        server_zone: &zone("north-a"),
        allowed_regions: regions,
        tried,
        spread: 0.99,
    };
    let others = others.map(|((one, _), region)| (one, Some(region)));
    let chosen = peers.choose(at(1_000), others, &wish);
    chosen.map(|one| one.instance.to_string())
}

/// Guards against a body that passes through a region in which neither its route nor its team may be served.
#[test]
fn a_tunnel_passes_only_through_allowed_regions() {
    let peers = TunnelPeers::new(ReachabilitySettings::default());
    let only = |region: &str| RegionSet::Only(vec![region.parse().expect("an id")]);
    assert_eq!(choose(&peers, &only("west"), &[]), Some("far".into()));
    assert_eq!(choose(&peers, &only("north"), &[]), None);
    assert_eq!(choose(&peers, &RegionSet::Any, &[]), Some("near".into()));
}

/// Guards against an instance that can't carry tunnels and is asked for each of them.
#[test]
fn an_instance_that_failed_is_asked_last() {
    let mut peers = TunnelPeers::new(ReachabilitySettings::default());
    let near: ids::InstanceId = "near".parse().expect("an id");
    let beside: ids::InstanceId = "beside".parse().expect("an id");
    peers.record_failed(at(900), &near);
    let any = RegionSet::Any;
    assert_eq!(choose(&peers, &any, &[]), Some("beside".into()));
    peers.record_failed(at(900), &beside);
    peers.record_failed(at(900), &"far".parse().expect("an id"));
    assert_eq!(choose(&peers, &any, &[]), Some("near".into()));
    assert_eq!(choose(&peers, &any, &[near]), Some("beside".into()));
}

/// A server wants no request from the instance that carries: it must refuse the tunnel and say for how long, or the requests
/// of others reach the server through it.
#[test]
fn an_instance_that_a_server_has_asked_for_rest_carries_no_tunnel_to_it() {
    let mut pool = pool_of(&[("east-a", 2)]);
    let report = ServerReport {
        rest: RestStatement::Rest("3".parse().expect("a time")),
        ..ServerReport::default()
    };
    let source = StatementSource::Response;
    pool.apply_response(at(500), at(490), &server(0), &report, source);
    let remaining = SpanMs::new(2_501);
    assert_eq!(
        refusal(carrier(), &pool),
        Some(TunnelRefusal::Resting(remaining))
    );
    let later = Carrier {
        now: at(3_501),
        ..carrier()
    };
    assert_eq!(refusal(later, &pool), None);
    let leaving = ServerReport {
        is_leaving: true,
        ..ServerReport::default()
    };
    pool.apply_response(at(500), at(490), &server(0), &leaving, source);
    assert_eq!(refusal(later, &pool), Some(TunnelRefusal::Draining));
}

/// The requests of an instance reach a server through another one, which the server has asked for rest.
#[test]
fn the_rests_of_instances_that_carry_are_known_by_server() {
    let mut peers = TunnelPeers::new(ReachabilitySettings::default());
    let peer = "east-a-1".parse().expect("a name");
    let key = ServerKey::of(&server(0));
    peers.record_rest(at(0), &peer, key, SpanMs::new(2_000));
    peers.record_rest(at(100), &peer, key, SpanMs::new(500));
    assert!(peers.rests(at(1_999), &peer, key));
    assert!(!peers.rests(at(2_000), &peer, key));
    assert!(!peers.rests(at(100), &peer, ServerKey::of(&server(1))));
}
