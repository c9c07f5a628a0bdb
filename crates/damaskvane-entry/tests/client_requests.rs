//! Invalid requests of clients: each refusal names the fault and a remedy.

mod common;

use std::io::Write;

use common::Entry;

const SETTINGS: &str = "head_timeout_ms = 400\nbody_timeout_ms = 400\nbody_limit_bytes = 1024\n";
const WORK_PATH: &str = "/v1/services/rider-desk/work";

/// Request line, headers and body; expected status, reason and part of the detail.
type Case<'a> = (&'a str, String, &'a [u8], u16, &'a str, &'a str);

struct Refusal {
    status: u16,
    head: String,
    body: serde_json::Value,
}

fn parse_refusal(response: &str) -> Refusal {
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((response, ""));
    Refusal {
        status: head
            .get(9..12)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0),
        head: head.to_lowercase(),
        body: serde_json::from_str(body).unwrap_or_default(),
    }
}

/// Sends a request with a request id and checks the headers and fields that every refusal has.
fn expect_refusal(entry: &Entry, line: &str, headers: &str, body: &[u8]) -> Refusal {
    let head = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ndamaskvane-request-id: r-1\r\n{headers}\r\n"
    );
    let response = common::exchange(entry.address("client"), &[head.as_bytes(), body].concat());
    let refusal = parse_refusal(&response);
    assert!(
        refusal.head.contains("damaskvane-outcome: not-run"),
        "{response}"
    );
    assert!(refusal.head.contains("retry-after-ms: "), "{response}");
    assert!(
        !refusal.body["remedy"].as_str().unwrap_or("").is_empty(),
        "{response}"
    );
    refusal
}

/// A client sends a header value that can't be parsed. A default instead would run the request with a deadline,
/// key or home that the client did not choose. The refusal names the header, its value and a remedy.
#[test]
fn invalid_header_values_are_refused_with_the_header_name() {
    let entry = Entry::start("wrong-headers", SETTINGS);
    let cases = [
        ("damaskvane-client", "no spaces"),
        ("damaskvane-deadline-ms", "soon"),
        ("damaskvane-deadline-ms", "-5"),
        ("damaskvane-deadline-ms", "99999999999999999999999"),
        ("damaskvane-idempotency-key", ""),
        ("damaskvane-home", "no-incarnation"),
        ("damaskvane-home", "a/b/c"),
        ("damaskvane-priority", "urgent"),
    ];
    for (name, value) in cases {
        let refusal = expect_refusal(
            &entry,
            &format!("GET {WORK_PATH}"),
            &format!("{name}: {value}\r\n"),
            b"",
        );
        let detail = refusal.body["detail"].as_str().unwrap_or("");
        assert_eq!(
            (refusal.status, &refusal.body["reason"]),
            (400, &"malformed_request".into()),
            "{name}: {detail}"
        );
        assert!(
            detail.contains(name) && detail.contains(&format!("{value:?};")),
            "{detail}"
        );
        assert!(
            refusal.head.contains("damaskvane-request-id: r-1"),
            "{}",
            refusal.head
        );
    }
    let both = "damaskvane-idempotency-key: k\r\ndamaskvane-home: a/1\r\ndamaskvane-try: first\r\n";
    assert_eq!(
        expect_refusal(&entry, &format!("POST {WORK_PATH}"), both, b"").status,
        400
    );
    let response = common::exchange(
        entry.address("client"),
        format!("GET {WORK_PATH} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ndamaskvane-request-id: a b\r\n\r\n").as_bytes(),
    );
    assert_eq!(parse_refusal(&response).status, 400, "{response}");
    assert_eq!(entry.count("refused.malformed_request"), 10);
}

