//! Counts of what clients were told, for long runs that can't keep every request.
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

/// An answered request is forgotten so long after: by then nothing of its key runs any more.
const REMEMBERED: time::SpanMs = time::SpanMs::new(120_000);

/// What clients were told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Tries.
    pub sent: u64,
    /// Whole answers.
    pub completed: u64,
    /// Answers *not run*.
    pub not_run: u64,
    /// Answers *unknown*.
    pub unknown: u64,
    /// No answer.
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
                self.unanswered += 1
            }
        }
    }
}

impl World {
    /// Counts of what clients were told so far.
    #[must_use]
    pub fn request_counts(&self) -> RequestCounts {
        let mut request_counts = self.forgotten;
        for sent in self.requests.values() {
            request_counts.add(&sent.state);
        }
        request_counts
    }

    /// Drops what is too old to matter, into the counts.
    pub fn drop_old_requests(&mut self) {
        let now = self.now;
        let forgotten = &mut self.forgotten;
        self.requests.retain(|_, sent| {
            let is_kept = now.since(sent.sent_at) < REMEMBERED;
            if !is_kept {
                forgotten.add(&sent.state);
            }
            is_kept
        });
    }

    /// How many requests backend servers have run.
    #[must_use]
    pub fn all_runs(&self) -> u64 {
        let logs = self.servers.values().map(|server| server.log.len() as u64);
        logs.sum()
    }

    /// The instances that look-ups name.
    #[must_use]
    pub fn offered(&self) -> Vec<ids::InstanceId> {
        self.names(Entry::is_offered)
    }

    /// Every instance, in whatever state.
    #[must_use]
    pub fn instances(&self) -> Vec<ids::InstanceId> {
        self.names(|_| true)
    }

    fn names(&self, is_wanted: impl Fn(&Entry) -> bool) -> Vec<ids::InstanceId> {
        let wanted = self.entries.iter().filter(|(_, entry)| is_wanted(entry));
        wanted.map(|(instance, _)| instance.clone()).collect()
    }

    /// Every backend server.
    #[must_use]
    pub fn backend_servers(&self) -> Vec<ids::BackendServerId> {
        self.servers.keys().cloned().collect()
    }
}
