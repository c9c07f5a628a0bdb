//! An in-memory store and helpers that submit tickets to it, for the tests of this crate.
#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::sync::Arc;

use damaskvane_config::document::Document;
use damaskvane_config::manifest::Head;
use damaskvane_config::state::Chunks;
use damaskvane_config::submit::{Call, Outcome, Step, StoreResponse, Submission};
use damaskvane_config::ticket::Draft;

pub const ZONES: &str = "[region.sask]\n[region.mb]\n\
    [availability_zone.sask-a]\nregion = \"sask\"\n\
    [availability_zone.mb-a]\nregion = \"mb\"\n\
    [service.rider-desk]\n";

/// Versioned objects; a write that expects another version than the stored one is a conflict.
#[derive(Debug, Default, Clone)]
pub struct Store {
    objects: BTreeMap<Key, Versioned>,
}

type Key = (&'static str, String);
type Versioned = (u64, Arc<[u8]>);

impl Store {
    pub fn make_call(&mut self, call: &Call) -> StoreResponse {
        let key = call.key();
        let present = self.objects.get(&key).cloned();
        let (if_version, bytes) = match call {
            Call::ReadHead | Call::ReadChunk(_) => {
                return present.map_or(StoreResponse::Absent, |(version, bytes)| {
                    StoreResponse::Found { version, bytes }
                });
            }
            Call::WriteChunk(chunk) | Call::FileTicket(_, chunk) => (0, chunk.shared_bytes()),
            Call::RepairChunk { if_version, chunk } => (*if_version, chunk.shared_bytes()),
            Call::WriteHead {
                if_version, bytes, ..
            } => (*if_version, Arc::clone(bytes)),
        };
        let version = present.map_or(0, |(version, _)| version);
        if version != if_version {
            return StoreResponse::Conflict;
        }
        self.objects.insert(key, (version + 1, bytes));
        StoreResponse::Applied
    }

    pub fn corrupt(&mut self, kind: &'static str, name: &str) {
        let entry = self.objects.get_mut(&(kind, name.to_owned()));
        entry.expect("stored object").1 = b"broken".as_slice().into();
    }

    pub fn head(&self) -> Head {
        let head = self.objects.get(&("head", "config".to_owned()));
        head.map_or_else(Head::default, |(_, bytes)| {
            Head::decode(bytes).expect("valid head")
        })
    }

    pub fn chunk(&self, name: &str) -> Option<Arc<[u8]>> {
        let object = self.objects.get(&("chunk", name.to_owned()))?;
        Some(Arc::clone(&object.1))
    }

    pub fn ticket(&self, number: u64) -> Option<Arc<[u8]>> {
        let object = self.objects.get(&("ticket", number.to_string()))?;
        Some(Arc::clone(&object.1))
    }

    /// Submits declarations without any store fault and returns the new head.
    pub fn accept(&mut self, text: &str) -> Head {
        let draft = draft(&self.head(), text, &format!("w{}", self.head().ticket));
        let mut submission = Submission::new(draft);
        let outcome = run(self, &mut submission, |_, _| None);
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
        self.head()
    }

    /// Returns the chunks of the newest head.
    pub fn chunks(&self) -> Vec<Arc<[u8]>> {
        let head = self.head();
        let hashes = head.objects.values().map(|entry| entry.hash.to_string());
        hashes.filter_map(|hash| self.chunk(&hash)).collect()
    }
}

pub fn draft(head: &Head, text: &str, write_id: &str) -> Draft {
    let changes = Document::parse("t.toml", text)
        .expect("valid document")
        .to_changes();
    let base = changes
        .keys()
        .map(|object| (object.clone(), head.base_of(object)));
    Draft {
        author: "anna".into(),
        reason: "test".into(),
        write_id: write_id.into(),
        base_version: head.version,
        base: base.collect(),
        changes,
        text: text.into(),
        ..Draft::default()
    }
}

/// Runs a submission to its end.
///
/// `fault` gets each call first. If it returns a response, that response replaces the store's; it
/// may also make the call on the store itself.
pub fn run(
    store: &mut Store,
    submission: &mut Submission,
    mut fault: impl FnMut(&mut Store, &Call) -> Option<StoreResponse>,
) -> Outcome {
    for _ in 0..500 {
        match submission.next_step() {
            Step::Call(call) => {
                let response = fault(store, &call).unwrap_or_else(|| store.make_call(&call));
                submission.handle_response(&call, response);
            }
            Step::Pause => {}
            Step::Done(outcome) => return outcome,
        }
    }
    panic!("the submission does not end within 500 steps");
}

pub fn chunks_of(store: &Store) -> Chunks {
    use damaskvane_config::chunk::Chunk;
    let chunks = store.chunks().into_iter().map(Chunk::from_bytes);
    chunks.map(|chunk| (chunk.hash(), chunk)).collect()
}
