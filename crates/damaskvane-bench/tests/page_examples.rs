//! What docs/API.md shows, asked of real processes.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use damaskvane_bench::cluster::{Cluster, Deployment, Programs};

const LIMIT: Duration = Duration::from_secs(60);

struct Answer {
    status: u16,
    head: String,
    body: serde_json::Value,
}

impl Answer {
    fn header(&self, name: &str) -> &str {
        let mut lines = self.head.lines();
        let line = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.unwrap_or_default()
    }
}

fn ask(address: &str, line: &str, headers: &[&str], body: &str) -> Answer {
    let mut stream = TcpStream::connect(address).expect("connects");
    stream.set_read_timeout(Some(LIMIT)).expect("set");
    let headers: String = headers
        .iter()
        .map(|header| format!("{header}\r\n"))
        .collect();
    let length = body.len();
    let request = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    );
    stream.write_all(request.as_bytes()).expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("whole");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    Answer {
        status: head[9..12].parse().expect("a status"),
        head: head.to_lowercase(),
        body: serde_json::from_str(body).unwrap_or_default(),
    }
}

/// The first JSON object of a part of the page.
fn example(page: &str, part: &str) -> serde_json::Value {
    let (_, rest) = page.split_once(part).expect("the part exists");
    let (_, rest) = rest.split_once("```json\n").expect("an example");
    let (text, _) = rest.split_once("```").expect("an end");
    serde_json::from_str(text).expect("JSON")
}

fn keys(value: &serde_json::Value) -> Vec<&str> {
    let mut keys: Vec<&str> = value
        .as_object()
        .expect("an object")
        .keys()
        .map(String::as_str)
        .collect();
    keys.sort_unstable();
    keys
}

fn start() -> Cluster {
    let programs = Programs::beside_this_one().expect("the path of this test");
    let entry = programs.path("damaskvane-entry");
    assert!(
        entry.exists(),
        "run `cargo build --workspace --bins` first, as dev/test does"
    );
    let mut cluster = Cluster::start(Deployment::grid(1, 1, 1), "").expect("every program starts");
    cluster.submit_whole("page examples").expect("accepted");
    cluster.wait_in_force(1, LIMIT).expect("in force");
    cluster.wait_serving(LIMIT).expect("serves");
    cluster
}

/// Somebody writes a client from the page. What the page shows has to be what the programs say, from the
/// look-up over a request and its refusals to the status, with the names spelt alike.
#[test]
fn the_page_shows_what_the_programs_say() {
    let page = include_str!("../../../docs/API.md");
    let cluster = start();
    let client = cluster.entries[0].client_address();

    let lookup = ask(
        client,
        "GET /v1/lookup?service=rider-desk&client=region1-z1-17",
        &[],
        "",
    );
    let shown = example(page, "### Look-up");
    assert_eq!((lookup.status, keys(&lookup.body)), (200, keys(&shown)));
    assert_eq!(keys(&lookup.body["entries"][0]), keys(&shown["entries"][0]));
    let entry = &lookup.body["entries"][0];
    assert_eq!(entry["address"], client);
    let home = format!(
        "{}/{}",
        entry["instance"].as_str().expect("a name"),
        entry["incarnation"]
    );

    let lacking = ask(client, "GET /v1/lookup?service=rider-desk", &[], "");
    assert_eq!(
        (lacking.status, lacking.header("damaskvane-reason")),
        (400, "malformed_request")
    );

    let read = ask(
        client,
        "GET /v1/services/rider-desk/work?ms=1",
        &[
            "damaskvane-request-id: r-1",
            "damaskvane-client: region1-z1-17",
            "damaskvane-deadline-ms: 5000",
        ],
        "",
    );
    assert_eq!(
        (read.status, read.header("damaskvane-outcome")),
        (200, "completed")
    );
    assert_eq!(read.header("damaskvane-request-id"), "r-1");

    let home_header = format!("damaskvane-home: {home}");
    let write = |request_id: &str, body: &str| {
        let request_id = format!("damaskvane-request-id: {request_id}");
        let headers = [
            &request_id,
            "damaskvane-idempotency-key: k-1",
            home_header.as_str(),
            "damaskvane-priority: high",
        ];
        ask(
            client,
            "POST /v1/services/rider-desk/work?ms=1",
            &headers,
            body,
        )
    };
    let first = write("w-1", "book");
    assert_eq!(
        (first.status, first.header("damaskvane-outcome")),
        (200, "completed")
    );
    let again = write("w-2", "book");
    assert_eq!(
        (again.status, again.header("damaskvane-request-id")),
        (200, "w-2")
    );
    assert_eq!(again.body, first.body, "a repeat gets the same answer");
    let other = write("w-3", "another body");
    assert_eq!(
        (other.status, other.header("damaskvane-outcome")),
        (400, "not-run")
    );
    let ran = cluster.backends().executions().expect("the log");
    let booked = ran
        .iter()
        .filter(|one| one.idempotency_key == "k-1")
        .count();
    assert_eq!(booked, 1);

    for (line, status, reason) in [
        ("GET /v1/services/nothing/work", 404, "service_unknown"),
        ("POST /v1/services/rider-desk/work", 400, "key_missing"),
    ] {
        let refused = ask(client, line, &["damaskvane-request-id: r-2"], "");
        assert_eq!(
            (refused.status, refused.header("damaskvane-reason")),
            (status, reason)
        );
        assert_eq!(refused.header("damaskvane-outcome"), "not-run");
        assert_eq!(refused.header("damaskvane-request-id"), "r-2");
        assert!(
            refused.header("retry-after-ms").parse::<u64>().is_ok(),
            "{}",
            refused.head
        );
    }

    let status = ask(
        cluster.entries[0].operator_address(),
        "GET /v1/status",
        &[],
        "",
    );
    assert_eq!(
        (status.status, &status.body["instance"]),
        (200, &entry["instance"])
    );
    assert_eq!(status.body["config_version"], 1);
}

/// A client goes away while its request runs: the backend server is told, and its slot is free long before
/// the request would have ended.
#[test]
fn a_backend_server_stops_the_request_of_a_client_that_went_away() {
    let cluster = start();
    let mut client = TcpStream::connect(cluster.entries[0].client_address()).expect("connects");
    let request = "GET /v1/services/rider-desk/work?ms=600000 HTTP/1.1\r\nhost: x\r\ndamaskvane-request-id: gone-1\r\ndamaskvane-deadline-ms: 600000\r\n\r\n";
    client.write_all(request.as_bytes()).expect("sent");
    let wait = |what: &str, check: &dyn Fn() -> bool| {
        let begun = Instant::now();
        while !check() {
            assert!(begun.elapsed() < LIMIT, "waited too long: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let running = || {
        cluster
            .backends()
            .stats()
            .expect("the counters")
            .values()
            .any(|server| server.running > 0)
    };
    wait("the request runs", &running);
    drop(client);
    let stopped = || {
        let ran = cluster.backends().executions().expect("the log");
        ran.iter()
            .any(|one| one.request_id == "gone-1" && one.aborted)
    };
    wait("the request is stopped", &stopped);
}
