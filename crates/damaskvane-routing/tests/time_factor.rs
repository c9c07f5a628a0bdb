//! Tests of the time factor that servers on shared machines name: how it enters the expected time and the measurements.

mod support;

use damaskvane_routing::placement::{AnsweredRequest, Choice, Pick, Placer, SkipReason};
use damaskvane_routing::pool::{ExchangeEnd, ExchangeId, ServerPool, ServerReport, TimeFactor};

use crate::support::{at, configuration, placer, pool_of, request, route, server_id, service_id};

fn choose(placer: &mut Placer, pool: &ServerPool, now_ms: u64, object: u64) -> Pick {
    let (route, service) = (route(), service_id());
    let request = request(&route, &service, object);
    match placer.choose(at(now_ms), pool, &configuration(), &request, 1) {
        Choice::Send(pick) => pick,
        Choice::Refuse(refusal) => panic!("refused: {:?}", refusal.reason),
    }
}

fn report(percent: &str) -> ServerReport {
    ServerReport {
        time_factor: percent.parse().ok(),
        ..ServerReport::default()
    }
}

/// Ends an exchange of `took_ms` with a response that names the factor, and records its time.
fn answer(
    placer: &mut Placer,
    pool: &mut ServerPool,
    (now_ms, took_ms): (u64, u64),
    pick: &Pick,
    report: ServerReport,
) {
    let mut server = pool.server_mut(&pick.server).expect("a known server");
    let exchange = ExchangeId(now_ms);
    server.record_sent(at(now_ms - took_ms), exchange, pick.expected_ms);
    server.record_end(at(now_ms), exchange, ExchangeEnd::Answered, report);
    drop(server);
    let answered = AnsweredRequest {
        route: &route(),
        pick,
        object: Some(3),
        bytes: 1_000,
        took_ms,
        has_waited: false,
        time_factor: report.time_factor,
    };
    placer.record_answer(at(now_ms), pool, &answered);
}

fn slowness(pool: &ServerPool, pick: &Pick, now_ms: u64) -> (f64, f64) {
    let server = pool.server(&pick.server).expect("a known server");
    (
        server.slowness(at(now_ms)),
        server.expected_slowness(at(now_ms)),
    )
}

/// Guards against a server that counts as slow for seconds after its machine was slow for 600 ms, and against usual
/// times of a route that depend on the load of machines.
#[test]
fn a_slow_machine_does_not_make_its_server_or_route_slow() {
    let measure = |percent: &str, took_ms: u64| {
        let (mut placer, mut pool) = (placer("east-a"), pool_of(&[("east-a", 3)]));
        let pick = choose(&mut placer, &pool, 1_000, 3);
        let mut respond = |now_ms, percent, took_ms| {
            answer(
                &mut placer,
                &mut pool,
                (now_ms, took_ms),
                &pick,
                report(percent),
            );
        };
        for number in 1..40 {
            respond(1_000 + number * 20, "100", 100);
        }
        for number in 1..6 {
            respond(2_000 + number * 20, percent, took_ms);
        }
        let baseline = placer.baselines.of("look", 250);
        (slowness(&pool, &pick, 2_200).0, baseline.warm_ms)
    };
    let (usual, slow, unknown) = (measure("100", 100), measure("250", 250), measure("", 250));
    assert!((usual.0 - slow.0).abs() < 0.01, "{usual:?} {slow:?}");
    assert!((usual.1 - slow.1).abs() < 0.01, "{usual:?} {slow:?}");
    assert!(unknown.0 > 1.8 && unknown.1 > 110.0, "{unknown:?}");
}

/// Guards against a factor that is used beyond the time in which it is true, or not used at all.
#[test]
fn a_factor_multiplies_the_expected_time_while_it_is_young() {
    let (mut placer, mut pool) = (placer("east-a"), pool_of(&[("east-a", 3)]));
    let pick = choose(&mut placer, &pool, 1_000, 3);
    let mut server = pool.server_mut(&pick.server).expect("a known server");
    server.record_sent(at(1_000), ExchangeId(1), 100.0);
    server.record_end(
        at(1_100),
        ExchangeId(1),
        ExchangeEnd::Failed,
        report("2000"),
    );
    drop(server);
    assert!((slowness(&pool, &pick, 1_100).1 - 20.0).abs() < 0.001);
    let young = choose(&mut placer, &pool, 1_100, 3);
    assert_eq!(young.passed_over, Some(SkipReason::Slow));
    let faded = slowness(&pool, &pick, 1_400).1;
    assert!((7.0..9.0).contains(&faded), "{faded}");
    assert!(slowness(&pool, &pick, 4_000).1 < 1.5);
    assert_eq!(choose(&mut placer, &pool, 4_000, 3).server, pick.server);
}

/// Guards against a machine that is always slow and counts as usual between two of its reports.
#[test]
fn an_old_factor_becomes_the_mean_of_the_server() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let id = server_id("east-a-0");
    let mut server = pool.server_mut(&id).expect("a known server");
    for number in 1..40 {
        let now = at(number * 2_000);
        server.record_sent(now, ExchangeId(number), 100.0);
        let percent = if number % 2 == 0 { "300" } else { "100" };
        server.record_end(
            now,
            ExchangeId(number),
            ExchangeEnd::Answered,
            report(percent),
        );
    }
    let mean = server.expected_slowness(at(90_000));
    assert!((1.8..2.2).contains(&mean), "{mean}");
    server.reset_after_restart(at(90_000));
    assert!((server.expected_slowness(at(90_000)) - 1.0).abs() < f64::EPSILON);
}

/// Guards against the factor of another server at the same address.
#[test]
fn a_factor_of_another_server_counts_for_nothing() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let mut server = pool
        .server_mut(&server_id("east-a-0"))
        .expect("a known server");
    let other = ServerReport {
        is_other_server: true,
        ..report("900")
    };
    server.record_sent(at(100), ExchangeId(1), 100.0);
    server.record_end(at(100), ExchangeId(1), ExchangeEnd::Failed, other);
    assert!((server.expected_slowness(at(100)) - 1.0).abs() < f64::EPSILON);
}

/// Guards against values that would make a server free of cost or unusable for good.
#[test]
fn factors_are_bounded() {
    let percent = |text: &str| text.parse().map(TimeFactor::percent).ok();
    assert_eq!(percent(" 100"), Some(100));
    assert_eq!(
        (percent("0.3"), percent("9e9"), percent("4000000000")),
        (Some(10), None, Some(2_000))
    );
    assert_eq!(
        (percent("0"), percent("."), percent("")),
        (None, None, None)
    );
}
