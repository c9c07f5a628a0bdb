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
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use damaskvane_config::{chunk, document, manifest, ticket};
use damaskvane_core::{hash, ids};
use damaskvane_objects::{api, api::ObjectApi, backoff, http, write};

use crate::serving;
use crate::store::job::{Call, FenceOutcome, StoreJob, StoreReport};

const HEAD_KIND: &str = "head";
const HEAD_NAME: &str = "config";
const CHUNK_KIND: &str = "chunk";
const INSTANCE_KIND: &str = "instance";
const WRITE_TRIES: u32 = 3;
const CALLS: &str = "store";

/// Makes calls on the platform: watches on one thread, everything else on another.
#[derive(Debug)]
pub struct Store {
    watches: flume::Sender<StoreJob>,
    calls: flume::Sender<StoreJob>,
}

struct Worker {
    api: Arc<http::HttpObjectApi>,
    serving: Arc<serving::Serving>,
    reports: Box<dyn Fn(StoreReport) + Send>,
    /// Names the ticket of the head that was read last.
    ticket: Mutex<Option<hash::ContentHash>>,
}

impl Store {
    /// Starts the threads; every job leads to one call of `report`.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start(
        api: &Arc<http::HttpObjectApi>,
        serving: &Arc<serving::Serving>,
        report: impl Fn(StoreReport) + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let (watches, watch_jobs) = flume::unbounded();
        let (calls, call_jobs) = flume::unbounded();
        for (name, jobs) in [("store-watch", watch_jobs), ("store-call", call_jobs)] {
            let worker = Worker {
                api: Arc::clone(api),
                serving: Arc::clone(serving),
                reports: Box::new(report.clone()),
                ticket: Mutex::default(),
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
                let word = format!("{}_failed", call.as_str());
                self.serving.counters.increment(CALLS, &word);
            }
            (self.reports)(report);
        }
    }

    fn count(&self, call: Call) {
        self.serving.counters.increment(CALLS, call.as_str());
    }

    fn call(&self, job: StoreJob) -> StoreReport {
        match job {
            StoreJob::WatchHead { after, wait } => {
                self.count(Call::Watch);
                match self.api.watch(HEAD_KIND, after, wait) {
                    Ok(listing) => StoreReport::Watched {
                        revision: listing.revision,
                    },
                    Err(_) => StoreReport::Unavailable { call: Call::Watch },
                }
            }
            StoreJob::ReadHead => self.read_head(),
            StoreJob::ReadChunks(hashes) => self.read_chunks(&hashes),
            StoreJob::ListInstances { requested_at } => {
                self.count(Call::Instances);
                match self.api.instances() {
                    Ok(records) => StoreReport::Instances {
                        records,
                        requested_at,
                    },
                    Err(_) => StoreReport::Unavailable {
                        call: Call::Instances,
                    },
                }
            }
            StoreJob::Announce(record) => self.announce(&record),
            StoreJob::Fence {
                instance,
                incarnation,
                goes_on_alone,
            } => {
                let outcome = self.fence(&instance, incarnation, goes_on_alone);
                StoreReport::Fenced {
                    instance,
                    incarnation,
                    outcome,
                }
            }
            StoreJob::RemoveFenceRecord {
                instance,
                incarnation,
            } => self.unmark(instance, incarnation),
        }
    }

    fn read_head(&self) -> StoreReport {
        self.count(Call::Head);
        match self.api.get(&api::ObjectKey::new(HEAD_KIND, HEAD_NAME)) {
            Ok(Some(object)) => {
                let head = manifest::Head::decode(&object.value).ok();
                *self.lock_ticket() = head.and_then(|head| head.ticket_hash);
                StoreReport::Head {
                    bytes: object.value.into(),
                }
            }
            Ok(None) | Err(_) => StoreReport::Unavailable { call: Call::Head },
        }
    }

    /// Reads chunks; what a large ticket changed comes with one read of the ticket itself, whose text
    /// declares the whole new state of everything it touches. One call for each chunk would take longer than a
    /// ticket may take to be in force, and all relays together more reads than the platform gives.
    fn read_chunks(&self, hashes: &[hash::ContentHash]) -> StoreReport {
        let mut chunks = Vec::new();
        let mut missing: Vec<hash::ContentHash> = hashes.to_vec();
        if hashes.len() > 1 {
            let told = self.chunks_of_ticket();
            missing.retain(|hash| match told.get(hash) {
                Some(bytes) => {
                    chunks.push(Arc::clone(bytes));
                    false
                }
                None => true,
            });
        }
        for hash in missing {
            match self.read_chunk(hash) {
                Some(bytes) => chunks.push(bytes),
                // What was read is of use: the rest is asked for again.
                None if !chunks.is_empty() => break,
                None => return StoreReport::Unavailable { call: Call::Chunk },
            }
        }
        StoreReport::Chunks { chunks }
    }

    fn read_chunk(&self, hash: hash::ContentHash) -> Option<Arc<[u8]>> {
        self.count(Call::Chunk);
        let key = api::ObjectKey::new(CHUNK_KIND, hash.to_string());
        let object = self.api.get(&key).ok().flatten()?;
        Some(object.value.into())
    }

    /// The chunks that the ticket's text declares. Each is named by the hash of its own bytes, so that
    /// one which another version of the program would write differently is simply not found.
    fn chunks_of_ticket(&self) -> BTreeMap<hash::ContentHash, Arc<[u8]>> {
        let hash = *self.lock_ticket();
        let ticket = hash
            .and_then(|hash| self.read_chunk(hash))
            .and_then(|bytes| ticket::Ticket::decode(&bytes).ok());
        let document =
            ticket.and_then(|ticket| document::Document::parse("ticket", &ticket.text).ok());
        let Some(document) = document else {
            return BTreeMap::new();
        };
        document
            .changes()
            .filter_map(|(id, state)| Some(chunk::Chunk::encode(id, state.as_ref()?)))
            .map(|chunk| (chunk.hash(), chunk.shared_bytes()))
            .collect()
    }

    fn lock_ticket(&self) -> MutexGuard<'_, Option<hash::ContentHash>> {
        self.ticket.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announce(&self, record: &api::InstanceRecord) -> StoreReport {
        self.count(Call::Announce);
        let failed = StoreReport::Unavailable {
            call: Call::Announce,
        };
        let key = instance_key(&record.instance);
        let Ok(object) = self.api.get(&key) else {
            return failed;
        };
        if object
            .as_ref()
            .is_some_and(|object| is_superseded(object, record))
        {
            return StoreReport::Superseded;
        }
        let version = object.map_or(api::ObjectVersion::ABSENT, |object| object.version);
        match self.put_record(&key, version, record) {
            write::Outcome::Applied(_) => StoreReport::Announced,
            _ => failed,
        }
    }

    /// The condition makes the mark hit the start in question or nothing: a restarted instance has
    /// written another version.
    fn fence(
        &self,
        instance: &ids::InstanceId,
        incarnation: ids::Incarnation,
        goes_on_alone: bool,
    ) -> FenceOutcome {
        self.serving.counters.increment(CALLS, "fence");
        let key = instance_key(instance);
        let object = match self.api.get(&key) {
            Ok(Some(object)) => object,
            Ok(None) => return FenceOutcome::Applied,
            Err(_) => return FenceOutcome::Unknown,
        };
        let Ok(record) = serde_json::from_slice::<api::InstanceRecord>(&object.value) else {
            return FenceOutcome::NotApplied;
        };
        if record.incarnation != incarnation {
            return FenceOutcome::NotApplied;
        }
        if record.fenced && (record.goes_on_alone || !goes_on_alone) {
            return FenceOutcome::Applied;
        }
        let marked = api::InstanceRecord {
            fenced: true,
            goes_on_alone,
            ..record
        };
        let Ok(value) = serde_json::to_vec(&marked) else {
            return FenceOutcome::NotApplied;
        };
        let id = api::WriteId::new(&format!("fence-{instance}-{incarnation}-{goes_on_alone}"));
        match self.api.put_if(&key, object.version, &value, &id) {
            api::WriteResult::Applied { .. } => FenceOutcome::Applied,
            api::WriteResult::Conflict { .. } | api::WriteResult::NotApplied(_) => {
                FenceOutcome::NotApplied
            }
            api::WriteResult::Unknown(_) => FenceOutcome::Unknown,
        }
    }

    /// Deletes an entry only if it is still the marked one: the instance may have started anew.
    fn unmark(&self, instance: ids::InstanceId, incarnation: ids::Incarnation) -> StoreReport {
        self.count(Call::RemoveFenceRecord);
        let key = instance_key(&instance);
        let failed = StoreReport::Unavailable {
            call: Call::RemoveFenceRecord,
        };
        let object = match self.api.get(&key) {
            Ok(Some(object)) => object,
            Ok(None) => return StoreReport::FenceRecordRemoved { instance },
            Err(_) => return failed,
        };
        let is_marked = serde_json::from_slice::<api::InstanceRecord>(&object.value)
            .is_ok_and(|record| record.fenced && record.incarnation == incarnation);
        if !is_marked {
            return StoreReport::FenceRecordRemoved { instance };
        }
        let id = api::WriteId::new(&format!("unmark-{instance}-{incarnation}"));
        match self.api.delete_if(&key, object.version, &id) {
            api::WriteResult::Applied { .. } | api::WriteResult::Conflict { .. } => {
                StoreReport::FenceRecordRemoved { instance }
            }
            api::WriteResult::NotApplied(_) | api::WriteResult::Unknown(_) => failed,
        }
    }

    fn put_record(
        &self,
        key: &api::ObjectKey,
        version: api::ObjectVersion,
        record: &api::InstanceRecord,
    ) -> write::Outcome {
        let Ok(value) = serde_json::to_vec(record) else {
            return write::Outcome::Unknown;
        };
        let id = format!(
            "{}-{}-{}-{version}",
            record.instance, record.incarnation, record.leaving
        );
        let settings = backoff::BackoffSettings::default();
        write::put(
            &*self.api,
            key,
            version,
            &value,
            &api::WriteId::new(&id),
            &mut backoff::Backoff::new(settings, record.incarnation.get()),
            WRITE_TRIES,
        )
    }
}

/// Whether others have taken the authority of this start away.
///
/// Written over its own mark, the record would show an instance that goes on with what its successor has
/// begun to lend.
fn is_superseded(object: &api::Object, own: &api::InstanceRecord) -> bool {
    let stored = serde_json::from_slice::<api::InstanceRecord>(&object.value);
    stored.is_ok_and(|stored| {
        let is_marked = stored.fenced && stored.incarnation == own.incarnation;
        is_marked || stored.incarnation > own.incarnation
    })
}

fn instance_key(instance: &ids::InstanceId) -> api::ObjectKey {
    api::ObjectKey::new(INSTANCE_KIND, instance.as_str())
}
