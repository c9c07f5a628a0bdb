//! Calls on the platform: what a write of the own record may and may not replace.

use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_entry::{serving, store};
use damaskvane_objects::{api, api::ObjectApi, http};
use damaskvane_standins::platform;
use damaskvane_telemetry::counters;

/// A platform, and a store whose reports are waited for.
struct Platform {
    running: platform::Running,
    store: store::Store,
    reports: flume::Receiver<store::StoreReport>,
}

impl Platform {
    fn start() -> Self {
        let running = platform::Running::start("secret-e e").expect("a free port");
        let serving = serving::Serving::new(counters::Counters::local(), "e-1");
        let (sender, reports) = flume::unbounded();
        let report = move |report| sender.send(report).expect("the test waits");
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
        });
        match report {
            store::StoreReport::Fenced { outcome, .. } => outcome,
            other => panic!("{other:?}"),
        }
    }

    fn stored(&self) -> api::InstanceRecord {
        let key = api::ObjectKey::new("instance", "e-1");
        let object = client(&self.running).get(&key).expect("reads");
        serde_json::from_slice(&object.expect("there").value).expect("a record")
    }
}

fn client(running: &platform::Running) -> http::HttpObjectApi {
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

/// Guards against a fenced instance that comes back by writing into its record that it leaves.
#[test]
fn a_planned_stop_does_not_erase_the_mark_of_a_fence() {
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
    assert!(platform.stored().fenced);
}

/// Guards against a write that was held up and hides a later start from all that read the list.
#[test]
fn an_earlier_start_does_not_replace_the_record_of_a_later_one() {
    let platform = Platform::start();
    platform.announce(&record(8, false));
    let late = platform.announce(&record(7, false));
    assert!(matches!(late, store::StoreReport::Superseded), "{late:?}");
    assert_eq!(platform.stored().incarnation, ids::Incarnation::new(8));
}

/// Guards against a fenced instance that could not start anew.
#[test]
fn a_later_start_replaces_the_mark_of_an_earlier_one() {
    let platform = Platform::start();
    platform.announce(&record(7, false));
    platform.fence(&record(7, false), false);
    let anew = platform.announce(&record(8, false));
    assert!(matches!(anew, store::StoreReport::Announced), "{anew:?}");
    assert!(!platform.stored().fenced);
}

/// Guards against a first mark that keeps a newcomer from waiting for one that goes on alone.
#[test]
fn a_mark_is_raised_to_one_of_an_instance_that_goes_on_alone() {
    let platform = Platform::start();
    let own = record(7, false);
    platform.announce(&own);
    platform.fence(&own, false);
    assert_eq!(platform.fence(&own, true), store::FenceOutcome::Applied);
    assert!(platform.stored().goes_on_alone);
    assert_eq!(platform.fence(&own, false), store::FenceOutcome::Applied);
    assert!(platform.stored().goes_on_alone);
}
