//! Tests of the requests that placement refuses, and of the servers that replace unusable ones.

mod support;

use damaskvane_routing::placement::{self, Choice, RefusalReason};
use damaskvane_routing::pool::{ExchangeEnd, ExchangeId, LoadReport, ServerReport};
use support::{
    at, choose, configuration, fill, pick, placer, pool_of, request, route, server_id, service_id,
};

/// Guards against an overload that outlasts its cause. Load exceeds the slots and queues grow. If objects then spread
/// over more servers, each request takes longer, the queues grow further, and the overload stays after the load has
/// fallen. An object stays with its two servers, and requests beyond their capacity are refused at once.
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

/// Guards against a server that counts as full permanently. A burst of other instances' requests fills the server, and
/// its last report states so. Without a request the server sends no further report, so the refusals must end once the
/// report is old.
#[test]
fn a_full_server_receives_requests_again_once_its_report_is_old() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let full = ServerReport {
        load: Some(LoadReport {
            running: 6,
            waiting: 18,
            slots: 6,
        }),
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

/// Guards against load limits that don't fall with the priority: under load, the less urgent requests of a service must
/// be refused first.
#[test]
fn less_urgent_requests_are_refused_at_a_lower_load() {
    let settings = placement::PlacementSettings::default();
    let limits: Vec<f64> = (0..4).map(|rank| settings.load_limit(rank)).collect();
    assert!(
        limits.windows(2).all(|pair| pair[0] > pair[1]),
        "{limits:?}"
    );
}

/// Guards against a request that leaves the allowed regions of its route because no server is left there.
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

/// Guards against a wrong usual time. The servers of an object are cold, and another server takes the request. If that
/// server counted as one that has handled the object recently, its slow first run would distort the usual time.
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
