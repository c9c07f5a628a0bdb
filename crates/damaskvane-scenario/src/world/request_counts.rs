//! Counts of client requests by outcome, for long runs that can't keep every request.
//!
//! ```
//! use damaskvane_scenario::world;
//!
//! assert_eq!(world::World::default().request_counts().sent, 0);
//! ```

use damaskvane_core::{ids, time};
use damaskvane_dispatch::outcome;

use crate::world::entry::Entry;
use crate::world::{ClientState, World};

/// Time after which a request is dropped: by then no request with its key is running.
const REQUEST_RETENTION: time::SpanMs = time::SpanMs::new(120_000);

/// Counts of client requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Attempts of clients.
    pub sent: u64,
    /// Complete responses of a backend server.
    pub completed: u64,
    /// Responses *not run*: no backend server ran the request.
    pub not_run: u64,
    /// Responses *unknown*: a backend server may have run the request.
    pub unknown: u64,
    /// Requests without a response: the client waits or the connection ended.
    pub unanswered: u64,
}

impl RequestCounts {
    const fn add(&mut self, state: &ClientState) {
        self.sent += 1;
        match state {
            ClientState::Answered { outcome, .. } => match outcome {
                outcome::Outcome::Completed(_) => self.completed += 1,
                outcome::Outcome::NotRun(_) => self.not_run += 1,
                outcome::Outcome::Unknown(_) => self.unknown += 1,
            },
            ClientState::Waiting | ClientState::ConnectionLost | ClientState::Disconnected => {
                self.unanswered += 1;
            }
        }
    }
}

impl World {
    /// Returns the counts of all requests so far.
    #[must_use]
    pub fn request_counts(&self) -> RequestCounts {
        let mut counts = self.dropped;
        for sent in self.requests.values() {
            counts.add(&sent.state);
        }
        counts
    }

    /// Drops requests above the retention time, after adding them to the counts.
    pub fn drop_old_requests(&mut self) {
        let now = self.now;
        let dropped = &mut self.dropped;
        self.requests.retain(|_, sent| {
            let is_kept = now.since(sent.sent_at) < REQUEST_RETENTION;
            if !is_kept {
                dropped.add(&sent.state);
            }
            is_kept
        });
    }

    /// Returns how many requests backend servers have run, repeated runs included.
    #[must_use]
    pub fn all_runs(&self) -> u64 {
        let logs = self.servers.values().map(|server| server.log.len() as u64);
        logs.sum()
    }

    /// Returns the entry instances that lookups name.
    #[must_use]
    pub fn offered(&self) -> Vec<ids::InstanceId> {
        self.names(Entry::is_offered)
    }

    /// Returns all entry instances, whether their processes run or not.
    #[must_use]
    pub fn instances(&self) -> Vec<ids::InstanceId> {
        self.names(|_| true)
    }

    fn names(&self, is_selected: impl Fn(&Entry) -> bool) -> Vec<ids::InstanceId> {
        let selected = self.entries.iter().filter(|(_, entry)| is_selected(entry));
        selected.map(|(instance, _)| instance.clone()).collect()
    }

    /// Returns all backend servers, crashed and draining ones included.
    #[must_use]
    pub fn backend_servers(&self) -> Vec<ids::BackendServerId> {
        self.servers.keys().cloned().collect()
    }
}
