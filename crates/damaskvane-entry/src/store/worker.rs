//! The threads that make the calls to the platform.
//!
//! The head is the stored list of all configuration objects, and a ticket is the stored change that made
//! it.
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
const WRITE_ATTEMPTS: u32 = 3;
const COUNTER_FAMILY: &str = "store";

/// Makes calls to the platform: watches on one thread, all other calls on another.
#[derive(Debug)]
pub struct Store {
    watches: flume::Sender<StoreJob>,
    calls: flume::Sender<StoreJob>,
}

struct Worker {
    api: Arc<http::HttpObjectApi>,
    serving: Arc<serving::Serving>,
    report: Box<dyn Fn(StoreReport) + Send>,
    /// Hash of the ticket that the head named when it was last read.
    ticket_hash: Mutex<Option<hash::ContentHash>>,
}

impl Store {
    /// Starts the threads; they call `report` once for every submitted job.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
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
                report: Box::new(report.clone()),
                ticket_hash: Mutex::default(),
            };
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || worker.run(&jobs))?;
        }
        Ok(Self { watches, calls })
    }

    /// Queues a call and returns at once.
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
                let label = format!("{}_failed", call.as_str());
                self.serving.counters.increment(COUNTER_FAMILY, &label);
            }
            (self.report)(report);
        }
    }

    fn count(&self, call: Call) {
        self.serving
            .counters
            .increment(COUNTER_FAMILY, call.as_str());
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
                own,
            } => {
                if self.is_own_superseded(&own) {
                    return StoreReport::Superseded;
                }
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
            } => self.remove_fence_record(instance, incarnation),
        }
    }

    fn read_head(&self) -> StoreReport {
        self.count(Call::Head);
        match self.api.get(&api::ObjectKey::new(HEAD_KIND, HEAD_NAME)) {
            Ok(Some(object)) => {
                let head = manifest::Head::decode(&object.value).ok();
                *self.lock_ticket_hash() = head.and_then(|head| head.ticket_hash);
                StoreReport::Head {
                    bytes: object.value.into(),
                }
            }
            Ok(None) | Err(_) => StoreReport::Unavailable { call: Call::Head },
        }
    }

    /// Reads chunks, each of which holds the state of one configuration object. If several are requested,
    /// first reads the ticket that the last read head named.
    ///
    /// The text of a ticket declares the complete new state of every object that the ticket changes. For a
    /// large ticket, one call per chunk would exceed the time within which a ticket has to take effect, and
    /// the relays (the instances that read the configuration from the platform) together would exceed the
    /// rate of reads that the platform allows.
    fn read_chunks(&self, hashes: &[hash::ContentHash]) -> StoreReport {
        let mut chunks = Vec::new();
        let mut missing: Vec<hash::ContentHash> = hashes.to_vec();
        if hashes.len() > 1 {
            let declared = self.chunks_of_ticket();
            missing.retain(|hash| match declared.get(hash) {
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
                // The chunks read so far are returned; the control thread requests the others again.
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

    /// Returns the chunks that the ticket's text declares, by the hash of their bytes.
    ///
    /// A chunk that another version of the program encodes differently has another hash and is not found here.
    fn chunks_of_ticket(&self) -> BTreeMap<hash::ContentHash, Arc<[u8]>> {
        let hash = *self.lock_ticket_hash();
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

    fn lock_ticket_hash(&self) -> MutexGuard<'_, Option<hash::ContentHash>> {
        self.ticket_hash
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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

    /// Returns whether the platform's record of this instance shows that it was fenced or replaced.
    fn is_own_superseded(&self, own: &api::InstanceRecord) -> bool {
        let object = self.api.get(&instance_key(&own.instance));
        object
            .ok()
            .flatten()
            .is_some_and(|object| is_superseded(&object, own))
    }

    /// Marks the record of an incarnation, one start of an instance's process, as fenced.
    ///
    /// The write is conditional on the version of the record that was read: an instance that restarted in
    /// between has written another version, so the fence record never affects a later incarnation.
    fn fence(
        &self,
        instance: &ids::InstanceId,
        incarnation: ids::Incarnation,
        goes_on_alone: bool,
    ) -> FenceOutcome {
        self.serving.counters.increment(COUNTER_FAMILY, "fence");
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
        let fenced = api::InstanceRecord {
            fenced: true,
            goes_on_alone,
            ..record
        };
        let Ok(value) = serde_json::to_vec(&fenced) else {
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

    /// Deletes a record only if it is still the fence record: a restarted instance writes a new record.
    fn remove_fence_record(
        &self,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
    ) -> StoreReport {
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
        let is_fenced = serde_json::from_slice::<api::InstanceRecord>(&object.value)
            .is_ok_and(|record| record.fenced && record.incarnation == incarnation);
        if !is_fenced {
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
            WRITE_ATTEMPTS,
        )
    }
}

/// Returns whether this incarnation has lost its authority, the right to act as the owner of its backend
/// servers, by a fence or to a later incarnation.
///
/// If this instance overwrote its fence record, the list would show it as active although its successor has
/// begun to grant the same slots.
fn is_superseded(object: &api::Object, own: &api::InstanceRecord) -> bool {
    let stored = serde_json::from_slice::<api::InstanceRecord>(&object.value);
    stored.is_ok_and(|stored| {
        let is_fenced = stored.fenced && stored.incarnation == own.incarnation;
        is_fenced || stored.incarnation > own.incarnation
    })
}

fn instance_key(instance: &ids::InstanceId) -> api::ObjectKey {
    api::ObjectKey::new(INSTANCE_KIND, instance.as_str())
}
