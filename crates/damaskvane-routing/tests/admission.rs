//! Tests of the requests that placement refuses, and of the servers that replace unusable ones.
//!
//! Each object has a first and a second server. A server's slots are the number of requests that it runs at the same
//! time; further requests wait in its queue. A cold server has started recently and gets few requests. A first run is
//! the slow run of a request on a server that has not handled the request's object recently. The usual time is the
//! duration that placement expects of an exchange, from earlier exchanges of the route.

mod support;

use damaskvane_routing::placement::{self, Choice, RefusalReason};
use damaskvane_routing::pool::{ExchangeEnd, ExchangeId, LoadReport, ServerReport};
use support::{
    at, choose, configuration, fill, pick, placer, pool_of, request, route, server_id, service_id,
};

/// Guards against an overload that outlasts its cause. More requests arrive than the slots can run, and queues grow. If
/// objects were then sent to more than two servers each, slow first runs would fill the slots, the queues would grow
/// further, and the overload would stay after the load has fallen. An object stays with its two servers, and requests
/// beyond the capacity of both are refused at once.
#[test]
fn a_request_is_refused_when_both_servers_of_its_object_are_full() {
    let mut pool = pool_of(&[("east-a", 4)]);
    let first = pick(&mut pool, "east-a", 7).server;
    fill(&mut pool, first.as_str(), 15);
    let second = pick(&mut pool, "east-a", 7).server;
    assert_ne!(first, second);
    fill(&mut pool, second.as_str(), 15);
    match choose(&mut pool, "east-a", 7) {
        Choice::Refuse(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::Overloaded);
            assert!(refusal.retry_after_ms > 0);
        }
        Choice::Send(pick) => panic!("sent to {}", pick.server),
    }
}

/// Guards against a server that counts as full permanently. Requests of other instances fill the server, and its last
/// load report to this instance states that it is full. A server reports its load only with a response, so this
/// instance must send it requests again once the report is old.
#[test]
fn a_full_server_receives_requests_again_once_its_report_is_old() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let full = ServerReport {
        load: Some(LoadReport {
            running: 6,
            waiting: 18,
            slots: 6,
        }),
        ..ServerReport::default()
    };
    let mut server = pool.server_mut(&server_id("east-a-0")).expect("a server");
    for number in 0..5 {
        server.record_sent(at(990), ExchangeId(number), 100.0);
        server.record_end(at(1_000), ExchangeId(number), ExchangeEnd::Answered, full);
    }
    drop(server);
    assert!(matches!(choose(&mut pool, "east-a", 7), Choice::Refuse(_)));
    let (route, service) = (route(), service_id());
    let request = request(&route, &service, 7);
    let later = placer("east-a").choose(at(4_000), &pool, &configuration(), &request, 1);
    assert!(matches!(later, Choice::Send(_)));
}

/// Guards against load limits that don't fall with the priority. The load limit is the load of a server above which a
/// request is refused, and a less urgent request must have a lower limit.
#[test]
fn less_urgent_requests_are_refused_at_a_lower_load() {
    let settings = placement::PlacementSettings::default();
    let limits: Vec<f64> = (0..4).map(|rank| settings.load_limit(rank)).collect();
    assert!(
        limits.windows(2).all(|pair| pair[0] > pair[1]),
        "{limits:?}"
    );
}

/// Guards against a request that is sent outside the allowed regions of its route because these regions have no server.
#[test]
fn a_request_is_refused_rather_than_sent_outside_its_allowed_regions() {
    let pool = pool_of(&[("west-a", 3)]);
    let mut restricted = route();
    restricted.allowed_regions = vec!["east".parse().expect("a name")];
    let service = service_id();
    let request = request(&restricted, &service, 3);
    let choice = placer("east-a").choose(at(1_000), &pool, &configuration(), &request, 1);
    assert!(matches!(choice, Choice::Refuse(refusal) if refusal.reason == RefusalReason::NoServer));
}

/// Guards against a wrong usual time. Both servers of an object are cold, and a third server receives the request. If
/// placement assumed that the third server has handled the object recently, the slow first run there would distort the
/// usual time.
#[test]
fn a_replacement_for_cold_servers_is_not_assumed_to_have_handled_the_object() {
    let mut pool = pool_of(&[("east-a", 4), ("west-a", 4)]);
    for server in 0..4 {
        for zone in ["east-a", "west-a"] {
            let id = server_id(&format!("{zone}-{server}"));
            pool.server_mut(&id)
                .expect("a server")
                .extend_warmup(at(0), 60_000);
        }
    }
    let object = 3 << 32;
    let object_servers: Vec<_> = (0..2)
        .map(|_| {
            let first = pick(&mut pool, "east-a", object).server;
            let mut server = pool.server_mut(&first).expect("a server");
            for number in 0..40 {
                server.record_sent(at(999), ExchangeId(number), 100.0);
                server.record_end(
                    at(999),
                    ExchangeId(number),
                    ExchangeEnd::Abandoned,
                    ServerReport::default(),
                );
            }
            first
        })
        .collect();
    let replacement = pick(&mut pool, "east-a", object);
    assert!(!object_servers.contains(&replacement.server));
    assert!(
        replacement.rank >= 2 && !replacement.is_warm,
        "{replacement:?}"
    );
}
