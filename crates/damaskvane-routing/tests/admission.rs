//! When requests are refused, and what stands in for servers that can't be used.

mod support;

use damaskvane_routing::placement::{self, Choice, RefusalReason};
use damaskvane_routing::pool::{ExchangeEnd, ExchangeId, LoadReport, ServerReport};
use support::{
    at, choose, configuration, fill, pick, placer, pool_of, request, route, server_id, service_id,
};

/// Queues grow because load exceeds the slots. Spreading objects over more servers then makes each request
/// take longer and the queues grow further, and the load stays lost after it has fallen again. The objects
/// stay with their two servers, and what these can't take is refused at once.
#[test]
fn a_full_pair_of_servers_refuses_and_does_not_spread() {
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

/// A burst fills a server with the requests of other instances, and its last report says so. Taken to be full, it
/// gets no request and sends no other report: the refusals must end by themselves once the report is old.
#[test]
fn a_server_that_was_full_once_is_asked_again() {
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

/// Under load the less urgent requests of a service must be refused first.
#[test]
fn the_less_urgent_are_refused_at_a_lower_load() {
    let settings = placement::PlacementSettings::default();
    let limits: Vec<f64> = (0..4).map(|rank| settings.load_limit(rank)).collect();
    assert!(
        limits.windows(2).all(|pair| pair[0] > pair[1]),
        "{limits:?}"
    );
}

/// A route may be served only in its regions; a server elsewhere must not see the request even if no other
/// is left.
#[test]
fn a_route_that_is_bound_to_regions_is_refused_rather_than_sent_elsewhere() {
    let pool = pool_of(&[("west-a", 3)]);
    let mut bound = route();
    bound.allowed_regions = vec!["east".parse().expect("a name")];
    let service = service_id();
    let request = request(&bound, &service, 3);
    let choice = placer("east-a").choose(at(1_000), &pool, &configuration(), &request, 1);
    assert!(matches!(choice, Choice::Refuse(refusal) if refusal.reason == RefusalReason::NoServer));
}

/// Guards against a server that is taken to remember an object which it never had, since the object's own servers are
/// cold: usual times would be learned wrong from its slow first run.
#[test]
fn who_stands_in_for_cold_servers_is_not_taken_to_remember_the_object() {
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
    let own: Vec<_> = (0..2)
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
    let stand_in = pick(&mut pool, "east-a", object);
    assert!(!own.contains(&stand_in.server));
    assert!(stand_in.rank >= 2 && !stand_in.is_warm, "{stand_in:?}");
}
