//! Why no slots are granted, as an operator reads it of separate processes: status, log and counters.
//!
//! A slot is the right to run one request on a backend server.

use std::path::Path;
use std::time::{Duration, Instant};
use std::{fs, thread};

use damaskvane_bench::cluster::{Cluster, Deployment, Programs};
use serde_json::Value;

/// The longest wait for anything.
const LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);
/// What the first owner waits at most after its start: a lease and its margin.
const MAX_WAIT_MS: u64 = 5_300;
const SERVERS: usize = 2;
/// Maximum difference of the counted time from the waits of all servers; ticks of a busy machine are late.
const MAX_DEVIATION_MS: u64 = 1_000;
const PROGRAMS: [&str; 4] = [
    "damaskvane-entry",
    "damaskvane-ctl",
    "damaskvane-standin-platform",
    "damaskvane-standin-backend",
];

fn start() -> Cluster {
    let programs = Programs::beside_this_one().expect("the path of this test");
    for program in PROGRAMS {
        let path = programs.path(program);
        assert!(
            Path::new(&path).exists(),
            "{} is missing; run `cargo build --workspace --bins` first, as dev/test does",
            path.display()
        );
    }
    let mut deployment = Deployment::grid(1, 1, 1);
    deployment.services[0].servers = SERVERS;
    let mut cluster = Cluster::start(deployment, "").expect("every program starts");
    cluster
        .submit_whole("blocked slots")
        .expect("the ticket is accepted");
    cluster
}

/// Polls the status of the only instance until it shows a backend server with this reason.
fn wait_for_reason(cluster: &Cluster, reason: &str) -> Value {
    let start = Instant::now();
    while start.elapsed() < LIMIT {
        let status = cluster.entries[0].status().expect("a status");
        let servers = status.rest.get("slots").and_then(Value::as_array);
        let blocked = servers
            .into_iter()
            .flatten()
            .find(|server| server["blocked"]["reason"] == reason);
        if let Some(server) = blocked {
            return server.clone();
        }
        thread::sleep(POLL);
    }
    panic!("no backend server is blocked by {reason}");
}

fn log_lines(cluster: &Cluster) -> Vec<Value> {
    let name = format!("{}.log", cluster.entries[0].instance());
    let log = fs::read_to_string(cluster.directory().join(name)).expect("a log");
    let lines = log.lines().map(serde_json::from_str);
    lines.collect::<Result<_, _>>().expect("lines of JSON")
}

/// Guards against a fresh zone that refuses for seconds while its operator sees no reason and no end.
#[test]
fn the_wait_of_a_fresh_zone_is_in_status_log_and_counters() {
    let cluster = start();
    let server = wait_for_reason(&cluster, "earlier_leases");
    assert_eq!(server["phase"], "waiting");
    let remaining_ms = server["blocked"]["remaining_ms"].as_u64();
    assert!(remaining_ms.is_some_and(|remaining| remaining <= MAX_WAIT_MS));

    cluster.wait_serving(LIMIT).expect("the instance serves");
    thread::sleep(Duration::from_millis(1_500));
    let status = cluster.entries[0].status().expect("a status");
    let servers = status.rest["slots"].as_array().expect("servers");
    assert!(servers.iter().all(|server| server["blocked"].is_null()));
    let counted_ms = status.counters["slots_blocked_ms.earlier_leases"];

    let lines = log_lines(&cluster);
    let mut waited_ms = 0;
    for server in servers {
        let of_server = lines
            .iter()
            .filter(|line| line["backend_server"] == server["backend_server"])
            .filter(|line| line["phase"].is_string())
            .collect::<Vec<_>>();
        let waits = of_server
            .iter()
            .filter(|line| line["reason"] == "earlier_leases")
            .map(|line| line["remaining_ms"].as_u64().expect("an end"))
            .collect::<Vec<_>>();
        assert_eq!(waits.len(), 1, "{of_server:?}");
        assert!(waits[0] <= MAX_WAIT_MS, "{of_server:?}");
        waited_ms += waits[0];
        let last = of_server.last().expect("a line");
        assert_eq!(last["msg"], "this instance grants slots", "{of_server:?}");
        assert!(of_server.len() <= 4, "{of_server:?}");
    }
    assert!(
        counted_ms.abs_diff(waited_ms) < MAX_DEVIATION_MS,
        "counted {counted_ms} of {waited_ms} ms"
    );
}
