//! The logs and counters of a real entry instance.

mod common;

use std::net::UdpSocket;

use common::Entry;

/// The only field names that a log line may have.
const FIELDS: [&str; 22] = [
    "ts",
    "level",
    "msg",
    "program",
    "instance",
    "availability_zone",
    "service",
    "request_id",
    "ticket",
    "reason",
    "outcome",
    "config_version",
    "peer",
    "backend_server",
    "client_address",
    "drain_ms",
    "paused_ms",
    "leaving",
    "incarnation",
    "state",
    "from",
    "to",
];

fn send_refused_request(entry: &Entry) {
    let request = "GET /v1/services/rider-desk/work HTTP/1.1\r\nhost: x\r\nconnection: close\r\ndamaskvane-priority: urgent\r\n\r\n";
    let response = common::exchange(entry.address("client"), request.as_bytes());
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
}

/// An operator watches refusals on a statsd server. A single refusal has to be sent without waiting until further
/// counters fill a datagram.
#[test]
fn a_single_refusal_reaches_the_statsd_server() {
    let statsd = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    statsd.set_read_timeout(Some(common::WAIT)).expect("set");
    let address = statsd.local_addr().expect("bound");
    let entry = Entry::start("statsd", &format!("statsd_address = \"{address}\"\n"));
    send_refused_request(&entry);
    let mut datagram = [0; 2_048];
    loop {
        let length = statsd.recv(&mut datagram).expect("a datagram in time");
        let text = String::from_utf8_lossy(&datagram[..length]);
        if text
            .lines()
            .any(|line| line == "damaskvane.refused.malformed_request:1|c")
        {
            return;
        }
    }
}

/// Operators search the logs of all programs by field. Each line has to be JSON, name its program and instance,
/// and have only known fields; no line may contain the credential.
#[test]
fn log_lines_are_json_with_the_fixed_fields_and_without_the_credential() {
    let mut entry = Entry::start("logs", "log_level = \"debug\"\nstop_timeout_ms = 1000\n");
    send_refused_request(&entry);
    let request = "GET /v1/services/rider-desk/work HTTP/1.1\r\nhost: x\r\nconnection: close\r\ndamaskvane-request-id: r-7\r\n\r\n";
    common::exchange(entry.address("client"), request.as_bytes());
    assert_eq!(entry.stop().code(), Some(0));
    let log = entry.log();
    assert!(!log.contains("secret-of-the-test"), "{log}");
    let lines: Vec<serde_json::Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {line}")))
        .collect();
    for line in &lines {
        let fields = line.as_object().expect("an object");
        for field in ["ts", "level", "msg"] {
            assert!(fields.contains_key(field), "{line} lacks {field}");
        }
        assert_eq!(
            (
                &line["program"],
                &line["instance"],
                &line["availability_zone"]
            ),
            (&"damaskvane-entry".into(), &"logs".into(), &"z".into())
        );
        for field in fields.keys() {
            assert!(FIELDS.contains(&field.as_str()), "{field} in {line}");
        }
    }
    let has = |message: &str, field: &str, value: &str| {
        lines
            .iter()
            .any(|line| line["msg"] == message && line[field] == value)
    };
    assert!(
        has("request refused", "reason", "malformed_request"),
        "{log}"
    );
    assert!(has("request finished", "request_id", "r-7"), "{log}");
    assert!(has("request finished", "service", "rider-desk"), "{log}");
    assert!(has("request finished", "outcome", "not-run"), "{log}");
    assert!(has("stopped", "level", "INFO"), "{log}");
}
