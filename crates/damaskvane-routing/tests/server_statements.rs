//! Tests of what servers say of themselves: rests, leaving, and to which of their incarnations that belongs.

mod support;

use damaskvane_core::time::SpanMs;
use damaskvane_routing::placement::{Choice, Placer, RefusalReason};
use damaskvane_routing::pool::{
    Change, ExchangeEnd, ExchangeId, RestStatement, RetryAfter, ServerKey, ServerPool,
    ServerReport, ServerRest, ServerState, StatementSource, Unavailable,
};
use support::{
    at, choose, configuration, entry, fill, pick, placer, pool_of, request, route, server_id,
    service_id,
};

fn rest(text: &str) -> ServerReport {
    ServerReport {
        rest: RestStatement::Rest(text.parse().expect("a time")),
        ..ServerReport::default()
    }
}

fn leaving() -> ServerReport {
    ServerReport {
        is_leaving: true,
        ..ServerReport::default()
    }
}

/// Applies a response to a request that was sent 10 ms before it.
fn respond(pool: &mut ServerPool, now_ms: u64, name: &str, report: &ServerReport) {
    let source = StatementSource::Response;
    pool.apply_response(
        at(now_ms),
        at(now_ms - 10),
        &server_id(name),
        report,
        source,
    );
}

fn check(pool: &ServerPool, now_ms: u64, name: &str) -> Result<(), Unavailable> {
    let server = pool.server(&server_id(name)).expect("a known server");
    server.availability.check(at(now_ms))
}

