//! What servers have said that are not in the pool: their entries have expired, or have not been read yet.

use std::collections::HashMap;

use damaskvane_core::time::TimeMs;

use crate::pool::{Availability, Server, ServerEntry, ServerKey};

/// Largest number of servers that are not in the pool and whose statements are stored.
const MAX_RETAINED: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Retained {
    started_unix_ms: u64,
    availability: Availability,
    at: TimeMs,
}

/// What servers outside the pool have said of their availability.
///
/// An entry can expire and come back while its server lives, and what the server has said holds as long as it does; it may
/// also respond in between. If there are too many, a server that has said nothing is forgotten first, then the oldest.
#[derive(Debug, Default)]
pub(super) struct RetainedStatements {
    servers: HashMap<ServerKey, Retained>,
    /// Until when servers rest towards other instances, as an instance hears that starts.
    rests_of_others: HashMap<ServerKey, TimeMs>,
}

impl RetainedStatements {
    /// Stores what a server has said that is removed from the pool now.
    pub(super) fn keep(&mut self, now: TimeMs, server: &Server) {
        let key = ServerKey::of(&server.entry.id);
        let started_unix_ms = server.entry.started_unix_ms;
        self.insert(now, key, started_unix_ms, server.availability);
    }

    /// Stores that an incarnation of a server leaves which is not in the pool.
    pub(super) fn keep_leaving(&mut self, now: TimeMs, key: ServerKey, started_unix_ms: u64) {
        let known = self.servers.get(&key);
        let is_older = known.is_some_and(|known| known.started_unix_ms > started_unix_ms);
        if is_older {
            return;
        }
        let same = known.filter(|known| known.started_unix_ms == started_unix_ms);
        let mut availability = same.map_or_else(
            || Availability::unknown(TimeMs::ZERO),
            |known| known.availability,
        );
        availability.learn_leaving_from_peer();
        self.insert(now, key, started_unix_ms, availability);
    }

    /// Returns what a server has said that was removed from the pool, or `None` if nothing is known of it.
    pub(super) fn get(&self, key: ServerKey) -> Option<Availability> {
        Some(self.servers.get(&key)?.availability)
    }

    /// Replaces what a server has said that was removed from the pool.
    pub(super) fn replace(&mut self, key: ServerKey, availability: Availability) {
        if let Some(retained) = self.servers.get_mut(&key) {
            retained.availability = availability;
        }
    }

    /// Returns what the incarnation of a server that wrote this entry has said.
    pub(super) fn take(&mut self, entry: &ServerEntry) -> Option<Availability> {
        let key = ServerKey::of(&entry.id);
        let retained = *self.servers.get(&key)?;
        if retained.started_unix_ms > entry.started_unix_ms {
            // The entry is an older one, and the newer one may still come.
            return None;
        }
        self.servers.remove(&key);
        let is_same = retained.started_unix_ms == entry.started_unix_ms;
        is_same.then_some(retained.availability)
    }

    /// Stores until when a server rests towards another instance.
    pub(super) fn keep_rest_of_other(&mut self, key: ServerKey, until: TimeMs) {
        let has_room = self.rests_of_others.len() < MAX_RETAINED;
        if has_room || self.rests_of_others.contains_key(&key) {
            let known = self.rests_of_others.entry(key).or_insert(until);
            *known = (*known).max(until);
        }
    }

    /// Returns until when a server rests towards another instance, or `None` if that is not known.
    pub(super) fn take_rest_of_other(&mut self, key: ServerKey) -> Option<TimeMs> {
        self.rests_of_others.remove(&key)
    }

    fn insert(
        &mut self,
        now: TimeMs,
        key: ServerKey,
        started_unix_ms: u64,
        availability: Availability,
    ) {
        if self.servers.len() >= MAX_RETAINED && !self.servers.contains_key(&key) {
            let oldest = self
                .servers
                .iter()
                .min_by_key(|(_, retained)| (retained.availability.has_statements(), retained.at));
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.servers.remove(&oldest);
            }
        }
        let retained = Retained {
            started_unix_ms,
            availability,
            at: now,
        };
        self.servers.insert(key, retained);
    }
}
