//! Checks of the execution logs of backend servers against the responses that clients received.
//!
//! ```text
//! execution logs + responses -> violated guarantees as text
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{fingerprint::Fingerprint, outcome};
use damaskvane_engine::message;

use crate::world::{ClientState, Execution, World};

impl World {
    /// Returns a text for each violation of a guarantee so far.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut found = self.broken_invariants.clone();
        self.find_duplicate_runs(&mut found);
        self.find_false_responses(&mut found);
        self.find_server_faults(&mut found);
        found
    }

    /// Returns how often backend servers ran a request with this key.
    #[must_use]
    pub fn runs(&self, key: &ids::IdempotencyKey) -> u64 {
        let all = self.servers.values().flat_map(|server| &server.log);
        all.filter(|run| run.key.as_ref() == Some(key)).count() as u64
    }

    fn find_duplicate_runs(&self, found: &mut Vec<String>) {
        let mut first: BTreeMap<&ids::IdempotencyKey, (&ids::BackendServerId, &Execution)> =
            BTreeMap::new();
        for server in self.servers.values() {
            for run in &server.log {
                let Some(key) = &run.key else {
                    continue;
                };
                if let Some((other, earlier)) = first.insert(key, (&server.id, run)) {
                    found.push(format!(
                        "key {key} ran twice: {} on {other} at {}, {} on {} at {}",
                        earlier.request_id,
                        earlier.at.get(),
                        run.request_id,
                        server.id,
                        run.at.get()
                    ));
                }
            }
        }
    }

    fn find_false_responses(&self, found: &mut Vec<String>) {
        let mut ran: BTreeMap<(&ids::IdempotencyKey, Fingerprint), u32> = BTreeMap::new();
        let mut ran_ids: BTreeMap<&ids::RequestId, time::TimeMs> = BTreeMap::new();
        for run in self.servers.values().flat_map(|server| &server.log) {
            ran_ids.insert(&run.request_id, run.at);
            if let Some(key) = &run.key {
                ran.insert((key, run.fingerprint), run.try_number);
            }
        }
        for (label, sent) in &self.requests {
            let ClientState::Answered { outcome, .. } = &sent.state else {
                continue;
            };
            if let outcome::Outcome::Completed(response) = outcome
                && response.body != super::responses::expected_body(&sent.request).into_bytes()
            {
                found.push(format!("{label} got an answer that is not its own"));
            }
            let Some(idempotency) = &sent.request.idempotency else {
                continue;
            };
            let ran_try = ran.get(&(&idempotency.key, sent.request.fingerprint()));
            let is_numbered = idempotency.try_number > 0;
            let has_run = ran_try.is_some_and(|ran| is_numbered && *ran <= idempotency.try_number)
                || ran_ids.contains_key(label);
            if is_not_run(outcome) && has_run {
                found.push(format!("{label} was told not-run, but its key ran"));
            }
        }
    }

    fn find_server_faults(&self, found: &mut Vec<String>) {
        for (id, server) in &self.servers {
            let slots = server.slots.get() as usize;
            if server.peak > slots {
                found.push(format!("{id} ran {} on {slots} slots", server.peak));
            }
            if server.late_requests > 0 {
                found.push(format!(
                    "{id} got {} requests while leaving",
                    server.late_requests
                ));
            }
        }
    }
}

const fn is_not_run(outcome: &outcome::Outcome<Arc<message::BackendResponse>>) -> bool {
    matches!(outcome, outcome::Outcome::NotRun(_))
}
