//! In-memory store of versioned objects, with conditional writes and watches.
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
    current: Object,
    previous: Option<Object>,
}

/// The objects by kind and name, shared between calls.
#[derive(Debug, Default)]
pub struct Store {
    kinds: Mutex<HashMap<String, Kind>>,
    changed: Condvar,
}

impl Store {
    /// Writes an object, or deletes it without a `value`, if its version is `if_version`.
    ///
    /// An object that doesn't exist has version 0.
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
        let previous = kind.objects.get(name).map(|entry| entry.current.clone());
        let current_version = live_version(previous.as_ref());
        if current_version != if_version || (value.is_none() && current_version == 0) {
            return WriteOutcome::Conflict(current_version);
        }
        let version = previous.as_ref().map_or(0, |object| object.version) + 1;
        let object = Object {
            version,
            value: value.map(Into::into),
            write_id: write_id.to_owned(),
            author: author.to_owned(),
        };
        let entry = Entry {
            current: object,
            previous,
        };
        kind.objects.insert(name.to_owned(), entry);
        kind.revision += 1;
        self.changed.notify_all();
        WriteOutcome::Applied(version)
    }

    /// Returns an object, or `None` if it doesn't exist; with `stale`, its previous version.
    #[must_use]
    pub fn read(&self, kind: &str, name: &str, stale: bool) -> Option<Object> {
        let kinds = self.lock();
        let entry = kinds.get(kind)?.objects.get(name)?;
        let object = if stale {
            entry.previous.as_ref().unwrap_or(&entry.current)
        } else {
            &entry.current
        };
        object.value.is_some().then(|| object.clone())
    }

    /// Returns the revision of a kind, which each write increases, and its objects by name.
    #[must_use]
    pub fn list(&self, kind: &str) -> (u64, Vec<(String, Object)>) {
        let kinds = self.lock();
        let Some(kind) = kinds.get(kind) else {
            return (0, Vec::new());
        };
        let live_object = |(name, entry): (&String, &Entry)| {
            let object = &entry.current;
            object
                .value
                .is_some()
                .then(|| (name.clone(), object.clone()))
        };
        (
            kind.revision,
            kind.objects.iter().filter_map(live_object).collect(),
        )
    }

    /// Waits until the revision of a kind exceeds `after`; returns `false` on a timeout.
    pub fn wait(&self, kind: &str, after: u64, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut kinds = self.lock();
        loop {
            if kinds.get(kind).is_some_and(|kind| kind.revision > after) {
                return true;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            kinds = self
                .changed
                .wait_timeout(kinds, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Kind>> {
        self.kinds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn live_version(object: Option<&Object>) -> u64 {
    object
        .filter(|object| object.value.is_some())
        .map_or(0, |object| object.version)
}
