//! Objects with versions, conditional writes and watches.
//!
//! ```
//! use damaskvane_standins::platform;
//!
//! let store = platform::Store::default();
//! let write = |version| store.write("head", "config", version, Some(b"x".as_slice()), "w", "anna");
//! assert_eq!(write(0), platform::WriteOutcome::Applied(1));
//! assert_eq!(write(0), platform::WriteOutcome::Conflict(1));
//! ```

use std::collections::{BTreeMap, HashMap};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::platform::outcome::{Object, WriteOutcome};

#[derive(Debug, Default)]
struct Kind {
    revision: u64,
    objects: BTreeMap<String, Entry>,
}

#[derive(Debug)]
struct Entry {
    present: Object,
    before: Option<Object>,
}

/// The store; shared between calls.
#[derive(Debug, Default)]
pub struct Store {
    kinds: Mutex<HashMap<String, Kind>>,
    changed: Condvar,
}

impl Store {
    /// Writes or, without a value, deletes an object, if it has the expected version (0: absent).
    pub fn write(
        &self,
        kind: &str,
        name: &str,
        if_version: u64,
        value: Option<&[u8]>,
        write_id: &str,
        author: &str,
    ) -> WriteOutcome {
        let mut kinds = self.lock();
        let kind = kinds.entry(kind.to_owned()).or_default();
        let before = kind.objects.get(name).map(|entry| entry.present.clone());
        let present = version_of(before.as_ref());
        if present != if_version || (value.is_none() && present == 0) {
            return WriteOutcome::Conflict(present);
        }
        let version = before.as_ref().map_or(0, |object| object.version) + 1;
        let object = Object {
            version,
            value: value.map(Into::into),
            write_id: write_id.to_owned(),
            author: author.to_owned(),
        };
        let entry = Entry {
            present: object,
            before,
        };
        kind.objects.insert(name.to_owned(), entry);
        kind.revision += 1;
        self.changed.notify_all();
        WriteOutcome::Applied(version)
    }

    /// Reads an object; with `stale`, the version before the present one.
    #[must_use]
    pub fn read(&self, kind: &str, name: &str, stale: bool) -> Option<Object> {
        let kinds = self.lock();
        let entry = kinds.get(kind)?.objects.get(name)?;
        let object = if stale {
            entry.before.as_ref().unwrap_or(&entry.present)
        } else {
            &entry.present
        };
        object.value.is_some().then(|| object.clone())
    }

    /// The revision of a kind and its objects by name.
    #[must_use]
    pub fn list(&self, kind: &str) -> (u64, Vec<(String, Object)>) {
        let kinds = self.lock();
        let Some(kind) = kinds.get(kind) else {
            return (0, Vec::new());
        };
        let present = |(name, entry): (&String, &Entry)| {
            let object = &entry.present;
            object
                .value
                .is_some()
                .then(|| (name.clone(), object.clone()))
        };
        (
            kind.revision,
            kind.objects.iter().filter_map(present).collect(),
        )
    }

    /// Waits until the revision of a kind passes `after`, at most so long; whether it did.
    pub fn wait(&self, kind: &str, after: u64, most: Duration) -> bool {
        let until = Instant::now() + most;
        let mut kinds = self.lock();
        loop {
            if kinds.get(kind).is_some_and(|kind| kind.revision > after) {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            kinds = self
                .changed
                .wait_timeout(kinds, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Kind>> {
        self.kinds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn version_of(object: Option<&Object>) -> u64 {
    object
        .filter(|object| object.value.is_some())
        .map_or(0, |object| object.version)
}
