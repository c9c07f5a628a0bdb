//! Pool of the backend servers of one service in one zone.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::health;
//!
//! let pool = health::Pool::new(health::Settings::default());
//! let server = "rider-desk-1".parse()?;
//! assert!(!pool.admission(&server, time::TimeMs::ZERO).takes_work(), "unknown servers are excluded");
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time};

use crate::health::admission::{Admission, ExclusionReason};
use crate::health::server::{Outcome, ServerState};
use crate::health::settings::Settings;

/// Consecutive refused requests after which only half of a server's slots are used, where a slot is
/// the right to run one request on the server.
const REFUSALS_TO_HALVE: u32 = 3;

const HALF_PERMILLE: u32 = 500;

/// Backend servers of one service in one zone, as observed by this instance.
#[derive(Debug)]
pub struct Pool {
    settings: Settings,
    servers: BTreeMap<ids::BackendServerId, ServerState>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
        }
    }

    /// Adds a cold server, whose share of new requests increases gradually. A server that is in the
    /// pool already is left unchanged.
    pub fn join(&mut self, server: ids::BackendServerId, now: time::TimeMs) {
        self.servers.entry(server).or_insert(ServerState::new(now));
    }

    /// Adds a server that is not cold, because the server was running before this instance added
    /// it. A server that is in the pool already is left unchanged.
    ///
    /// An instance that has just started finds every server running. If the instance treated them
    /// as cold, each of its restarts would take most of its zone's capacity away for a while.
    pub fn join_warm(&mut self, server: ids::BackendServerId, now: time::TimeMs) {
        let warm = ServerState {
            is_warm: true,
            ..ServerState::new(now)
        };
        self.servers.entry(server).or_insert(warm);
    }

    /// Marks a server as leaving; the server receives no new requests from now on.
    pub fn leave(&mut self, server: &ids::BackendServerId) {
        if let Some(state) = self.servers.get_mut(server) {
            state.leaving = true;
        }
    }

    /// Removes a server from the pool.
    pub fn remove(&mut self, server: &ids::BackendServerId) {
        self.servers.remove(server);
    }

    /// Records a health report of a server.
    pub fn record_report(
        &mut self,
        server: &ids::BackendServerId,
        healthy: bool,
        now: time::TimeMs,
    ) {
        if let Some(state) = self.servers.get_mut(server) {
            state.report = Some((now, healthy));
        }
    }

    /// Records that this instance has sent a request to a server.
    pub fn record_start(&mut self, server: &ids::BackendServerId) {
        if let Some(state) = self.servers.get_mut(server) {
            state.in_flight += 1;
        }
    }

    /// Records the outcome of a request on a server.
    pub fn record_end(
        &mut self,
        server: &ids::BackendServerId,
        outcome: Outcome,
        now: time::TimeMs,
    ) {
        let exclusion_failures = self.settings.exclusion_failures;
        if let Some(state) = self.servers.get_mut(server) {
            state.record_end(outcome, now, exclusion_failures);
        }
    }

    /// Returns the share of new requests that a server receives at `now`.
    #[must_use]
    pub fn admission(&self, server: &ids::BackendServerId, now: time::TimeMs) -> Admission {
        let Some(state) = self.servers.get(server) else {
            return excluded(ExclusionReason::Leaving);
        };
        if state.leaving {
            return excluded(ExclusionReason::Leaving);
        }
        if state.failures >= self.settings.exclusion_failures {
            return self.admission_after_failures(state, now);
        }
        if self.excluded_by_report(now).contains(server) {
            return excluded(ExclusionReason::Report);
        }
        self.partial_admission(state, now)
    }

    /// Returns the share of new requests that each server receives at `now`.
    #[must_use]
    pub fn admissions(&self, now: time::TimeMs) -> BTreeMap<ids::BackendServerId, Admission> {
        let servers = self.servers.keys();
        servers
            .map(|server| (server.clone(), self.admission(server, now)))
            .collect()
    }

    fn admission_after_failures(&self, state: &ServerState, now: time::TimeMs) -> Admission {
        let waited = state
            .last_failure_at
            .is_none_or(|at| now.since(at) >= self.settings.probe_delay);
        if waited && state.in_flight == 0 {
            Admission::Probe
        } else {
            excluded(ExclusionReason::Failures)
        }
    }

    /// Returns the servers that are excluded because of health reports alone, up to the configured
    /// maximum part of the pool.
    ///
    /// Without the maximum, a health endpoint that is broken in the same way on all servers would
    /// exclude the whole pool, and clients would be refused although no request fails.
    fn excluded_by_report(&self, now: time::TimeMs) -> BTreeSet<&ids::BackendServerId> {
        let members = self.servers.values().filter(|state| !state.leaving).count();
        let bound = members * self.settings.max_excluded_permille as usize / 1_000;
        let suspects = self.servers.iter();
        let mut suspects: Vec<_> = suspects
            .filter(|(_, state)| self.is_suspect(state, now))
            .collect();
        // Servers with more failures first, then servers with a longer time since the last response.
        suspects
            .sort_by_key(|(id, state)| (u32::MAX - state.failures, state.last_response_at, *id));
        let excluded: BTreeSet<_> = suspects.into_iter().take(bound).map(|(id, _)| id).collect();
        debug_assert!(
            excluded.len() * 1_000 <= members * self.settings.max_excluded_permille as usize
        );
        excluded
    }

    fn is_suspect(&self, state: &ServerState, now: time::TimeMs) -> bool {
        let settings = &self.settings;
        let reports_unhealthy = state.report.is_some_and(|(reported_at, healthy)| {
            !healthy && now.since(reported_at) <= settings.report_lifetime
        });
        let has_recent_response = state.failures == 0
            && state
                .last_response_at
                .is_some_and(|at| now.since(at) <= settings.response_precedence);
        reports_unhealthy
            && !has_recent_response
            && !state.leaving
            && state.failures < settings.exclusion_failures
    }

    fn partial_admission(&self, state: &ServerState, now: time::TimeMs) -> Admission {
        let warm = self.warm_permille(state, now);
        let is_limited = state.refusals >= REFUSALS_TO_HALVE || self.is_slow(state);
        let permille = if is_limited {
            warm.min(HALF_PERMILLE)
        } else {
            warm
        };
        if permille >= 1_000 {
            Admission::Full
        } else {
            Admission::Part { permille }
        }
    }

    fn warm_permille(&self, state: &ServerState, now: time::TimeMs) -> u32 {
        if state.is_warm {
            return 1_000;
        }
        let settings = &self.settings;
        let span_ms = settings.slow_start.get().max(1);
        let elapsed_ms = now.since(state.joined_at).get().min(span_ms);
        let gain = u64::from(1_000 - settings.cold_permille.min(1_000)) * elapsed_ms / span_ms;
        settings.cold_permille + u32::try_from(gain).unwrap_or(1_000)
    }

    fn is_slow(&self, state: &ServerState) -> bool {
        let latencies = self.servers.values().map(|state| state.latency_us);
        let mut latencies: Vec<_> = latencies.filter(|latency_us| *latency_us > 0).collect();
        latencies.sort_unstable();
        let median_us = latencies
            .get(latencies.len().saturating_sub(1) / 2)
            .copied();
        let multiple = u64::from(self.settings.slow_multiple);
        median_us.is_some_and(|median_us| state.latency_us > median_us * multiple)
    }
}

const fn excluded(reason: ExclusionReason) -> Admission {
    Admission::Excluded { reason }
}
