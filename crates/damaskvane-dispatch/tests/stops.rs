//! Tests of planned stops of backend servers and entry instances, and of failed connections.

use damaskvane_core::time;
use damaskvane_dispatch::{connection, drain, shutdown};

fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

/// A backend server is drained for maintenance while requests run on it. A request sent to the server
/// after the drain takes effect would be aborted when the server stops.
#[test]
fn a_draining_server_takes_no_new_requests_and_is_drained_when_idle() {
    let settings = drain::WarmUpSettings::default();
    for mut server in [
        drain::Lifecycle::active(at(0)),
        drain::Lifecycle::cold(at(0)),
    ] {
        assert!(server.share(at(0), &settings).is_some());
        server.drain(at(10));
        assert_eq!(server.share(at(10), &settings), None);
        server.advance(at(60_000), 2, &settings);
        assert!(
            matches!(server, drain::Lifecycle::Draining(_)),
            "{server:?}"
        );
        server.advance(at(60_001), 0, &settings);
        assert!(matches!(server, drain::Lifecycle::Drained(_)), "{server:?}");
        assert_eq!(server.share(at(60_002), &settings), None);
    }
}

/// A backend server returns from a drain with empty caches. If it got its full share of requests at once, it
/// would be overloaded.
#[test]
fn the_share_of_a_cold_server_grows_with_time() {
    let settings = drain::WarmUpSettings::default();
    let mut server = drain::Lifecycle::active(at(0));
    server.drain(at(0));
    server.resume(at(0));
    let mut last = 0;
    for now_ms in [0, 10_000, 20_000, 29_999] {
        server.advance(at(now_ms), 0, &settings);
        let share = server
            .share(at(now_ms), &settings)
            .expect("server has a share")
            .get();
        assert!(share > last && share < 1_000, "{share} at {now_ms}");
        last = share;
    }
    server.advance(at(30_000), 0, &settings);
    assert!(matches!(server, drain::Lifecycle::Active(_)), "{server:?}");
}

/// Reused connections to a healthy server time out, because a device on their path has dropped its
/// state. If the failures counted, the server would be excluded although new connections work.
#[test]
fn timeouts_on_reused_connections_do_not_count_against_a_server() {
    let mut health = connection::ServerHealth::default();
    for _ in 0..100 {
        let timeout = connection::Failure::Timeout {
            on_new_connection: false,
        };
        assert_eq!(
            health.record_failure(timeout),
            connection::Action::RetryOnNewConnection
        );
        let shed = connection::Failure::Shed;
        assert_eq!(health.record_failure(shed), connection::Action::Ignore);
    }
    assert!(!health.is_suspect());
    for _ in 0..3 {
        let timeout = connection::Failure::Timeout {
            on_new_connection: true,
        };
        assert_eq!(
            health.record_failure(timeout),
            connection::Action::CountAsServerFailure
        );
    }
    assert!(health.is_suspect());
    health.record_success();
    assert!(!health.is_suspect());
}

/// A client abandons its exchange before the response arrives. If the connection were reused, the response
/// would be read as the response to the next request.
#[test]
fn only_a_shed_request_leaves_a_connection_reusable() {
    for failure in [
        connection::Failure::Abandoned,
        connection::Failure::MismatchedResponse,
        connection::Failure::Closed {
            on_new_connection: true,
        },
        connection::Failure::Timeout {
            on_new_connection: true,
        },
    ] {
        assert!(!failure.is_connection_reusable(), "{failure:?}");
    }
    assert!(connection::Failure::Shed.is_connection_reusable());
}

/// An entry instance has a planned stop while clients hold lookup responses that name the instance. A stop
/// before these responses expire would fail new requests, and a stop before running requests end would
/// abort them.
#[test]
fn an_instance_leaves_after_lookups_have_expired_and_requests_have_ended() {
    let settings = shutdown::ShutdownSettings::default();
    let leaving = shutdown::Serving.leave(at(0), settings);
    let leaving = leaving
        .begin_handover(at(3_999), 0)
        .expect_err("lookups are still valid");
    let leaving = leaving
        .begin_handover(at(5_000), 1)
        .expect_err("a request is running");
    assert_eq!(
        leaving.progress(at(5_000), 1).time_left,
        time::SpanMs::new(25_000)
    );
    let handing_over = leaving
        .begin_handover(at(6_000), 0)
        .expect("no requests are running");
    let handing_over = handing_over
        .stop(at(6_100), 0, false)
        .expect_err("no successor has the keys yet");
    let stopped = handing_over
        .stop(at(6_200), 0, true)
        .expect("stop is complete");
    assert!(!stopped.is_timed_out);
}

/// A request never ends. The planned stop must still end after its maximum duration, and report that it timed
/// out.
#[test]
fn a_planned_stop_has_a_max_duration() {
    let leaving = shutdown::Serving.leave(at(0), shutdown::ShutdownSettings::default());
    let handing_over = leaving
        .begin_handover(at(30_000), 1)
        .expect("max duration has passed");
    let stopped = handing_over
        .stop(at(40_000), 1, true)
        .expect("max duration has passed");
    assert!(stopped.is_timed_out);
}
