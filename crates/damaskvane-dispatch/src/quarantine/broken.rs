//! Finds the exchanges whose connection was broken by the crash of a backend server.
//!
//! A connection breaks for many reasons: the server closed an idle connection, the server lost a response, or a
//! network device dropped the connection's state. A request becomes a suspect only if its connection broke
//! shortly before a probe found that its server had crashed. Otherwise a day of broken connections would
//! quarantine harmless requests.
//!
//! A server may also fall silent: no connection breaks, and the proof that it had ended comes seconds later, when
//! another process answers at its address. Exchanges with silent servers therefore wait longer for the proof. They never
//! delay a request meanwhile.
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
/// How long an exchange with a silent server waits for confirmation: longer than a server takes to start again, or
/// its entry to expire and its address to be used again.
const SILENCE_WINDOW: time::SpanMs = time::SpanMs::new(10_000);
/// The maximum number of broken exchanges retained for each server: well above the number of requests that
/// one instance has in flight on a server.
const MAX_PER_SERVER: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Broken<R> {
    at: time::TimeMs,
    request: R,
    /// Whether the server gives no sign of life, so that no proof can be expected soon.
    is_silent: bool,
}

impl<R> Broken<R> {
    fn is_pending(&self, now: time::TimeMs) -> bool {
        let window = if self.is_silent {
            SILENCE_WINDOW
        } else {
            CONFIRMATION_WINDOW
        };
        now.since(self.at) < window
    }
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
        self.add(now, server, request, false);
    }

    /// Records that an exchange ended without an answer, and that the server answered no other request meanwhile.
    pub fn record_unanswered(
        &mut self,
        now: time::TimeMs,
        server: &ids::BackendServerId,
        request: R,
    ) {
        self.add(now, server, request, true);
    }

    /// Records that a server did not answer a probe, so that the proof of its crash may come late.
    pub fn record_silence(&mut self, server: &ids::BackendServerId) {
        for broken in self.by_server.get_mut(server).into_iter().flatten() {
            broken.is_silent = true;
        }
    }

    /// Records that a request completed: whatever broke its earlier exchanges, the request did not.
    pub fn record_completed(&mut self, request: R) {
        for of_server in self.by_server.values_mut() {
            of_server.retain(|broken| broken.request != request);
        }
        self.by_server.retain(|_, of_server| !of_server.is_empty());
    }

    /// Returns when the first pending exchange with a server broke.
    #[must_use]
    pub fn first_broken_at(
        &self,
        now: time::TimeMs,
        server: &ids::BackendServerId,
    ) -> Option<time::TimeMs> {
        let of_server = self.by_server.get(server)?.iter();
        let pending = of_server.filter(|broken| broken.is_pending(now));
        pending.map(|broken| broken.at).min()
    }

    /// Returns the servers with exchanges that wait for confirmation.
    pub fn servers(&self) -> impl Iterator<Item = &ids::BackendServerId> {
        self.by_server.keys()
    }

    fn add(
        &mut self,
        now: time::TimeMs,
        server: &ids::BackendServerId,
        request: R,
        is_silent: bool,
    ) {
        self.expire(now);
        let of_server = self.by_server.entry(server.clone()).or_default();
        if of_server.len() < MAX_PER_SERVER {
            of_server.push(Broken {
                at: now,
                request,
                is_silent,
            });
        }
    }

    /// Returns how many broken exchanges of requests that match wait for confirmation that their server crashed,
    /// without those with silent servers.
    #[must_use]
    pub fn unconfirmed_count(&self, now: time::TimeMs, matches: impl Fn(&R) -> bool) -> usize {
        let all = self.by_server.values().flatten();
        let of_request = all.filter(|broken| matches(&broken.request));
        of_request
            .filter(|broken| !broken.is_silent && broken.is_pending(now))
            .count()
    }

    /// Removes the exchanges that have waited longer than the confirmation window.
    pub fn expire(&mut self, now: time::TimeMs) {
        self.by_server.retain(|_, of_server| {
            of_server.retain(|broken| broken.is_pending(now));
            !of_server.is_empty()
        });
    }

    /// Removes the broken exchanges of a server that a probe found running.
    pub fn record_alive(&mut self, server: &ids::BackendServerId) {
        self.by_server.remove(server);
    }

    /// Removes the broken exchanges of all servers.
    pub fn clear(&mut self) {
        self.by_server.clear();
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
            .filter(|broken| broken.is_pending(now))
            .map(|broken| broken.request)
            .collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }
}
