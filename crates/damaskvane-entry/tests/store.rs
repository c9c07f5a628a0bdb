//! Calls to the platform: which stored records an instance's write of its record may replace.

use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_entry::{serving, store};
use damaskvane_objects::{api, api::ObjectApi, http};
use damaskvane_standins::platform;
use damaskvane_telemetry::counters;

/// A stand-in platform and a store whose calls are made one at a time.
struct Platform {
    running: platform::LocalServer,
    store: store::Store,
    reports: flume::Receiver<store::StoreReport>,
}

impl Platform {
    fn start() -> Self {
        let running = platform::LocalServer::start("secret-e e").expect("a free port");
        let serving = serving::Serving::new(counters::Counters::local(), "e-1");
        let (sender, reports) = flume::unbounded();
        let report = move |report| sender.send(report).expect("the test receives reports");
        let api = Arc::new(client(&running));
        let store = store::Store::start(&api, &Arc::new(serving), report).expect("threads");
        Self {
            running,
            store,
            reports,
        }
    }

    fn call(&self, job: store::StoreJob) -> store::StoreReport {
        self.store.submit(job);
        self.reports.recv().expect("a report")
    }

    fn announce(&self, record: &api::InstanceRecord) -> store::StoreReport {
        self.call(store::StoreJob::Announce(record.clone()))
    }

    fn fence(&self, record: &api::InstanceRecord, goes_on_alone: bool) -> store::FenceOutcome {
        let report = self.call(store::StoreJob::Fence {
            instance: record.instance.clone(),
            incarnation: record.incarnation,
            goes_on_alone,
            own: fencer(),
        });
        match report {
            store::StoreReport::Fenced { outcome, .. } => outcome,
            other => panic!("{other:?}"),
        }
    }

    fn stored_record(&self) -> api::InstanceRecord {
        let key = api::ObjectKey::new("instance", "e-1");
        let object = client(&self.running).get(&key).expect("reads");
        serde_json::from_slice(&object.expect("stored").value).expect("a record")
    }
}

fn client(running: &platform::LocalServer) -> http::HttpObjectApi {
    let token = "secret-e".parse().expect("a token");
    http::HttpObjectApi::new(http::PlatformSettings {
        timeout_ms: time::SpanMs::new(5_000),
        calls_per_second: 1_000,
        ..http::PlatformSettings::new(running.address(), token)
    })
}

fn record(incarnation: u64, leaving: bool) -> api::InstanceRecord {
    let address = "127.0.0.1:1".parse().expect("an address");
    api::InstanceRecord {
        instance: "e-1".parse().expect("a name"),
        availability_zone: "sask-a".parse().expect("a zone"),
        region: "sask".parse().expect("a region"),
        incarnation: ids::Incarnation::new(incarnation),
        client_address: address,
        peer_address: address,
        operator_address: address,
        leaving,
        fenced: false,
        goes_on_alone: false,
    }
}

/// Returns the record of the instance that fences others.
fn fencer() -> api::InstanceRecord {
    api::InstanceRecord {
        instance: "e-2".parse().expect("a name"),
        ..record(1, false)
    }
}

/// Guards against a fenced instance that regains its authority by overwriting the fence record at a planned stop.
#[test]
fn a_planned_stop_does_not_overwrite_a_fence_record() {
    let platform = Platform::start();
    let own = record(7, false);
    assert!(matches!(
        platform.announce(&own),
        store::StoreReport::Announced
    ));
    assert_eq!(platform.fence(&own, false), store::FenceOutcome::Applied);
    let stopped = platform.announce(&record(7, true));
    assert!(
        matches!(stopped, store::StoreReport::Superseded),
        "{stopped:?}"
    );
    assert!(platform.stored_record().fenced);
}

/// Guards against a delayed write that hides a later incarnation from the readers of the list.
#[test]
fn an_earlier_incarnation_does_not_replace_the_record_of_a_later_one() {
    let platform = Platform::start();
    platform.announce(&record(8, false));
    let late = platform.announce(&record(7, false));
    assert!(matches!(late, store::StoreReport::Superseded), "{late:?}");
    assert_eq!(
        platform.stored_record().incarnation,
        ids::Incarnation::new(8)
    );
}

/// Guards against a fenced instance that can't restart.
#[test]
fn a_later_incarnation_replaces_the_fence_record_of_an_earlier_one() {
    let platform = Platform::start();
    platform.announce(&record(7, false));
    platform.fence(&record(7, false), false);
    let restarted = platform.announce(&record(8, false));
    assert!(
        matches!(restarted, store::StoreReport::Announced),
        "{restarted:?}"
    );
    assert!(!platform.stored_record().fenced);
}

/// Guards against a first fence record that hides that the fenced instance may continue without peers: a new
/// instance would not wait until that instance's authority ends.
#[test]
fn a_fence_record_can_be_extended_for_an_instance_that_continues_without_peers() {
    let platform = Platform::start();
    let own = record(7, false);
    platform.announce(&own);
    platform.fence(&own, false);
    assert_eq!(platform.fence(&own, true), store::FenceOutcome::Applied);
    assert!(platform.stored_record().goes_on_alone);
    assert_eq!(platform.fence(&own, false), store::FenceOutcome::Applied);
    assert!(platform.stored_record().goes_on_alone);
}

/// Guards against two instances that can't reach each other and both stop, since each fences the other: one that was
/// fenced finds its own record before it writes another's.
#[test]
fn a_fenced_instance_fences_no_other_one() {
    let platform = Platform::start();
    let (own, other) = (record(7, false), fencer());
    for announced in [&own, &other] {
        let report = platform.announce(announced);
        assert!(matches!(report, store::StoreReport::Announced));
    }
    assert_eq!(platform.fence(&own, false), store::FenceOutcome::Applied);
    let report = platform.call(store::StoreJob::Fence {
        instance: other.instance,
        incarnation: other.incarnation,
        goes_on_alone: false,
        own,
    });
    assert!(
        matches!(report, store::StoreReport::Superseded),
        "{report:?}"
    );
    let key = api::ObjectKey::new("instance", "e-2");
    let object = client(&platform.running).get(&key).expect("reads");
    let stored: api::InstanceRecord =
        serde_json::from_slice(&object.expect("stored").value).expect("a record");
    assert!(!stored.fenced);
}