/// Returns the hash of an object; hashes that differ in their upper half lie apart on the ring.
fn hash_of(object: u64) -> u64 {
    object.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn choose_at(placer: &mut Placer, pool: &ServerPool, now_ms: u64, object: u64) -> Choice {
    let (route, service) = (route(), service_id());
    let request = request(&route, &service, object);
    placer.choose(at(now_ms), pool, &configuration(), &request, 3)
}

#[test]
fn decimal_seconds_are_times_to_retry_after() {
    for (text, ms) in [
        ("3", 3_000),
        ("0", 0),
        ("1.5", 1_500),
        (" 0.25 ", 250),
        ("0.0001", 1),
        ("86400", 86_400_000),
    ] {
        let parsed: Result<RetryAfter, _> = text.parse();
        assert_eq!(parsed.map(RetryAfter::span), Ok(SpanMs::new(ms)), "{text}");
    }
}

/// A server that names nonsense must not be left unused for a year, nor end the process.
#[test]
fn other_texts_are_no_times_to_retry_after() {
    let texts = [
        "",
        " ",
        ".",
        "abc",
        "-1",
        "-0",
        "+3",
        "NaN",
        "inf",
        "1e3",
        "1e400",
        "5, 5",
        "86401",
        "99999999999999999999",
        "0x4",
        "Fri, 04 Dec 2026 10:00:00 GMT",
        "000000000000000000000000000000001",
    ];
    for text in texts {
        assert!(text.parse::<RetryAfter>().is_err(), "{text}");
    }
}

#[test]
fn a_time_to_retry_after_is_written_in_seconds() {
    let parsed: RetryAfter = "1.50".parse().expect("a time");
    assert_eq!(parsed.to_string(), "1.5");
}

/// Each rejection asks for a rest of its own: a shorter one and a success must not end a longer one.
#[test]
fn a_shorter_rest_and_a_success_end_no_longer_one() {
    let mut pool = pool_of(&[("east-a", 1)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("3"));
    respond(&mut pool, 1_500, "east-a-0", &rest("1"));
    let success = ServerReport {
        is_signed: true,
        is_able: true,
        ..ServerReport::default()
    };
    respond(&mut pool, 1_600, "east-a-0", &success);
    assert_eq!(check(&pool, 4_000, "east-a-0"), Err(Unavailable::Resting));
    assert_eq!(check(&pool, 4_001, "east-a-0"), Ok(()));
}

/// A later rejection that asks for longer must be obeyed as well.
#[test]
fn a_longer_rest_extends_a_shorter_one() {
    let mut pool = pool_of(&[("east-a", 1)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("1"));
    respond(&mut pool, 1_500, "east-a-0", &rest("2.5"));
    assert_eq!(check(&pool, 4_000, "east-a-0"), Err(Unavailable::Resting));
    assert_eq!(check(&pool, 4_001, "east-a-0"), Ok(()));
}

/// Values that can't be read must change nothing, neither begin a rest nor end one.
#[test]
fn an_unreadable_rest_changes_nothing() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let unreadable = ServerReport {
        rest: RestStatement::Unreadable,
        ..ServerReport::default()
    };
    respond(&mut pool, 500, "east-a-0", &unreadable);
    assert_eq!(check(&pool, 501, "east-a-0"), Ok(()));
    respond(&mut pool, 1_000, "east-a-0", &rest("3"));
    respond(&mut pool, 1_500, "east-a-0", &unreadable);
    assert_eq!(check(&pool, 3_999, "east-a-0"), Err(Unavailable::Resting));
}

/// Another server at the address speaks for itself: the one that was meant would be left unused.
#[test]
fn what_another_server_says_at_the_address_counts_for_nothing() {
    let mut pool = pool_of(&[("east-a", 1)]);
    for report in [rest("3"), leaving()] {
        let of_another = ServerReport {
            is_other_server: true,
            ..report
        };
        respond(&mut pool, 1_000, "east-a-0", &of_another);
    }
    assert_eq!(check(&pool, 1_001, "east-a-0"), Ok(()));
}

/// A new incarnation owes nothing to the word of the old one, also if that arrives after its entry.
#[test]
fn a_restart_ends_rests_and_leaving() {
    let mut pool = pool_of(&[("east-a", 1)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("30"));
    respond(&mut pool, 1_000, "east-a-0", &leaving());
    let mut restarted = entry("east-a-0", "east-a");
    restarted.started_unix_ms += 5_000;
    pool.apply(at(2_000), restarted);
    assert_eq!(check(&pool, 2_001, "east-a-0"), Ok(()));
    for report in [rest("30"), leaving()] {
        respond(&mut pool, 2_005, "east-a-0", &report);
    }
    assert_eq!(check(&pool, 2_010, "east-a-0"), Ok(()));
}

/// The entry of a server that lives can lapse and come back. What the server has said holds all the while, or it is
/// sent in its rest what it was spared.
#[test]
fn what_a_server_has_said_outlives_its_entry() {
    let mut pool = pool_of(&[("east-a", 2)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("5"));
    respond(&mut pool, 1_000, "east-a-1", &leaving());
    for name in ["east-a-0", "east-a-1"] {
        pool.remove(at(2_000), &server_id(name));
        pool.apply(at(3_000), entry(name, "east-a"));
    }
    assert_eq!(check(&pool, 6_000, "east-a-0"), Err(Unavailable::Resting));
    assert_eq!(check(&pool, 6_001, "east-a-0"), Ok(()));
    assert_eq!(check(&pool, 60_000, "east-a-1"), Err(Unavailable::Leaving));
}

/// The entry lapses while a request is on its way. What the server says in its response, and what it had said, holds for
/// requests that are about to be written, and when the entry comes back.
#[test]
fn what_a_server_says_while_its_entry_is_missing_counts() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let id = server_id("east-a-0");
    pool.remove(at(900), &id);
    respond(&mut pool, 1_000, "east-a-0", &rest("3"));
    let known = pool.availability(&id).expect("a server that was known");
    assert_eq!(known.check(at(1_001)), Err(Unavailable::Resting));
    pool.apply(at(2_000), entry("east-a-0", "east-a"));
    assert_eq!(check(&pool, 4_000, "east-a-0"), Err(Unavailable::Resting));
    assert_eq!(pool.availability(&server_id("never-seen")), None);
}

/// A new incarnation whose predecessor's entry had lapsed must be used at once.
#[test]
fn what_a_server_has_said_does_not_pass_to_its_successor() {
    let mut pool = pool_of(&[("east-a", 1)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("30"));
    respond(&mut pool, 1_000, "east-a-0", &leaving());
    pool.remove(at(2_000), &server_id("east-a-0"));
    let mut restarted = entry("east-a-0", "east-a");
    restarted.started_unix_ms += 5_000;
    pool.apply(at(3_000), restarted);
    assert_eq!(check(&pool, 3_001, "east-a-0"), Ok(()));
}

/// A server that leaves gets no new requests, whatever its entry says: its objects move as for an entry that drains.
#[test]
fn the_objects_of_a_server_that_leaves_move() {
    let mut pool = pool_of(&[("east-a", 2)]);
    let first = pick(&mut pool, "east-a", 7).server;
    respond(&mut pool, 900, first.as_str(), &leaving());
    let second = pick(&mut pool, "east-a", 7);
    assert_ne!(second.server, first);
    assert_eq!((second.rank, second.passed_over), (0, None));
    let mut again = entry(first.as_str(), "east-a");
    again.sequence += 5;
    pool.apply(at(950), again);
    assert_ne!(pick(&mut pool, "east-a", 7).server, first);
}

/// Another instance tells of a server that leaves. It must be believed for the incarnation that it names, and for no other.
#[test]
fn a_report_that_a_server_leaves_is_of_one_incarnation() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let key = ServerKey::of(&server_id("east-a-0"));
    let started = entry("east-a-0", "east-a").started_unix_ms;
    assert_eq!(pool.apply_leaving(at(1_000), key, started - 1), None);
    assert_eq!(check(&pool, 1_001, "east-a-0"), Ok(()));
    let news = pool.apply_leaving(at(1_100), key, started);
    assert_eq!(news, Some(server_id("east-a-0")));
    assert_eq!(pool.apply_leaving(at(1_200), key, started), None);
    assert_eq!(check(&pool, 1_201, "east-a-0"), Err(Unavailable::Leaving));
    // A report of a later incarnation comes before its entry.
    assert_eq!(pool.apply_leaving(at(1_300), key, started + 5), None);
    let mut restarted = entry("east-a-0", "east-a");
    restarted.started_unix_ms += 5;
    let change = pool.apply(at(1_400), restarted);
    assert_eq!(change, Some(Change::Restarted(server_id("east-a-0"))));
    assert_eq!(check(&pool, 1_401, "east-a-0"), Err(Unavailable::Leaving));
}

/// An instance that starts hears that a server leaves before it has read the list of servers.
#[test]
fn a_report_on_a_server_that_is_not_known_yet_is_kept() {
    let mut pool = pool_of(&[]);
    let key = ServerKey::of(&server_id("new"));
    assert_eq!(pool.apply_leaving(at(100), key, 1_000), None);
    pool.apply(at(200), entry("new", "east-a"));
    assert_eq!(check(&pool, 201, "new"), Err(Unavailable::Leaving));
}

/// Statements of servers outside the pool must not use up the memory of a process.
#[test]
fn the_statements_of_servers_outside_the_pool_are_bounded() {
    let mut pool = pool_of(&[]);
    for number in 0..3_000_u64 {
        let key = ServerKey::of(&server_id(&format!("gone-{number}")));
        pool.apply_leaving(at(number), key, 1_000);
    }
    pool.apply(at(4_000), entry("gone-2999", "east-a"));
    pool.apply(at(4_000), entry("gone-0", "east-a"));
    assert_eq!(check(&pool, 4_001, "gone-2999"), Err(Unavailable::Leaving));
    assert_eq!(check(&pool, 4_001, "gone-0"), Ok(()));
}

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
    let east = |region: &damaskvane_core::ids::RegionId| region.as_str() == "east";
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

/// One instance of many reports that a server leaves, and each only once.
#[test]
fn that_a_server_leaves_is_reported_once() {
    let mut pool = pool_of(&[("east-a", 2)]);
    let id = server_id("east-a-0");
    assert_eq!(pool.report_leaving(&id), None);
    respond(&mut pool, 1_000, "east-a-0", &leaving());
    assert!(pool.report_leaving(&id).is_some());
    assert_eq!(pool.report_leaving(&id), None);
    let other = ServerKey::of(&server_id("east-a-1"));
    pool.apply_leaving(at(1_000), other, 1_000);
    assert_eq!(pool.report_leaving(&server_id("east-a-1")), None);
    assert_eq!(pool.statements(at(1_000)).count(), 2);
}

/// A request that this instance carried for another was rejected: the server wants nothing from this instance.
#[test]
fn a_rest_that_another_instance_was_told_of_holds_here() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let key = ServerKey::of(&server_id("east-a-0"));
    let change = pool.apply_rest(at(1_000), key, SpanMs::new(2_000));
    assert!(change.is_some());
    assert_eq!(check(&pool, 2_999, "east-a-0"), Err(Unavailable::Resting));
    assert!(pool.apply_rest(at(1_100), key, SpanMs::new(500)).is_none());
}

/// Times are rounded down to a millisecond. A rest that is counted from the rounded time ends too early by a part of one, and
/// a request reaches the server in it.
#[test]
fn a_rest_does_not_end_earlier_by_a_rounded_clock() {
    let mut rest = ServerRest::default();
    // The response arrives late in the millisecond, and the request is sent early in its millisecond.
    rest.begin(at(1_000), SpanMs::new(3_000), StatementSource::Response);
    assert!(rest.is_resting(at(4_000)));
    assert!(!rest.is_resting(at(4_001)));
}
