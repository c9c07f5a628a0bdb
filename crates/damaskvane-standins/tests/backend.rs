//! Tests of the stand-in for backend servers: responses, execution log, counters and faults.

use std::io::{self, Read, Write};
use std::net;
use std::time::Duration;

use damaskvane_standins::backend;

fn start(spec: &str) -> backend::Server {
    let spec = spec.parse().expect("a server");
    backend::Server::start(spec, backend::DEFAULT_SEED).expect("a free port")
}

fn connect(server: &backend::Server) -> net::TcpStream {
    let stream = net::TcpStream::connect(server.address()).expect("the server listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a timeout");
    stream
}

/// Sends one request and returns the response, read until the server closes the connection.
fn send(stream: &mut net::TcpStream, line: &str, headers: &str) -> io::Result<String> {
    let request = format!("{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\r\n");
    stream.write_all(request.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

fn send_request(server: &backend::Server, line: &str, headers: &str) -> String {
    send(&mut connect(server), line, headers).unwrap_or_default()
}

fn body(text: &str) -> &str {
    text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

#[test]
fn a_response_names_its_request_and_the_log_holds_the_execution() {
    let server = start("s-1:2");
    let headers = "damaskvane-request-id: r-1\r\ndamaskvane-idempotency-key: k-1\r\n";
    let text = send_request(&server, "POST /work?ms=1&bytes=100", headers);
    let body_fields: backend::ResponseBody =
        serde_json::from_str(body(&text)).expect("a response body");
    assert!(body_fields.is_intact());
    assert_eq!(
        (body_fields.request_id.as_str(), body_fields.padding.len()),
        ("r-1", 100)
    );
    let executions = server.log().page(0).executions;
    assert_eq!(executions.len(), 1);
    assert_eq!(executions[0].idempotency_key, "k-1");
    assert!(executions[0].finished_unix_ms.is_some() && !executions[0].aborted);
}

#[test]
fn health_and_load_report_the_real_or_the_configured_state() {
    let cases = [
        ("{}", "GET /health", r#"{"healthy":true}"#),
        (r#"{"error":true}"#, "GET /health", r#"{"healthy":false}"#),
        (
            r#"{"error":true,"health":"healthy"}"#,
            "GET /health",
            r#"{"healthy":true}"#,
        ),
        (
            r#"{"health":"unhealthy"}"#,
            "GET /health",
            r#"{"healthy":false}"#,
        ),
        ("{}", "GET /load", r#"{"running":0,"slots":2}"#),
        (
            r#"{"load":"full"}"#,
            "GET /load",
            r#"{"running":2,"slots":2}"#,
        ),
    ];
    let server = start("s-1:2");
    for (faults, line, expected) in cases {
        server.set_faults(serde_json::from_str(faults).expect("faults"));
        assert_eq!(
            body(&send_request(&server, line, "")),
            expected,
            "{faults} {line}"
        );
    }
}

/// A caller sends more requests than the server has slots. Without the counter, such a violation would
/// show only as slow responses, because the stand-in runs all requests.
#[test]
fn a_request_beyond_the_slots_is_counted() {
    let server = start("s-1:1");
    let mut first = connect(&server);
    first
        .write_all(b"GET /work?ms=400 HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("sent");
    while server.stats().running == 0 {
        std::thread::yield_now();
    }
    send_request(&server, "GET /work?ms=1", "");
    assert_eq!(
        (server.stats().over_slots, server.stats().max_running),
        (1, 2)
    );
}

/// A server that sheds load must not run the request, and its response must say so.
#[test]
fn a_shedding_server_runs_nothing_and_responds_with_not_run() {
    let server = start("s-1:1");
    server.set_faults(backend::Faults {
        shed: true,
        ..backend::Faults::default()
    });
    let text = send_request(&server, "POST /work", "damaskvane-request-id: r-1\r\n");
    assert!(
        text.starts_with("HTTP/1.1 503") && text.contains("damaskvane-not-run: true"),
        "{text}"
    );
    assert!(server.log().page(0).executions.is_empty());
}

/// A server closes the connection within an exchange. The caller can't detect whether the request ran;
/// only the execution log shows it.
#[test]
fn a_connection_closes_at_the_configured_stage() {
    let cases = [
        (backend::DisconnectStage::BeforeRead, 0),
        (backend::DisconnectStage::AfterRead, 0),
        (backend::DisconnectStage::MidResponse, 1),
    ];
    for (stage, ran) in cases {
        let server = start("s-1:1");
        server.set_faults(backend::Faults {
            disconnect_at: Some(stage),
            ..backend::Faults::default()
        });
        let text = send_request(&server, "GET /work?ms=1&bytes=50", "");
        assert!(
            serde_json::from_str::<backend::ResponseBody>(body(&text)).is_err(),
            "{stage:?} {text}"
        );
        assert_eq!(server.log().page(0).executions.len(), ran, "{stage:?}");
    }
}

/// A device on the network path drops the state of a connection: open connections get no more
/// responses, while new connections work.
#[test]
fn frozen_connections_get_no_response_and_new_ones_work() {
    let server = start("s-1:1");
    let mut old = connect(&server);
    while server.stats().connections == 0 {
        std::thread::yield_now();
    }
    server.set_faults(backend::Faults {
        freeze_connections: true,
        ..backend::Faults::default()
    });
    old.set_read_timeout(Some(Duration::from_millis(300)))
        .expect("a timeout");
    assert!(send(&mut old, "GET /work?ms=1", "").is_err());
    assert!(send_request(&server, "GET /work?ms=1", "").starts_with("HTTP/1.1 200"));
}

/// One request crashes the server; the other requests on it lose their connections.
#[test]
fn a_crash_closes_the_connections_of_other_requests() {
    let server = start("s-1:2");
    let mut other = connect(&server);
    other
        .write_all(b"GET /work?ms=60000 HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("sent");
    while server.stats().running == 0 {
        std::thread::yield_now();
    }
    assert_eq!(send_request(&server, "GET /crash", ""), "");
    let mut received = Vec::new();
    let _ = other.read_to_end(&mut received);
    assert!(received.is_empty());
    assert_eq!(server.stats().crashes, 1);
}

#[test]
fn a_cancelled_request_ends_early_and_is_logged_as_aborted() {
    let server = start("s-1:1");
    let mut stream = connect(&server);
    let request = "GET /work?ms=60000 HTTP/1.1\r\nhost: x\r\ndamaskvane-request-id: r-9\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("sent");
    while server.stats().running == 0 {
        std::thread::yield_now();
    }
    assert!(send_request(&server, "POST /cancel/r-9", "").contains(r#"{"cancelled":true}"#));
    while server.stats().running > 0 {
        std::thread::yield_now();
    }
    assert!(server.log().page(0).executions[0].aborted);
}

#[test]
fn a_request_past_its_deadline_is_aborted() {
    let server = start("s-1:1");
    let text = send_request(
        &server,
        "GET /work?ms=60000",
        "damaskvane-deadline-ms: 20\r\n",
    );
    assert!(text.starts_with("HTTP/1.1 504"), "{text}");
}

#[test]
fn command_lines_are_parsed_or_rejected_with_a_remedy() {
    let cases: [(&[&str], &str); 5] = [
        (&["--servr", "a:1"], "--server"),
        (&["--server", "a"], "NAME:SLOTS"),
        (&["--server", "a:x"], "whole numbers"),
        (&["--servers", "/nowhere/file.toml"], "/nowhere/file.toml"),
        (&[], "at least one --server"),
    ];
    for (arguments, remedy) in cases {
        let error = backend::Options::parse(arguments)
            .expect_err("refused")
            .to_string();
        assert!(error.contains(remedy), "{error}");
    }
    let options = backend::Options::parse(["--server", "a:1:5", "--seed", "7"]).expect("valid");
    assert_eq!((options.servers[0].service_ms, options.seed), (5, 7));
}
