//! The whole path with separate processes: ticket, look-up, request, whole answer.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use damaskvane_bench::cluster::{Cluster, Deployment, Programs};
use damaskvane_bench::{checker, client, http, load};

/// The longest wait for anything; the runs themselves take a few seconds.
const LIMIT: Duration = Duration::from_secs(60);
const PROGRAMS: [&str; 4] = [
    "damaskvane-entry",
    "damaskvane-ctl",
    "damaskvane-standin-platform",
    "damaskvane-standin-backend",
];

/// Cargo builds the programs of other crates only when asked; a missing one has to say how.
fn assert_built() {
    let programs = Programs::beside_this_one().expect("the path of this test");
    for program in PROGRAMS {
        let path = programs.path(program);
        assert!(
            Path::new(&path).exists(),
            "{} is missing; run `cargo build --workspace --bins` first, as dev/test does",
            path.display()
        );
    }
}

fn start() -> Cluster {
    assert_built();
    let mut deployment = Deployment::grid(1, 1, 2);
    deployment.services[0].servers = 2;
    let mut cluster = Cluster::start(deployment, "").expect("every program starts");
    cluster
        .submit_whole("whole path")
        .expect("the ticket is accepted");
    cluster
        .wait_in_force(1, LIMIT)
        .expect("the ticket is in force");
    cluster.wait_serving(LIMIT).expect("every instance serves");
    cluster
}

#[test]
fn a_request_goes_through_an_entry_instance_and_its_whole_answer_comes_back() {
    let cluster = start();
    let settings = client::ClientSettings {
        entries: cluster.client_addresses(),
        client: "region1-z1-7".to_owned(),
        ..client::ClientSettings::default()
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let client = client::Client::new(settings, Arc::new(http::Connections::default()));
        let answer = client.look_up("rider-desk").await.expect("an answer");
        assert_eq!(answer.config_version, 1);
        assert_eq!(answer.entries.len(), 2, "{answer:?}");
        let orders = [
            client::Order::read("rider-desk", "read-1", "/work?ms=5&bytes=20000"),
            client::Order::write("rider-desk", "write-1", "/work?ms=5&bytes=20000"),
        ];
        for order in orders {
            let given = client.send(&order, Instant::now()).await;
            assert_eq!(given.outcome, client::Outcome::Completed, "{given:?}");
            assert_eq!(given.fault, None, "{given:?}");
            assert!(given.body_bytes > 20_000, "{given:?}");
        }
    });
    let executions = cluster.backends().executions().expect("the log");
    let keys: Vec<&str> = executions
        .iter()
        .map(|execution| execution.idempotency_key.as_str())
        .filter(|key| !key.is_empty())
        .collect();
    assert_eq!(keys, ["key-write-1"]);
}

fn load_of(cluster: &Cluster, seconds: u64) -> load::LoadSettings {
    load::LoadSettings {
        entries: cluster.client_addresses(),
        client_prefixes: vec!["region1-z1".to_owned()],
        rate: 60,
        seconds,
        write_percent: 60,
        ..load::LoadSettings::default()
    }
}

/// An entry instance is stopped as planned while clients use it. What it runs ends, its keys and slots go
/// to the other one, and nobody is left with an unknown outcome.
#[test]
fn a_planned_stop_cuts_no_request() {
    let mut cluster = start();
    let settings = load_of(&cluster, 6);
    let running = std::thread::spawn(move || load::run(&settings, "stopped"));
    std::thread::sleep(Duration::from_secs(1));
    let exit_code = cluster.entries[1].stop(Duration::from_secs(30));
    let given = running.join().expect("no panic").expect("the load ran");
    assert_eq!(exit_code, Some(0));
    let cut = given
        .iter()
        .flat_map(|one| &one.tries)
        .filter(|own| own.outcome == client::Outcome::Unknown);
    assert_eq!(cut.count(), 0, "{}", load::Report::of(&given));
    let executions = cluster.backends().executions().expect("the log");
    let verdict = checker::check(&executions, &given);
    assert!(verdict.holds(), "{verdict}");
}

/// An entry instance is killed under load, as a machine that goes away is. Clients see refused and broken
/// connections and try again; none of their requests may run twice or be called not run when it ran.
#[test]
fn a_killed_instance_makes_no_request_run_twice() {
    let mut cluster = start();
    let settings = load_of(&cluster, 4);
    let running = std::thread::spawn(move || load::run(&settings, "killed"));
    std::thread::sleep(Duration::from_secs(2));
    cluster.entries[1].kill();
    let given = running.join().expect("no panic").expect("the load ran");
    let executions = cluster.backends().executions().expect("the log");
    let verdict = checker::check(&executions, &given);
    assert!(verdict.holds(), "{verdict}");
    let completed = given
        .iter()
        .filter(|one| one.outcome == client::Outcome::Completed);
    assert!(
        completed.count() > given.len() / 2,
        "{}",
        load::Report::of(&given)
    );
    let stats = cluster.backends().stats().expect("the counters");
    assert!(
        stats.values().all(|server| server.over_slots == 0),
        "{stats:?}"
    );
}
