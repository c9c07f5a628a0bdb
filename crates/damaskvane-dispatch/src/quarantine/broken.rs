//! Finds the exchanges whose connection was broken by the crash of a backend server.
//!
//! A connection breaks for many reasons: the server closed an idle connection, the server lost a response, or a
//! network device dropped the connection's state. A request becomes a suspect only if its connection broke
//! shortly before a probe found that its server had crashed. Otherwise a day of broken connections would
//! quarantine harmless requests.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{fingerprint, quarantine};
//!
//! let request = fingerprint::Fingerprint::of(&"desk".parse()?, "GET", "/bad", b"");
//! let mut broken = quarantine::BrokenExchanges::default();
//! broken.record(time::TimeMs::new(10), &"desk-1".parse()?, request);
//! assert_eq!(broken.take_suspects(time::TimeMs::new(90), &"desk-1".parse()?), [request]);
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use std::collections;

use damaskvane_core::{ids, time};

use crate::fingerprint;

/// How long a broken exchange waits for confirmation that its server has crashed: a probe detects the crash
/// within 0.1 s on an idle machine, and within 2 s if the first probes are lost.
const CONFIRMATION_WINDOW: time::SpanMs = time::SpanMs::new(2_500);
/// The maximum number of broken exchanges retained for each server: well above the number of requests that
/// one instance has in flight on a server.
const MAX_PER_SERVER: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Broken<R> {
    at: time::TimeMs,
    request: R,
}

/// Broken exchanges, whose connection broke recently after the request was written, by backend server.
///
/// `R` identifies a request.
#[derive(Debug)]
pub struct BrokenExchanges<R = fingerprint::Fingerprint> {
    by_server: collections::BTreeMap<ids::BackendServerId, Vec<Broken<R>>>,
}

impl<R> Default for BrokenExchanges<R> {
    fn default() -> Self {
        Self {
            by_server: collections::BTreeMap::new(),
        }
    }
}

impl<R: Copy + Ord> BrokenExchanges<R> {
    /// Records that the connection of an exchange broke after its request was written.
    pub fn record(&mut self, now: time::TimeMs, server: &ids::BackendServerId, request: R) {
        self.expire(now);
        let of_server = self.by_server.entry(server.clone()).or_default();
        if of_server.len() < MAX_PER_SERVER {
            of_server.push(Broken { at: now, request });
        }
    }

    /// Returns how many broken exchanges of requests that match wait for confirmation that their server crashed.
    #[must_use]
    pub fn unconfirmed_count(&self, now: time::TimeMs, matches: impl Fn(&R) -> bool) -> usize {
        let all = self.by_server.values().flatten();
        let of_request = all.filter(|broken| matches(&broken.request));
        of_request
            .filter(|broken| now.since(broken.at) < CONFIRMATION_WINDOW)
            .count()
    }

    /// Removes the exchanges that have waited longer than the confirmation window.
    pub fn expire(&mut self, now: time::TimeMs) {
        self.by_server.retain(|_, of_server| {
            of_server.retain(|broken| now.since(broken.at) < CONFIRMATION_WINDOW);
            !of_server.is_empty()
        });
    }

    /// Removes the broken exchanges of a server that a probe found running.
    pub fn record_alive(&mut self, server: &ids::BackendServerId) {
        self.by_server.remove(server);
    }

    /// Returns whether no broken exchange waits for confirmation.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    /// Removes the broken exchanges of a server that has crashed, and returns their requests, each once.
    pub fn take_suspects(&mut self, now: time::TimeMs, server: &ids::BackendServerId) -> Vec<R> {
        let of_server = self.by_server.remove(server).unwrap_or_default();
        let mut suspects: Vec<_> = of_server
            .into_iter()
            .filter(|broken| now.since(broken.at) < CONFIRMATION_WINDOW)
            .map(|broken| broken.request)
            .collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }
}
