//! What instances of a zone tell each other of a server.

use damaskvane_core::time::TimeMs;

use crate::pool::server::MIN_REPORTED_SLOWNESS;
use crate::pool::{LoadReport, PeerHealthReport, PeerServerReport, Server, ServerKey};

/// Share of failures from which a server is reported to the zone; well above the effect of one outlier.
const MIN_REPORTED_FAILURE_SHARE: f64 = 0.2;

impl Server {
    /// Applies those parts of another instance's report that are newer than the known state.
    pub(in crate::pool) fn apply_peer_report(&mut self, now: TimeMs, report: &PeerServerReport) {
        let observed_at = TimeMs::new(now.get().saturating_sub(report.age_ms));
        if let Some(load) = report.load
            && observed_at > self.peer_load.reported_at()
        {
            self.peer_load
                .record(observed_at, load, self.requests.len());
        }
        if let Some(health) = report.health
            && self.peer_health.is_none_or(|(at, _)| observed_at >= at)
        {
            self.peer_health = Some((observed_at, health));
        }
    }

    /// Returns whether there is a load report or a change of health that was not sent to the zone.
    pub(in crate::pool) const fn has_unreported_state(&self) -> bool {
        self.last_report.is_some() || self.has_unreported_health
    }

    /// Removes and returns the report for the zone, if the server is queueing, slow or failing, or just recovered.
    ///
    /// Slowness and failures are reported only if any server has given this instance a sign of life since, at
    /// `contact_at`: otherwise this instance may itself be cut off from the servers.
    pub(in crate::pool) fn take_report(
        &mut self,
        now: TimeMs,
        contact_at: Option<TimeMs>,
    ) -> Option<PeerServerReport> {
        let (load, age_ms) = self.take_load_report(now).unzip();
        let health = contact_at.and_then(|contact_at| self.take_health_report(now, contact_at));
        let has_report = load.is_some() || health.is_some();
        has_report.then(|| PeerServerReport {
            server: ServerKey::of(&self.entry.id),
            load,
            health,
            age_ms: age_ms.unwrap_or_default(),
        })
    }

    fn take_load_report(&mut self, now: TimeMs) -> Option<(LoadReport, u64)> {
        let (observed_at, load) = self.last_report.take()?;
        let is_busy = load.waiting > 0;
        let was_busy = core::mem::replace(&mut self.is_reported_busy, is_busy);
        (is_busy || was_busy).then(|| (load, now.since(observed_at).get()))
    }

    fn take_health_report(&mut self, now: TimeMs, contact_at: TimeMs) -> Option<PeerHealthReport> {
        let stall_ratio = self.stall_ratio(contact_at).and(self.stall_ratio(now));
        let is_proven = self.failures_at <= contact_at;
        let is_due = (self.has_unreported_health && is_proven) || stall_ratio.is_some();
        if !is_due {
            return None;
        }
        self.has_unreported_health &= !is_proven;
        let health = PeerHealthReport {
            slowness: self.own_slowness(now).max(stall_ratio.unwrap_or(1.0)),
            failure_share: self.own_failure_share(now),
        };
        let is_unhealthy = health.slowness >= MIN_REPORTED_SLOWNESS
            || health.failure_share >= MIN_REPORTED_FAILURE_SHARE;
        let was_unhealthy = core::mem::replace(&mut self.is_reported_unhealthy, is_unhealthy);
        (is_unhealthy || was_unhealthy).then_some(health)
    }

    /// Forgets the failures that this instance has observed and not yet told others of.
    pub(in crate::pool) const fn forget_failures(&mut self) {
        self.failure_share = 0.0;
        self.has_unreported_health = false;
    }
}
