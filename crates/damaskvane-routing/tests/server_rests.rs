//! Tests of where requests go while servers rest, and of how their load returns.

mod support;

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_routing::placement::{Choice, RefusalReason};
use damaskvane_routing::pool::{
    ExchangeEnd, ExchangeId, ServerKey, ServerPool, ServerRest, ServerState, StatementSource,
};
use support::statements::{check, choose_at, hash_of, leaving, respond, rest};
use support::{
    at, choose, configuration, entry, fill, pick, placer, pool_of, request, route, server_id,
    service_id,
};

/// The first server of an object rests. Its request goes to another server rather than to none, also while no request may
/// leave the region.
#[test]
fn requests_of_a_resting_server_go_to_another_one() {
    let mut pool = pool_of(&[("east-a", 3)]);
    let first = pick(&mut pool, "east-a", 7).server;
    respond(&mut pool, 990, first.as_str(), &rest("3"));
    let mut placer = placer("east-a");
    for _ in 0..50 {
        match choose_at(&mut placer, &pool, 1_000, 7) {
            Choice::Send(pick) => assert_ne!(pick.server, first),
            Choice::Refuse(refusal) => panic!("refused: {:?}", refusal.reason),
        }
    }
}

/// Both usual servers of an object rest and many others don't: none of its requests may be refused.
#[test]
fn a_request_finds_the_one_server_that_does_not_rest() {
    let mut pool = pool_of(&[("east-a", 8), ("east-b", 6), ("west-a", 20)]);
    let names: Vec<_> = pool.servers().map(|one| one.entry.id.clone()).collect();
    let (last, resting) = names.split_last().expect("servers");
    for name in resting {
        respond(&mut pool, 990, name.as_str(), &rest("3"));
    }
    for object in (0..200).map(hash_of) {
        assert_eq!(pick(&mut pool, "east-a", object).server, *last);
    }
}

/// The first server of an object rests and many others are full. The one that has room must be found.
#[test]
fn a_request_finds_the_one_server_that_is_not_full() {
    let mut pool = pool_of(&[("east-a", 20), ("west-a", 20)]);
    let first = pick(&mut pool, "east-a", hash_of(5)).server;
    respond(&mut pool, 990, first.as_str(), &rest("3"));
    let names: Vec<_> = pool.servers().map(|one| one.entry.id.clone()).collect();
    let others: Vec<_> = names.into_iter().filter(|name| *name != first).collect();
    for (number, free) in others.iter().enumerate() {
        let mut pool = pool_of(&[("east-a", 20), ("west-a", 20)]);
        respond(&mut pool, 990, first.as_str(), &rest("3"));
        for full in others.iter().filter(|name| *name != free) {
            fill(&mut pool, full.as_str(), 15);
        }
        let found = pick(&mut pool, "east-a", hash_of(5)).server;
        assert_eq!(found, *free, "server {number}");
    }
}

/// While its region has a server that takes requests, a request stays there once as many have left as may.
#[test]
fn requests_of_resting_servers_keep_to_the_limit_on_shifts() {
    let mut pool = pool_of(&[("east-a", 3), ("west-a", 3)]);
    for name in ["east-a-0", "east-a-1"] {
        respond(&mut pool, 990, name, &rest("10"));
    }
    let mut placer = placer("east-a");
    // A steady load, so that the share of the window before is known.
    let mut far = [0_u32; 5];
    for count in 0..10_000_u64 {
        let now_ms = 1_000 + count;
        let Choice::Send(pick) = choose_at(&mut placer, &pool, now_ms, hash_of(count % 97)) else {
            panic!("refused");
        };
        if pick.zone.as_str() == "west-a" {
            far[(count / 2_000) as usize] += 1;
        }
    }
    let of_two_seconds = far.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    let most = of_two_seconds.max().unwrap_or_default();
    assert!(
        most <= 300,
        "{far:?} of 2,000 requests each left the region"
    );
}

/// The first server of an object rests, and no request may leave the region: the object's second server there takes its
/// requests, and after that any other one of the region, rather than one far away.
#[test]
fn requests_stay_in_their_region_while_it_has_a_server_that_takes_them() {
    // Some objects are at home in the other region, whose servers are many for its callers.
    let far = |pool: &ServerPool| {
        let mut placer = placer("east-a");
        let choices =
            (0..400).map(|count| choose_at(&mut placer, pool, 2_000 + count, hash_of(count)));
        let far = choices.filter(
            |choice| matches!(choice, Choice::Send(pick) if pick.zone.as_str() == "west-a"),
        );
        far.count()
    };
    let mut pool = pool_of(&[("east-a", 6), ("west-a", 6)]);
    let usual = far(&pool);
    for number in 0..5 {
        respond(&mut pool, 990, &format!("east-a-{number}"), &rest("20"));
    }
    // The one that takes requests is busy, and those of the other region are idle.
    fill(&mut pool, "east-a-5", 9);
    // Within one window no more may leave than the share by which it may rise: half of 15 in 100.
    let resting = far(&pool);
    assert!(
        resting <= usual + 40,
        "{resting} of 400 left the region, {usual} before"
    );
}

