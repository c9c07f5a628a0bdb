//! The backend server stand-in: what it answers, logs and does under its faults.

use std::io::{self, Read, Write};
use std::net;
use std::time::Duration;

use damaskvane_standins::backend;

fn start(spec: &str) -> backend::Server {
    let spec = spec.parse().expect("a server");
    backend::Server::start(spec, backend::DEFAULT_SEED).expect("a free port")
}

fn connect(server: &backend::Server) -> net::TcpStream {
    let stream = net::TcpStream::connect(server.address()).expect("it listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a timeout");
    stream
}

/// Sends one request and reads until the connection closes.
fn send(stream: &mut net::TcpStream, line: &str, headers: &str) -> io::Result<String> {
    let request = format!("{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\r\n");
    stream.write_all(request.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

fn ask(server: &backend::Server, line: &str, headers: &str) -> String {
    send(&mut connect(server), line, headers).unwrap_or_default()
}

fn body(text: &str) -> &str {
    text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

#[test]
fn an_answer_proves_its_request_and_the_log_holds_the_run() {
    let server = start("s-1:2");
    let headers = "damaskvane-request-id: r-1\r\ndamaskvane-idempotency-key: k-1\r\n";
    let text = ask(&server, "POST /work?ms=1&bytes=100", headers);
    let answer: backend::ResponseBody = serde_json::from_str(body(&text)).expect("an answer");
    assert!(answer.is_intact());
    assert_eq!(
        (answer.request_id.as_str(), answer.padding.len()),
        ("r-1", 100)
    );
    let executions = server.log().page(0).executions;
    assert_eq!(executions.len(), 1);
    assert_eq!(executions[0].idempotency_key, "k-1");
    assert!(executions[0].finished_unix_ms.is_some() && !executions[0].aborted);
}

#[test]
fn load_and_health_tell_the_truth_or_the_lie() {
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
        assert_eq!(body(&ask(&server, line, "")), expected, "{faults} {line}");
    }
}

/// A caller that ignores the slots sends more than they hold. Users of the promise would notice only
/// slow answers; the stand-in runs all of them and counts each one too many.
#[test]
fn a_start_beyond_the_slots_is_counted() {
    let server = start("s-1:1");
    let mut first = connect(&server);
    first
        .write_all(b"GET /work?ms=400 HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("sent");
    while server.stats().running == 0 {
        std::thread::yield_now();
    }
    ask(&server, "GET /work?ms=1", "");
    assert_eq!(
        (server.stats().over_slots, server.stats().max_running),
        (1, 2)
    );
}

/// A backend server sheds load before running anything. A client reads that nothing ran.
#[test]
fn a_shedding_server_runs_nothing_and_says_so() {
    let server = start("s-1:1");
    server.set_faults(backend::Faults {
        shed: true,
        ..backend::Faults::default()
    });
    let text = ask(&server, "POST /work", "damaskvane-request-id: r-1\r\n");
    assert!(
        text.starts_with("HTTP/1.1 503") && text.contains("damaskvane-not-run: true"),
        "{text}"
    );
    assert!(server.log().page(0).executions.is_empty());
}

/// A backend server dies at some byte of an exchange. Its caller sees a connection that closes early;
/// only the log knows whether the request ran.
#[test]
fn a_connection_dies_at_the_stage_it_is_told() {
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
        let text = ask(&server, "GET /work?ms=1&bytes=50", "");
        assert!(
            serde_json::from_str::<backend::ResponseBody>(body(&text)).is_err(),
            "{stage:?} {text}"
        );
        assert_eq!(server.log().page(0).executions.len(), ran, "{stage:?}");
    }
}

/// Something between two ends forgets a connection. The old one never answers again, a new one does.
#[test]
fn open_connections_go_silent_and_new_ones_work() {
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
    assert!(ask(&server, "GET /work?ms=1", "").starts_with("HTTP/1.1 200"));
}

/// One request crashes what runs it. Its neighbours on the same server lose their connections.
#[test]
fn a_crashing_request_takes_its_neighbours_with_it() {
    let server = start("s-1:2");
    let mut neighbour = connect(&server);
    neighbour
        .write_all(b"GET /work?ms=60000 HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("sent");
    while server.stats().running == 0 {
        std::thread::yield_now();
    }
    assert_eq!(ask(&server, "GET /crash", ""), "");
    let mut rest = Vec::new();
    let _ = neighbour.read_to_end(&mut rest);
    assert!(rest.is_empty());
    assert_eq!(server.stats().crashes, 1);
}

#[test]
fn a_cancelled_run_ends_early_and_is_logged_as_aborted() {
    let server = start("s-1:1");
    let mut stream = connect(&server);
    let request = "GET /work?ms=60000 HTTP/1.1\r\nhost: x\r\ndamaskvane-request-id: r-9\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("sent");
    while server.stats().running == 0 {
        std::thread::yield_now();
    }
    assert!(ask(&server, "POST /cancel/r-9", "").contains(r#"{"cancelled":true}"#));
    while server.stats().running > 0 {
        std::thread::yield_now();
    }
    assert!(server.log().page(0).executions[0].aborted);
}

#[test]
fn a_run_past_its_deadline_is_aborted() {
    let server = start("s-1:1");
    let text = ask(
        &server,
        "GET /work?ms=60000",
        "damaskvane-deadline-ms: 20\r\n",
    );
    assert!(text.starts_with("HTTP/1.1 504"), "{text}");
}

#[test]
fn command_lines_are_read_or_refused_with_a_remedy() {
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
