//! The threads that make the calls.
//!
//! ```
//! use damaskvane_entry::store;
//!
//! fn takes_store(store: &store::Store) {
//!     store.submit(store::StoreJob::ReadHead);
//! }
//! ```

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::thread;

use damaskvane_config::{chunk, manifest};
use damaskvane_core::hash;
use damaskvane_platform::{api, api::ObjectApi, backoff, http, write};
use damaskvane_telemetry::counters;

use crate::store::job::{StoreJob, StoreReport};

const HEAD_KIND: &str = "head";
const HEAD_NAME: &str = "config";
const CHUNK_KIND: &str = "chunk";
const INSTANCE_KIND: &str = "instance";
const ANNOUNCE_TRIES: u32 = 3;
const CALLS: &str = "store";

/// Makes calls on the platform: watches on one thread, everything else on another.
#[derive(Debug)]
pub struct Store {
    watches: flume::Sender<StoreJob>,
    calls: flume::Sender<StoreJob>,
}

struct Worker {
    api: Arc<http::HttpObjectApi>,
    serving: Arc<crate::serving::Serving>,
    reports: Box<dyn Fn(StoreReport) + Send>,
}

impl Store {
    /// Starts the threads; every job leads to one call of `report`.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start(
        api: &Arc<http::HttpObjectApi>,
        serving: &Arc<crate::serving::Serving>,
        report: impl Fn(StoreReport) + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let (watches, watch_jobs) = flume::unbounded();
        let (calls, call_jobs) = flume::unbounded();
        for (name, jobs) in [("store-watch", watch_jobs), ("store-call", call_jobs)] {
            let worker = Worker {
                api: Arc::clone(api),
                serving: Arc::clone(serving),
                reports: Box::new(report.clone()),
            };
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || worker.run(&jobs))?;
        }
        Ok(Self { watches, calls })
    }

    /// Queues a call.
    pub fn submit(&self, job: StoreJob) {
        let queue = match job {
            StoreJob::WatchHead { .. } => &self.watches,
            _ => &self.calls,
        };
        let _ = queue.send(job);
    }
}

impl Worker {
    fn run(&self, jobs: &flume::Receiver<StoreJob>) {
        while let Ok(job) = jobs.recv() {
            let report = self.call(job);
            if let StoreReport::Unavailable { call } = report {
                self.counters().increment(CALLS, &format!("{call}_failed"));
            }
            (self.reports)(report);
        }
    }

    fn counters(&self) -> &counters::Counters {
        &self.serving.counters
    }

    fn call(&self, job: StoreJob) -> StoreReport {
        match job {
            StoreJob::WatchHead { after, wait } => {
                self.counters().increment(CALLS, "watch");
                match self.api.watch(HEAD_KIND, after, wait) {
                    Ok(listing) => self.read_head(Some(listing.revision)),
                    Err(_) => StoreReport::Unavailable { call: "watch" },
                }
            }
            StoreJob::ReadHead => self.read_head(None),
            StoreJob::ReadChunks(hashes) => self.read_chunks(hashes),
            StoreJob::ListInstances => {
                self.counters().increment(CALLS, "instances");
                match self.api.instances() {
                    Ok(instances) => StoreReport::Instances(instances),
                    Err(_) => StoreReport::Unavailable { call: "instances" },
                }
            }
            StoreJob::Announce(record) => self.announce(&record),
        }
    }

    fn read_head(&self, revision: Option<api::Revision>) -> StoreReport {
        self.counters().increment(CALLS, "head");
        let failed = StoreReport::Unavailable { call: "head" };
        let Ok(object) = self.api.get(&api::ObjectKey::new(HEAD_KIND, HEAD_NAME)) else {
            return failed;
        };
        let Some(object) = object else {
            return StoreReport::Head {
                head: None,
                revision,
            };
        };
        match manifest::Head::decode(&object.value) {
            Ok(head) => StoreReport::Head {
                head: Some(Box::new(head)),
                revision,
            },
            Err(_) => failed,
        }
    }

    fn read_chunks(&self, hashes: Vec<hash::ContentHash>) -> StoreReport {
        let mut chunks = BTreeMap::new();
        for hash in hashes {
            self.counters().increment(CALLS, "chunk");
            let key = api::ObjectKey::new(CHUNK_KIND, hash.to_string());
            let Ok(Some(object)) = self.api.get(&key) else {
                return StoreReport::Unavailable { call: "chunk" };
            };
            let chunk = chunk::Chunk::from_bytes(object.value);
            if chunk.hash() == hash {
                chunks.insert(hash, chunk);
            }
        }
        StoreReport::Chunks(chunks)
    }

    fn announce(&self, record: &api::InstanceRecord) -> StoreReport {
        self.counters().increment(CALLS, "announce");
        let failed = StoreReport::Unavailable { call: "announce" };
        let key = api::ObjectKey::new(INSTANCE_KIND, record.instance.as_str());
        let Ok(value) = serde_json::to_vec(record) else {
            return failed;
        };
        let version = match self.api.get(&key) {
            Ok(object) => object.map_or(api::ObjectVersion::ABSENT, |object| object.version),
            Err(_) => return failed,
        };
        let id = format!(
            "{}-{}-{}",
            record.instance, record.incarnation, record.leaving
        );
        let mut backoff = backoff::Backoff::new(
            backoff::BackoffSettings::default(),
            record.incarnation.get(),
        );
        match write::put(
            &*self.api,
            &key,
            version,
            &value,
            &api::WriteId::new(&id),
            &mut backoff,
            ANNOUNCE_TRIES,
        ) {
            write::Outcome::Applied(_) => StoreReport::Announced,
            _ => failed,
        }
    }
}
