//! The state of the backend servers, for operators and for the digest, the summary sent on behalf of the zone.
//!
//! A slot is the right to run one request on a backend server; one instance, its owner, grants the slots.
//!
//! ```text
//! slots granted here -> capacity in the zone's digest; drains -> status
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time, units};
use damaskvane_dispatch::drain;
use damaskvane_slots::{connections, exchange};

use crate::engine::servers::Servers;
use crate::engine::servers::drain_status::DrainStatus;

impl Servers {
    /// Returns the backend servers that drain or have drained, with the time at which that phase began.
    pub(in crate::engine) fn draining(&self) -> impl Iterator<Item = DrainStatus> + '_ {
        self.lifecycles.iter().filter_map(|(server, lifecycle)| {
            let (phase, since) = match lifecycle {
                drain::Lifecycle::Draining(draining) => ("draining", draining.since()),
                drain::Lifecycle::Drained(drained) => ("drained", drained.since()),
                drain::Lifecycle::Cold(_) | drain::Lifecycle::Active(_) => return None,
            };
            Some(DrainStatus {
                backend_server: server.clone(),
                phase,
                since,
                running: self
                    .connections
                    .get(server)
                    .map_or(0, connections::ConnectionBudget::in_use),
            })
        })
    }

    /// Returns the state of the slots of each backend server.
    pub(in crate::engine) fn slots(
        &self,
        now: time::TimeMs,
    ) -> impl Iterator<Item = exchange::ServerStatus<'_>> {
        self.slots.status(now)
    }

    /// Returns how often this instance refused to grant slots of the backend servers that it owns, by reason.
    pub(in crate::engine) fn slot_refusals(&self) -> BTreeMap<&'static str, u64> {
        self.slots
            .counters()
            .refused
            .iter()
            .map(|(reason, count)| (reason.as_str(), *count))
            .collect()
    }

    /// Returns for how long this instance was to grant slots and granted none, in milliseconds summed over the
    /// backend servers, by reason.
    pub(in crate::engine) const fn slots_blocked_ms(&self) -> &BTreeMap<exchange::BlockedBy, u64> {
        &self.slots.counters().blocked_ms
    }

    /// Returns whether slots are granted in this zone: another instance owns a backend server, or this instance
    /// has begun to grant slots. The result is also `true` in a zone without backend servers, where there is
    /// nothing to wait for.
    pub(in crate::engine) fn can_serve(&self, now: time::TimeMs) -> bool {
        let mut is_empty = true;
        for status in self.slots.status(now) {
            is_empty = false;
            let is_owned_elsewhere = !self.slots.is_assigned(status.server);
            if is_owned_elsewhere || status.phase == exchange::OwnerPhase::Serving {
                return true;
            }
        }
        is_empty
    }

    /// Returns the slots that this instance grants, by service; only backend servers that may get requests
    /// count.
    pub(in crate::engine) fn serving(
        &self,
        now: time::TimeMs,
    ) -> BTreeMap<ids::ServiceId, units::Slots> {
        let mut serving = BTreeMap::new();
        for status in self.slots.status(now) {
            let is_serving = status.phase == exchange::OwnerPhase::Serving;
            let Some(entry) = self.directory.backend_servers.get(status.server) else {
                continue;
            };
            let takes_work = !entry.draining && self.admits(now, &entry.service, status.server);
            let slots = if is_serving && takes_work {
                entry.slots
            } else {
                units::Slots::ZERO
            };
            let sum: &mut units::Slots = serving.entry(entry.service.clone()).or_default();
            *sum = *sum + slots;
        }
        serving
    }
}
