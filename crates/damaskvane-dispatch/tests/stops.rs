//! Planned stops of backend servers and entry instances, and silent connections.

use damaskvane_core::time;
use damaskvane_dispatch::{connection, drain, shutdown};

fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

/// A backend server is taken out for maintenance while requests run on it. New work from the moment
/// of adoption would be cut when it stops.
#[test]
fn a_draining_server_takes_no_new_work_and_ends_when_idle() {
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

/// A backend server comes back with empty caches. Its whole share at once would overload it.
#[test]
fn a_cold_server_gets_its_share_step_by_step() {
    let settings = drain::WarmUpSettings::default();
    let mut server = drain::Lifecycle::active(at(0));
    server.drain(at(0));
    server.resume(at(0));
    let mut last = 0;
    for now_ms in [0, 10_000, 20_000, 29_999] {
        server.advance(at(now_ms), 0, &settings);
        let share = server.share(at(now_ms), &settings).expect("a share").get();
        assert!(share > last && share < 1_000, "{share} at {now_ms}");
        last = share;
    }
    server.advance(at(30_000), 0, &settings);
    assert!(matches!(server, drain::Lifecycle::Active(_)), "{server:?}");
}

/// Kept connections to a healthy server went silent, since something between has lost track of them.
/// Blamed for it, the server would be left out while fresh connections work.
#[test]
fn silent_kept_connections_do_not_count_against_a_server() {
    let mut health = connection::ServerHealth::default();
    for _ in 0..100 {
        let silent = connection::Failure::Timeout {
            on_new_connection: false,
        };
        assert_eq!(
            health.record_failure(silent),
            connection::Action::RetryOnNewConnection
        );
        let shed = connection::Failure::Shed;
        assert_eq!(health.record_failure(shed), connection::Action::Ignore);
    }
    assert!(!health.is_suspect());
    for _ in 0..3 {
        let silent = connection::Failure::Timeout {
            on_new_connection: true,
        };
        assert_eq!(
            health.record_failure(silent),
            connection::Action::CountAsServerFailure
        );
    }
    assert!(health.is_suspect());
    health.record_success();
    assert!(!health.is_suspect());
}

/// A client abandons its exchange. Its answer, still to come, would be read as the next one's.
#[test]
fn only_a_refusal_leaves_a_connection_usable() {
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

/// An entry instance is stopped as planned while clients hold look-up answers that name it. Stopped
/// before these lapse, it would be missed; stopped before its requests end, it would cut them.
#[test]
fn an_instance_leaves_after_look_ups_have_lapsed_and_work_has_ended() {
    let settings = shutdown::ShutdownSettings::default();
    let leaving = shutdown::Serving.leave(at(0), settings);
    let leaving = leaving
        .begin_handover(at(3_999), 0)
        .expect_err("look-ups hold");
    let leaving = leaving.begin_handover(at(5_000), 1).expect_err("work runs");
    assert_eq!(
        leaving.progress(at(5_000), 1).time_left,
        time::SpanMs::new(25_000)
    );
    let handing_over = leaving.begin_handover(at(6_000), 0).expect("quiet");
    let handing_over = handing_over
        .stop(at(6_100), 0, false)
        .expect_err("no successor yet");
    let stopped = handing_over.stop(at(6_200), 0, true).expect("done");
    assert!(!stopped.is_timed_out);
}

/// A request never ends. The stop ends all the same, and says that it was cut short.
#[test]
fn a_stop_has_a_longest_time() {
    let leaving = shutdown::Serving.leave(at(0), shutdown::ShutdownSettings::default());
    let handing_over = leaving
        .begin_handover(at(30_000), 1)
        .expect("the time is over");
    let stopped = handing_over
        .stop(at(40_000), 1, true)
        .expect("the time is over");
    assert!(stopped.is_timed_out);
}
