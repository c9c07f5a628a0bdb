//! An instance that never read the platform's list, with separate processes: its zone has to serve.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use damaskvane_bench::cluster::{Cluster, Deployment, Entry, Programs, Signal};
use damaskvane_core::ids;
use damaskvane_objects::{api, api::ObjectApi, http};
use damaskvane_standins::platform;

/// The longest wait for anything.
const LIMIT: Duration = Duration::from_secs(60);
/// The longest wait for the newcomer to serve: the time after which leases of unknown fenced instances have expired,
/// twice.
const SERVE_LIMIT: Duration = Duration::from_secs(120);
const POLL: Duration = Duration::from_millis(20);
const SERVICE: &str = "rider-desk";
/// The time in which a call that was made before a pause of its process ends at the platform.
const CALLS_END: Duration = Duration::from_millis(300);

/// The time after which no lease of a dead owner serves any more.
const LEASES_END: Duration = Duration::from_secs(10);

/// The time in which neighbours that hear each other confirm each other's heartbeats, several times over. An instance
/// that a dead neighbour never confirmed may have been fenced by it, and must not serve without the platform.
const ECHOED: Duration = Duration::from_secs(3);

/// Cargo builds the programs of other crates only when asked; a missing one has to say how.
fn assert_built() {
    let programs = Programs::beside_this_one().expect("the path of this test");
    for program in ["damaskvane-entry", "damaskvane-ctl"] {
        let path = programs.path(program);
        assert!(
            Path::new(&path).exists(),
            "{} is missing; run `cargo build --workspace --bins` first, as dev/test does",
            path.display()
        );
    }
}

fn wait_until(what: &str, limit: Duration, mut check: impl FnMut() -> bool) {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < limit, "timed out waiting until {what}");
        thread::sleep(POLL);
    }
}

/// Returns the incarnation that an instance's status shows.
fn incarnation(entry: &Entry) -> u64 {
    entry.status().expect("a status").incarnation
}

/// Returns the number of instances whose heartbeats an instance has received.
fn heard(entry: &Entry) -> usize {
    let status = entry.status().unwrap_or_default();
    let members = status.rest.get("instances").cloned().unwrap_or_default();
    let members = members.as_array().cloned().unwrap_or_default();
    let heard = members.iter().filter(|member| member["silent_ms"].is_u64());
    heard.count()
}

/// Writes the record of the third instance to the platform, as a write of its own that took effect and whose response
/// was lost.
fn write_record(cluster: &Cluster, incarnation: u64) {
    let entry = &cluster.entries[2];
    let address = |text: &str| text.parse().expect("an address");
    let record = api::InstanceRecord {
        instance: entry.instance().parse().expect("a name"),
        availability_zone: entry.zone().parse().expect("a zone"),
        region: "region1".parse().expect("a region"),
        incarnation: ids::Incarnation::new(incarnation),
        client_address: address(entry.client_address()),
        peer_address: address(entry.peer_address()),
        operator_address: address(entry.operator_address()),
        leaving: false,
        fenced: false,
        goes_on_alone: false,
    };
    let token = format!("token-{}", entry.instance());
    let settings =
        http::PlatformSettings::new(cluster.platform_address(), token.parse().expect("a token"));
    let platform = http::HttpObjectApi::new(settings);
    let key = api::ObjectKey::new("instance", entry.instance());
    let stored = platform.get(&key).expect("a read");
    let version = stored.map_or(api::ObjectVersion::ABSENT, |object| object.version);
    let value = serde_json::to_vec(&record).expect("JSON");
    let written = platform.put_if(&key, version, &value, &api::WriteId::new("newcomer"));
    assert!(
        matches!(written, api::WriteResult::Applied { .. }),
        "{written:?}"
    );
}

fn signal(entry: &mut Entry, signal: Signal) {
    entry.process_mut().expect("it runs").signal(signal);
}

/// Returns whether the status of an instance names another one under this incarnation.
fn knows(entry: &Entry, instance: &str, incarnation: u64) -> bool {
    let status = entry.status().unwrap_or_default();
    let members = status.rest.get("instances").cloned().unwrap_or_default();
    let members = members.as_array().cloned().unwrap_or_default();
    members
        .iter()
        .any(|member| member["instance"] == instance && member["incarnation"] == incarnation)
}

/// Guards against a zone that serves nothing because its only instance never read a list. The instance writes its
/// record, loses the platform before its first read, and names no seeds; the two others read the record, and then
/// their machines go away. Nobody is left who could serve but the one that was never told of anybody.
#[test]
fn an_instance_that_never_read_a_list_serves_after_its_neighbours_have_gone() {
    assert_built();
    let mut deployment = Deployment::grid(1, 1, 3);
    deployment.services[0].servers = 2;
    let mut cluster = Cluster::start(deployment, "settle_ms = 0\n").expect("every program starts");
    cluster
        .submit_whole("first")
        .expect("the ticket is accepted");
    cluster.wait_in_force(1, LIMIT).expect("in force");
    cluster.wait_serving(LIMIT).expect("every instance serves");
    let programs = cluster.programs().clone();
    let platform = cluster.platform();

    cluster.entries[2].kill();
    cluster.entries[2].set_seeds("");
    let down = platform::Faults {
        down: true,
        ..platform::Faults::default()
    };
    platform.set_faults(&down).expect("a running stand-in");
    cluster.entries[2].start(&programs).expect("starts");
    let started = incarnation(&cluster.entries[2]);
    signal(&mut cluster.entries[2], Signal::Pause);
    thread::sleep(CALLS_END);
    platform
        .set_faults(&platform::Faults::default())
        .expect("a running stand-in");
    write_record(&cluster, started);
    let newcomer = cluster.entries[2].instance().to_owned();
    for entry in &cluster.entries[..2] {
        wait_until("the others have read its record", LIMIT, || {
            knows(entry, &newcomer, started)
        });
    }
    platform.set_faults(&down).expect("a running stand-in");
    signal(&mut cluster.entries[2], Signal::Resume);
    wait_until("the newcomer has the configuration", LIMIT, || {
        let status = cluster.entries[2].status().unwrap_or_default();
        status.config_version == 1
    });
    wait_until("all its reads of the list have failed", LIMIT, || {
        let counters = cluster.entries[2].status().unwrap_or_default().counters;
        let count = |name: &str| counters.get(name).copied().unwrap_or(0);
        count("store.instances") > 0 && count("store.instances") == count("store.instances_failed")
    });
    wait_until("it serves beside the others", LIMIT, || {
        cluster.entries[2].serves(SERVICE)
    });
    wait_until("it hears both others", LIMIT, || {
        heard(&cluster.entries[2]) == 2
    });
    thread::sleep(ECHOED);
    cluster.entries[0].kill();
    cluster.entries[1].kill();
    // Leases that the others granted serve a while longer.
    thread::sleep(LEASES_END);
    wait_until("it serves alone", SERVE_LIMIT, || {
        cluster.entries[2].serves(SERVICE)
    });
}