/// All servers rest: what can't be served is refused at once, and told when the first rest ends, not earlier and not all at
/// one moment.
#[test]
fn a_request_is_refused_until_the_first_rest_ends() {
    let mut pool = pool_of(&[("east-a", 2)]);
    respond(&mut pool, 990, "east-a-0", &rest("5"));
    respond(&mut pool, 990, "east-a-1", &rest("2"));
    let mut waits = Vec::new();
    for spread in [0.0, 0.5, 0.99] {
        let (route, service) = (route(), service_id());
        let mut request = request(&route, &service, 7);
        request.spread = spread;
        let choice = placer("east-a").choose(at(1_000), &pool, &configuration(), &request, 1);
        let Choice::Refuse(refusal) = choice else {
            panic!("sent");
        };
        assert_eq!(refusal.reason, RefusalReason::Resting);
        waits.push(refusal.retry_after_ms);
    }
    assert!(waits[0] >= 1_990 && waits[0] <= 2_300, "{waits:?}");
    assert!(waits[2] - waits[0] >= 500, "{waits:?}");
}

/// Two dozen instances end a rest in the same moment. Their load must come back by and by, urgent requests first.
#[test]
fn load_returns_by_steps_after_a_rest() {
    let mut rest = ServerRest::default();
    rest.begin(at(1_000), SpanMs::new(3_000), StatementSource::Response);
    let shares: Vec<_> = (4_000..=6_000)
        .step_by(100)
        .map(|now_ms| rest.returned_share(at(now_ms), 0))
        .collect();
    assert!(shares[0] < 0.01, "{shares:?}");
    assert!(
        shares.windows(2).all(|pair| pair[1] - pair[0] < 0.1),
        "{shares:?}"
    );
    assert!(
        shares.last().is_some_and(|share| *share >= 1.0),
        "{shares:?}"
    );
    for now_ms in (4_000..6_000).step_by(50) {
        let urgent = rest.returned_share(at(now_ms), 0);
        let other = rest.returned_share(at(now_ms), 3);
        assert!(urgent >= other, "{urgent} and {other} at {now_ms}");
    }
    assert!(!rest.is_over(at(5_000)));
    assert!(rest.is_over(at(6_001)));
}

/// A short rest comes while requests return from a long one. It must not bring all of them back at once.
#[test]
fn a_short_rest_does_not_shorten_the_return_from_a_long_one() {
    let mut rest = ServerRest::default();
    rest.begin(at(1_000), SpanMs::new(3_000), StatementSource::Response);
    assert!(rest.returned_share(at(4_200), 0) < 0.2);
    rest.begin(at(4_200), SpanMs::new(50), StatementSource::Response);
    assert!(rest.returned_share(at(4_400), 0) < 0.2);
    assert!(rest.returned_share(at(5_700), 0) >= 1.0);
    // The next one is short again, long after the return.
    rest.begin(at(9_000), SpanMs::new(50), StatementSource::Response);
    assert!(rest.returned_share(at(9_110), 0) >= 1.0);
}

/// The objects of a server come back to it after its rest, some after the others, and all of them within 2 s.
#[test]
fn objects_return_after_a_rest() {
    let mut pool = pool_of(&[("east-a", 4)]);
    let objects: Vec<u64> = (0..400)
        .map(hash_of)
        .filter(|object| pick(&mut pool, "east-a", *object).server == server_id("east-a-0"))
        .collect();
    respond(&mut pool, 990, "east-a-0", &rest("2"));
    let mut placer = placer("east-a");
    let mut returned = |now_ms| {
        let placed = objects.iter().filter(|object| {
            let choice = choose_at(&mut placer, &pool, now_ms, **object);
            matches!(choice, Choice::Send(pick) if pick.server == server_id("east-a-0"))
        });
        placed.count() as f64 / objects.len() as f64
    };
    assert!(returned(2_980) < 0.01);
    let half = returned(3_700);
    assert!((0.2..0.8).contains(&half), "{half} returned after 0.7 s");
    assert!(returned(4_990) > 0.99);
}

