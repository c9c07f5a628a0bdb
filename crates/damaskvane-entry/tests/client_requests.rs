//! Wrong requests on the clients' address: each refusal says what is wrong and what to do.

mod common;

use std::io::Write;

use common::Entry;

const BOUNDS: &str = "head_timeout_ms = 400\nbody_timeout_ms = 400\nbody_limit_bytes = 1024\n";
const WORK: &str = "/v1/services/rider-desk/work";

/// Request line, headers, body; the status, reason and part of the detail that it gets.
type Case<'a> = (&'a str, String, &'a [u8], u16, &'a str, &'a str);

struct Refused {
    status: u16,
    head: String,
    body: serde_json::Value,
}

fn refusal(answer: &str) -> Refused {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    Refused {
        status: head
            .get(9..12)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0),
        head: head.to_lowercase(),
        body: serde_json::from_str(body).unwrap_or_default(),
    }
}

/// Sends one request with a name, reads the refusal and checks what every refusal has.
fn refused(entry: &Entry, line: &str, headers: &str, body: &[u8]) -> Refused {
    let head = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ndamaskvane-request-id: r-1\r\n{headers}\r\n"
    );
    let answer = common::exchange(entry.address("client"), &[head.as_bytes(), body].concat());
    let refused = refusal(&answer);
    assert!(
        refused.head.contains("damaskvane-outcome: not-run"),
        "{answer}"
    );
    assert!(refused.head.contains("retry-after-ms: "), "{answer}");
    assert!(
        !refused.body["remedy"].as_str().unwrap_or("").is_empty(),
        "{answer}"
    );
    refused
}

/// A client sends a header that can't be read. Guessing would run a request with a deadline, key or home
/// that nobody chose; the refusal names the header, its value and what to send.
#[test]
fn each_header_of_the_system_is_refused_by_name_where_its_value_is_wrong() {
    let entry = Entry::start("wrong-headers", BOUNDS);
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
        let refused = refused(
            &entry,
            &format!("GET {WORK}"),
            &format!("{name}: {value}\r\n"),
            b"",
        );
        let detail = refused.body["detail"].as_str().unwrap_or("");
        assert_eq!(
            (refused.status, &refused.body["reason"]),
            (400, &"malformed_request".into()),
            "{name}: {detail}"
        );
        assert!(
            detail.contains(name) && detail.contains(&format!("{value:?};")),
            "{detail}"
        );
        assert!(
            refused.head.contains("damaskvane-request-id: r-1"),
            "{}",
            refused.head
        );
    }
    let both = "damaskvane-idempotency-key: k\r\ndamaskvane-home: a/1\r\ndamaskvane-try: first\r\n";
    assert_eq!(
        refused(&entry, &format!("POST {WORK}"), both, b"").status,
        400
    );
    let answer = common::exchange(
        entry.address("client"),
        format!("GET {WORK} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ndamaskvane-request-id: a b\r\n\r\n").as_bytes(),
    );
    assert_eq!(refusal(&answer).status, 400, "{answer}");
    assert_eq!(entry.count("refused.malformed_request"), 10);
}

/// Requests that lack what makes them safe, or that ask for nothing that exists.
#[test]
fn what_is_missing_unknown_or_too_long_is_refused_with_its_reason() {
    let entry = Entry::start("wrong-requests", BOUNDS);
    let long = vec![b'x'; 2_000];
    let whole = format!("content-length: {}\r\n", long.len());
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
            format!("{key}{home}{whole}"),
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
        let refused = refused(&entry, line, &headers, body);
        assert_eq!(
            (refused.status, &refused.body["reason"]),
            (status, &reason.into()),
            "{line}"
        );
        let said = refused.body["detail"].as_str().unwrap_or("");
        assert!(said.contains(detail), "{line}: {said}");
    }
}

/// A body that comes a byte at a time, or breaks off. The first is refused at the time-out, the second
/// never reaches the engine.
#[test]
fn a_slow_body_is_refused_and_a_cut_one_is_not_run() {
    let entry = Entry::start("slow-body", BOUNDS);
    let head = format!(
        "POST {WORK} HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\ndamaskvane-idempotency-key: k\r\ndamaskvane-home: a/1\r\n\r\n"
    );
    let slow = refusal(&common::exchange(entry.address("client"), head.as_bytes()));
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
    let mut cut = common::connect(entry.address("client"));
    cut.write_all(head.as_bytes()).expect("sent");
    drop(cut);
    common::wait_until("the cut connection is counted", || {
        entry.count("connections.broken") + entry.count("refused.malformed_request") > 1
    });
    assert_eq!(entry.status()["requests"]["keys"].as_u64().unwrap_or(0), 0);
}

/// Backend servers take `POST /cancel/{request_id}` from entry instances. A client that reached it through an
/// entry instance, by whatever spelling, could stop the requests of others; they would see *outcome unknown*.
#[test]
fn no_client_reaches_what_backend_servers_offer_to_entry_instances() {
    let entry = Entry::start("reserved-paths", BOUNDS);
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
        let answer = common::exchange(
            entry.address("client"),
            format!("{line}{key}\r\n").as_bytes(),
        );
        assert!(answer.starts_with("HTTP/1.1 400"), "{path}: {answer}");
    }
    for path in ["/cancellations/9", "/work/cancel/9", "/a..b/c", "/healthy"] {
        let line = format!(
            "GET /v1/services/rider-desk{path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        );
        let answer = common::exchange(entry.address("client"), line.as_bytes());
        assert!(!answer.starts_with("HTTP/1.1 400"), "{path}: {answer}");
    }
}
