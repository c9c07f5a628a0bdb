//! Which broken exchanges were the death of a backend server.
//!
//! A connection breaks for many reasons: the server closed an idle one, lost an answer, or a device between
//! lost track of it. Only one that breaks shortly before its server is found dead makes its request a
//! suspect; otherwise a day of broken connections would quarantine requests that harm nobody.
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

/// How long a broken exchange waits for proof that its server has died: a probe finds out within 0.1 s on
/// a quiet machine, and within 2 s where the first probes are lost.
const PROOF_WITHIN: time::SpanMs = time::SpanMs::new(2_500);
/// Broken exchanges that are remembered for each server: well above the requests that one instance has on
/// a server at a time.
const MOST_FOR_A_SERVER: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Broken {
    at: time::TimeMs,
    fingerprint: fingerprint::Fingerprint,
}

/// Exchanges that broke a moment ago, by backend server.
#[derive(Debug, Default)]
pub struct BrokenExchanges {
    by_server: collections::BTreeMap<ids::BackendServerId, Vec<Broken>>,
}

impl BrokenExchanges {
    /// Notes that the connection of an exchange broke after its request was written.
    pub fn record(
        &mut self,
        now: time::TimeMs,
        server: &ids::BackendServerId,
        fingerprint: fingerprint::Fingerprint,
    ) {
        self.expire(now);
        let of_server = self.by_server.entry(server.clone()).or_default();
        if of_server.len() < MOST_FOR_A_SERVER {
            of_server.push(Broken {
                at: now,
                fingerprint,
            });
        }
    }

    /// How many broken exchanges of a request wait for proof.
    #[must_use]
    pub fn unconfirmed_count(
        &self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) -> usize {
        let all = self.by_server.values().flatten();
        let of_request = all.filter(|broken| broken.fingerprint == fingerprint);
        of_request
            .filter(|broken| now.since(broken.at) < PROOF_WITHIN)
            .count()
    }

    /// Forgets what has waited for too long.
    pub fn expire(&mut self, now: time::TimeMs) {
        self.by_server.retain(|_, of_server| {
            of_server.retain(|broken| now.since(broken.at) < PROOF_WITHIN);
            !of_server.is_empty()
        });
    }

    /// Forgets what broke on a server that was found alive.
    pub fn record_alive(&mut self, server: &ids::BackendServerId) {
        self.by_server.remove(server);
    }

    /// Whether no exchange waits for proof.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    /// The requests that were on a server which was found dead now, each once.
    pub fn take_suspects(
        &mut self,
        now: time::TimeMs,
        server: &ids::BackendServerId,
    ) -> Vec<fingerprint::Fingerprint> {
        let of_server = self.by_server.remove(server).unwrap_or_default();
        let mut suspects: Vec<_> = of_server
            .into_iter()
            .filter(|broken| now.since(broken.at) < PROOF_WITHIN)
            .map(|broken| broken.fingerprint)
            .collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }
}