/// Non-repeatable requests without a key or home, requests for unknown paths, and oversized bodies.
#[test]
fn missing_headers_unknown_paths_and_oversized_bodies_are_refused_with_a_reason() {
    let entry = Entry::start("wrong-requests", SETTINGS);
    let long = vec![b'x'; 2_000];
    let content_length = format!("content-length: {}\r\n", long.len());
    let chunked = [b"7d0\r\n".as_slice(), &long, b"\r\n0\r\n\r\n"].concat();
    let key = "damaskvane-idempotency-key: k\r\n";
    let home = "damaskvane-home: a/1\r\n";
    let cases: [Case; 7] = [
        (
            "POST /v1/services/rider-desk/work",
            String::new(),
            b"",
            400,
            "key_missing",
            "idempotency-key is missing",
        ),
        (
            "POST /v1/services/rider-desk/work",
            key.into(),
            b"",
            400,
            "key_missing",
            "damaskvane-home is missing",
        ),
        (
            "GET /v2/lookup",
            String::new(),
            b"",
            400,
            "malformed_request",
            "/v1/lookup",
        ),
        (
            "GET /v1/services/rider-desk",
            String::new(),
            b"",
            400,
            "malformed_request",
            "/v1/services/",
        ),
        (
            "OPTIONS *",
            String::new(),
            b"",
            400,
            "malformed_request",
            "/v1/lookup",
        ),
        (
            "POST /v1/services/rider-desk/work",
            format!("{key}{home}{content_length}"),
            &long,
            413,
            "body_too_large",
            "1024 bytes",
        ),
        (
            "POST /v1/services/rider-desk/work",
            format!("{key}{home}transfer-encoding: chunked\r\n"),
            &chunked,
            413,
            "body_too_large",
            "1024 bytes",
        ),
    ];
    for (line, headers, body, status, reason, detail) in cases {
        let refusal = expect_refusal(&entry, line, &headers, body);
        assert_eq!(
            (refusal.status, &refusal.body["reason"]),
            (status, &reason.into()),
            "{line}"
        );
        let actual = refusal.body["detail"].as_str().unwrap_or("");
        assert!(actual.contains(detail), "{line}: {actual}");
    }
}

/// A client sends the head and no body: the request is refused at the body timeout. A client disconnects within
/// the body: the request never reaches the engine.
#[test]
fn a_slow_body_is_refused_and_a_truncated_body_is_not_run() {
    let entry = Entry::start("slow-body", SETTINGS);
    let head = format!(
        "POST {WORK_PATH} HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\ndamaskvane-idempotency-key: k\r\ndamaskvane-home: a/1\r\n\r\n"
    );
    let slow = parse_refusal(&common::exchange(entry.address("client"), head.as_bytes()));
    assert_eq!(
        (slow.status, &slow.body["reason"]),
        (400, &"malformed_request".into())
    );
    assert!(
        slow.body["detail"]
            .as_str()
            .unwrap_or("")
            .contains("400 ms"),
        "{}",
        slow.body
    );
    let mut truncated = common::connect(entry.address("client"));
    truncated.write_all(head.as_bytes()).expect("sent");
    drop(truncated);
    common::wait_until("the truncated request is counted", || {
        entry.count("connections.broken") + entry.count("refused.malformed_request") > 1
    });
    assert_eq!(entry.status()["requests"]["keys"].as_u64().unwrap_or(0), 0);
}

/// Entry instances send `POST /cancel/{request_id}` to backend servers. A client that reached this path through
/// an entry instance, in any spelling, could cancel requests of other clients, which would end as *outcome
/// unknown*.
#[test]
fn clients_cannot_reach_paths_reserved_for_entry_instances() {
    let entry = Entry::start("reserved-paths", SETTINGS);
    let paths = [
        "/cancel/r-9",
        "/cancel",
        "/health",
        "/load?x=1",
        "/work/../cancel/r-9",
        "/work/%2e%2E/cancel/r-9",
        "/./cancel/r-9",
        "/c%61ncel/r-9",
        "/%2fcancel/r-9",
        "//cancel/r-9",
        "/work\\..\\cancel/r-9",
    ];
    let key = "damaskvane-idempotency-key: k\r\ndamaskvane-home: a/1\r\n";
    for path in paths {
        let line = format!(
            "POST /v1/services/rider-desk{path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
        );
        let response = common::exchange(
            entry.address("client"),
            format!("{line}{key}\r\n").as_bytes(),
        );
        assert!(response.starts_with("HTTP/1.1 400"), "{path}: {response}");
    }
    for path in ["/cancellations/9", "/work/cancel/9", "/a..b/c", "/healthy"] {
        let line = format!(
            "GET /v1/services/rider-desk{path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        );
        let response = common::exchange(entry.address("client"), line.as_bytes());
        assert!(!response.starts_with("HTTP/1.1 400"), "{path}: {response}");
    }
}
