//! The backend servers of one service in one zone.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::health;
//!
//! let pool = health::Pool::new(health::Settings::default());
//! let server = "rider-desk-1".parse()?;
//! assert!(!pool.admission(&server, time::TimeMs::ZERO).takes_work(), "unknown servers get nothing");
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time};

use crate::health::admission::{Admission, ExclusionReason};
use crate::health::seen::{Outcome, Seen};
use crate::health::settings::Settings;

/// A server that refuses this often in a row gets half of its slots.
const REFUSALS_HALF: u32 = 3;

const HALF_PERMILLE: u32 = 500;

/// The backend servers of one service in one zone, as this instance sees them.
#[derive(Debug)]
pub struct Pool {
    settings: Settings,
    servers: BTreeMap<ids::BackendServerId, Seen>,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
        }
    }

    /// A server joins, cold; one that is known stays as it is.
    pub fn join(&mut self, server: ids::BackendServerId, now: time::TimeMs) {
        self.servers.entry(server).or_insert(Seen::new(now));
    }

    /// A server joins that was at work before; one that is known stays as it is.
    ///
    /// An instance that has just started finds every server running. Were they cold to it, each
    /// restart of an instance would take most of its zone's capacity away for a while.
    pub fn join_warm(&mut self, server: ids::BackendServerId, now: time::TimeMs) {
        let warm = Seen {
            is_warm: true,
            ..Seen::new(now)
        };
        self.servers.entry(server).or_insert(warm);
    }

    /// A server leaves: it gets no new work from now on.
    pub fn leave(&mut self, server: &ids::BackendServerId) {
        if let Some(seen) = self.servers.get_mut(server) {
            seen.leaving = true;
        }
    }

    /// A server is gone for good.
    pub fn remove(&mut self, server: &ids::BackendServerId) {
        self.servers.remove(server);
    }

    /// A server's report says whether it is healthy.
    pub fn record_report(
        &mut self,
        server: &ids::BackendServerId,
        healthy: bool,
        now: time::TimeMs,
    ) {
        if let Some(seen) = self.servers.get_mut(server) {
            seen.report = Some((now, healthy));
        }
    }

    /// A request was sent to a server.
    pub fn record_start(&mut self, server: &ids::BackendServerId) {
        if let Some(seen) = self.servers.get_mut(server) {
            seen.in_flight += 1;
        }
    }

    /// A request on a server ended.
    pub fn record_end(
        &mut self,
        server: &ids::BackendServerId,
        outcome: Outcome,
        now: time::TimeMs,
    ) {
        let failures_out = self.settings.failures_out;
        if let Some(seen) = self.servers.get_mut(server) {
            seen.record_end(outcome, now, failures_out);
        }
    }

    /// What a server gets now.
    #[must_use]
    pub fn admission(&self, server: &ids::BackendServerId, now: time::TimeMs) -> Admission {
        let Some(seen) = self.servers.get(server) else {
            return out(ExclusionReason::Leaving);
        };
        if seen.leaving {
            return out(ExclusionReason::Leaving);
        }
        if seen.failures >= self.settings.failures_out {
            return self.after_failures(seen, now);
        }
        if self.out_by_report(now).contains(server) {
            return out(ExclusionReason::Report);
        }
        self.part(seen, now)
    }

    /// What every server gets now.
    #[must_use]
    pub fn admissions(&self, now: time::TimeMs) -> BTreeMap<ids::BackendServerId, Admission> {
        let servers = self.servers.keys();
        servers
            .map(|server| (server.clone(), self.admission(server, now)))
            .collect()
    }

    fn after_failures(&self, seen: &Seen, now: time::TimeMs) -> Admission {
        let waited = seen
            .failed_at
            .is_none_or(|at| now.since(at) >= self.settings.retry_after);
        if waited && seen.in_flight == 0 {
            Admission::Probe
        } else {
            out(ExclusionReason::Failures)
        }
    }

    /// The servers that reports alone take out, within the bound.
    ///
    /// A broken health endpoint that is the same everywhere would otherwise empty the whole pool while
    /// every request works; one would notice refusals without a failed request.
    fn out_by_report(&self, now: time::TimeMs) -> BTreeSet<&ids::BackendServerId> {
        let staying = self.servers.values().filter(|seen| !seen.leaving).count();
        let bound = staying * self.settings.removable_permille as usize / 1_000;
        let suspects = self.servers.iter();
        let mut suspects: Vec<_> = suspects
            .filter(|(_, seen)| self.is_suspect(seen, now))
            .collect();
        // Those with failures first, then those that have not answered for longest.
        suspects.sort_by_key(|(id, seen)| (u32::MAX - seen.failures, seen.answered_at, *id));
        let out: BTreeSet<_> = suspects.into_iter().take(bound).map(|(id, _)| id).collect();
        debug_assert!(out.len() * 1_000 <= staying * self.settings.removable_permille as usize);
        out
    }

    fn is_suspect(&self, seen: &Seen, now: time::TimeMs) -> bool {
        let settings = &self.settings;
        let says_ill = seen.report.is_some_and(|(reported_at, healthy)| {
            !healthy && now.since(reported_at) <= settings.report_lasts
        });
        let answers = seen.failures == 0
            && seen
                .answered_at
                .is_some_and(|at| now.since(at) <= settings.answer_outweighs);
        says_ill && !answers && !seen.leaving && seen.failures < settings.failures_out
    }

    fn part(&self, seen: &Seen, now: time::TimeMs) -> Admission {
        let warm = self.warm_permille(seen, now);
        let is_limited = seen.refusals >= REFUSALS_HALF || self.is_slow(seen);
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

    fn warm_permille(&self, seen: &Seen, now: time::TimeMs) -> u32 {
        if seen.is_warm {
            return 1_000;
        }
        let settings = &self.settings;
        let span_ms = settings.slow_start.get().max(1);
        let up_ms = now.since(seen.joined_at).get().min(span_ms);
        let gain = u64::from(1_000 - settings.cold_permille.min(1_000)) * up_ms / span_ms;
        settings.cold_permille + u32::try_from(gain).unwrap_or(1_000)
    }

    fn is_slow(&self, seen: &Seen) -> bool {
        let latencies = self.servers.values().map(|seen| seen.latency_us);
        let mut latencies: Vec<_> = latencies.filter(|latency_us| *latency_us > 0).collect();
        latencies.sort_unstable();
        let median_us = latencies
            .get(latencies.len().saturating_sub(1) / 2)
            .copied();
        let multiple = u64::from(self.settings.slow_multiple);
        median_us.is_some_and(|median_us| seen.latency_us > median_us * multiple)
    }
}

const fn out(reason: ExclusionReason) -> Admission {
    Admission::Excluded { reason }
}
