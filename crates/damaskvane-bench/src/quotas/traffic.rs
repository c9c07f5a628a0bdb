//! The requests of teams: large and small teams, zones that take turns at their peaks, callers who move.

use core::f64::consts::TAU;

use damaskvane_routing::teams::Quota;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::quotas::case::{
    Case, DISTURBED_FROM_MS, DISTURBED_UNTIL_MS, LIMIT_FACTOR, Pattern, REQUESTS_PER_INSTANCE_S,
    ZONES,
};

const SWING: f64 = 0.55;
const PERIOD_MS: f64 = 36_000.0;
/// Share of the callers of zone 0 that move to zone 1.
const MOVED_SHARE: f64 = 0.8;
const HOT_FACTOR: f64 = 7.5;
/// Rank by size of the team that becomes hot.
const HOT_TEAM: usize = 3;
/// Exponent of the distribution of teams by size.
const SKEW: f64 = 0.8;

/// One request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Request {
    pub(super) team: usize,
    pub(super) zone: usize,
}

/// Draws the requests of each millisecond.
#[derive(Debug)]
pub(super) struct Traffic {
    pattern: Pattern,
    per_ms: f64,
    /// Sums of the teams' shares of all requests.
    cumulated: Vec<f64>,
    /// Requests that are due, as a fraction.
    due: f64,
}

impl Traffic {
    pub(super) fn new(case: &Case) -> Self {
        let sizes = (1..=case.teams).map(|rank| (rank as f64).powf(-SKEW));
        let total: f64 = sizes.clone().sum();
        let cumulated = sizes.scan(0.0, |sum, size| {
            *sum += size / total;
            Some(*sum)
        });
        Self {
            pattern: case.pattern,
            per_ms: case.instances as f64 * REQUESTS_PER_INSTANCE_S / 1_000.0,
            cumulated: cumulated.collect(),
            due: 0.0,
        }
    }

    /// Returns the quota of a team at a time.
    pub(super) fn quota(&self, now_ms: u64, team: usize) -> Quota {
        let before = if team == 0 {
            0.0
        } else {
            self.cumulated[team - 1]
        };
        let usual_per_s = (self.cumulated[team] - before) * self.per_ms * 1_000.0;
        let is_lowered = self.pattern == Pattern::Lowered && now_ms >= DISTURBED_FROM_MS;
        let factor = if is_lowered {
            LIMIT_FACTOR / 2.0
        } else {
            LIMIT_FACTOR
        };
        Quota {
            rate_per_s: usual_per_s * factor,
            burst: usual_per_s * factor,
        }
    }

    /// Returns the requests of one millisecond.
    pub(super) fn next(&mut self, random: &mut Pcg64Mcg, now_ms: u64) -> Vec<Request> {
        let is_disturbed = (DISTURBED_FROM_MS..DISTURBED_UNTIL_MS).contains(&now_ms);
        let hot_share = if is_disturbed && self.pattern.is_hot() {
            let team = HOT_TEAM.min(self.cumulated.len() - 1);
            let before = if team == 0 {
                0.0
            } else {
                self.cumulated[team - 1]
            };
            (self.cumulated[team] - before) * (HOT_FACTOR - 1.0)
        } else {
            0.0
        };
        // Exponential gaps between requests.
        let mut requests = Vec::new();
        self.due += self.per_ms * (1.0 + hot_share);
        while self.due > 0.0 {
            self.due -= -(1.0 - random.random::<f64>()).ln();
            let is_hot = random.random_bool(hot_share / (1.0 + hot_share));
            let team = if is_hot {
                HOT_TEAM.min(self.cumulated.len() - 1)
            } else {
                let drawn: f64 = random.random();
                let found = self.cumulated.partition_point(|sum| *sum < drawn);
                found.min(self.cumulated.len() - 1)
            };
            let zone = self.zone(random, now_ms, is_disturbed);
            requests.push(Request { team, zone });
        }
        requests
    }

    fn zone(&self, random: &mut Pcg64Mcg, now_ms: u64, is_disturbed: bool) -> usize {
        loop {
            let zone = random.random_range(0..ZONES);
            let phase = (zone / 2) as f64 / (ZONES / 2) as f64;
            let wave = 1.0 + SWING * (TAU * (now_ms as f64 / PERIOD_MS + phase)).sin();
            if !random.random_bool(wave / (1.0 + SWING)) {
                continue;
            }
            let is_moved = is_disturbed && self.pattern == Pattern::Shift && zone == 0;
            return if is_moved && random.random_bool(MOVED_SHARE) {
                1
            } else {
                zone
            };
        }
    }
}
