//! The load of a service's servers in one region, kept as it is heard.

use damaskvane_core::time::TimeMs;

/// The span over which the servers' words are averaged.
const SPAN_MS: f64 = 2_000.0;
/// The time in which an estimate loses most of its weight if no word comes.
const FADES_MS: f64 = 6_000.0;

/// What the servers of a region said lately of their load, and this instance's own requests there.
#[derive(Debug, Default)]
pub(super) struct RegionLoad {
    per_slot: f64,
    at: TimeMs,
    in_flight: usize,
}

impl RegionLoad {
    /// Notes a server's word, as a load for each of its slots.
    pub(super) fn note(&mut self, now: TimeMs, per_slot: f64) {
        let age_ms = now.since(self.at).get() as f64;
        let known = self.per_slot(now);
        let weight = 1.0 - (-(age_ms + 50.0) / SPAN_MS).exp();
        self.per_slot = known + (per_slot - known) * weight;
        self.at = self.at.max(now);
    }

    /// Notes how many requests of this instance are there.
    pub(super) fn change_in_flight(&mut self, before: usize, after: usize) {
        self.in_flight = (self.in_flight + after).saturating_sub(before);
    }

    /// The load for each slot, where the region has so many slots.
    pub(super) fn estimate(&self, now: TimeMs, slots: f64) -> f64 {
        let own = self.in_flight as f64 / slots.max(1.0);
        self.per_slot(now).max(own)
    }

    fn per_slot(&self, now: TimeMs) -> f64 {
        let age_ms = now.since(self.at).get() as f64;
        self.per_slot * (-age_ms / FADES_MS).exp()
    }
}