/// The only server has just rested. It must get some requests at once rather than none, but not all of them.
#[test]
fn a_server_that_has_rested_serves_what_no_other_can() {
    let mut pool = pool_of(&[("east-a", 1)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("2"));
    let sent = (0..100).filter(|object| {
        let choice = choose_at(&mut placer("east-a"), &pool, 3_001, *object);
        matches!(choice, Choice::Send(_))
    });
    assert_eq!(sent.count(), 100);
    let mut server = pool.server_mut(&server_id("east-a-0")).expect("a server");
    server.record_sent(at(3_000), ExchangeId(1), 100.0);
    drop(server);
    assert!(matches!(
        choose_at(&mut placer("east-a"), &pool, 3_001, 7),
        Choice::Refuse(_)
    ));
}

/// Two dozen instances end a rest at the same moment, and no other server serves. All together must not send more at once than
/// the server has slots.
#[test]
fn many_instances_share_the_slots_of_a_server_that_has_rested() {
    let mut pool = pool_of(&[("east-a", 1)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("2"));
    let sent_with = |spread| {
        let (route, service) = (route(), service_id());
        let mut request = request(&route, &service, hash_of(3));
        request.spread = spread;
        let choice = placer("east-a").choose(at(3_001), &pool, &configuration(), &request, 24);
        matches!(choice, Choice::Send(_))
    };
    // Six slots for 24 instances.
    assert!(sent_with(0.2));
    assert!(!sent_with(0.3));
}

/// A rejection with a rest says what the server needs. If it counted as a failure too, the load would come back seconds late.
#[test]
fn a_rejection_with_a_rest_is_no_failure() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let mut server = pool.server_mut(&server_id("east-a-0")).expect("a server");
    for (number, text) in [(1, "3"), (2, "0.05")] {
        server.record_sent(at(800), ExchangeId(number), 100.0);
        server.record_end(at(900), ExchangeId(number), ExchangeEnd::Shed, rest(text));
        let failures = server.failure_share(at(900));
        assert!((failures > 0.0) == (number == 2), "{failures} after {text}");
    }
}

/// A region's load is that of the servers in use: half of them rest, and the objects must not be spread as if it were idle.
#[test]
fn resting_servers_are_no_capacity() {
    let mut pool = pool_of(&[("east-a", 4), ("west-a", 1)]);
    for name in ["east-a-0", "east-a-1", "west-a-0"] {
        respond(&mut pool, 990, name, &rest("3"));
    }
    let east = "east".parse().expect("a name");
    assert_eq!(pool.resting_slots(at(1_000), &service_id(), &east), 12);
    assert_eq!(pool.resting_slots(at(4_000), &service_id(), &east), 0);
}

/// A client whose request was rejected comes back when a server takes it: at once if one does not rest.
#[test]
fn the_time_until_a_server_is_available_is_that_of_the_first() {
    let mut pool = pool_of(&[("east-a", 2), ("west-a", 1)]);
    let east = |region: &ids::RegionId| region.as_str() == "east";
    let time = |pool: &ServerPool| pool.time_to_available(at(1_000), &service_id(), east);
    respond(&mut pool, 900, "east-a-0", &rest("5"));
    assert_eq!(time(&pool), Some(SpanMs::ZERO));
    respond(&mut pool, 900, "east-a-1", &rest("2"));
    assert_eq!(time(&pool), Some(SpanMs::new(1_901)));
    respond(&mut pool, 900, "east-a-1", &leaving());
    assert_eq!(time(&pool), Some(SpanMs::new(4_901)));
    let mut draining = entry("east-a-0", "east-a");
    draining.state = ServerState::Draining;
    draining.sequence += 1;
    pool.apply(at(950), draining);
    assert_eq!(time(&pool), None);
}

/// Without rests nothing is looked up and nothing is forgotten.
#[test]
fn a_rest_that_is_over_is_forgotten() {
    let mut pool = pool_of(&[("east-a", 1)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("2"));
    pool.expire(at(3_500));
    let server = |pool: &ServerPool| {
        pool.server(&server_id("east-a-0"))
            .expect("one")
            .availability
    };
    assert_ne!(server(&pool).rest, ServerRest::default());
    pool.expire(at(5_000));
    assert_eq!(server(&pool).rest, ServerRest::default());
    assert!(matches!(choose(&mut pool, "east-a", 7), Choice::Send(_)));
}

/// An instance that starts hears that servers rest towards others. It must not begin with a burst at all of them, nor leave
/// them unused where no other serves.
#[test]
fn an_instance_that_starts_uses_servers_with_care_that_rest_towards_others() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let late = ServerKey::of(&server_id("east-a-late"));
    for (key, name) in [
        (ServerKey::of(&server_id("east-a-0")), None),
        (late, Some("east-a-late")),
    ] {
        pool.learn_rest_of_other(at(100), key, SpanMs::new(3_000));
        if let Some(name) = name {
            pool.apply(at(200), entry(name, "east-a"));
        }
    }
    pool.apply(at(200), entry("east-a-free", "east-a"));
    for object in (0..100).map(hash_of) {
        assert_eq!(
            pick(&mut pool, "east-a", object).server.as_str(),
            "east-a-free"
        );
    }
    pool.remove(at(1_000), &server_id("east-a-free"));
    assert!(matches!(choose(&mut pool, "east-a", 7), Choice::Send(_)));
    assert_eq!(check(&pool, 1_000, "east-a-0"), Ok(()));
}
