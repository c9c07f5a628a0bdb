//! What a run showed.

use std::collections::{HashMap, VecDeque};

use damaskvane_core::time::TimeMs;
use damaskvane_routing::quota::{MOST_URGENT, QuotaSettings, TokenPools};
use damaskvane_routing::teams::{Quota, TeamKey};
use serde::Serialize;

use crate::quotas::case::{Case, DISTURBED_FROM_MS};

/// The figures of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figure {
    /// The way to keep quotas.
    pub way: String,
    /// The disturbance.
    pub pattern: String,
    /// Number of instances.
    pub instances: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of requests.
    pub requests: u64,
    /// The most requests that ran of a team in a window, as a share of the bound.
    pub most_of_bound: f64,
    /// Of the requests that the quotas permit, the share that was refused, in percent.
    pub refused_percent: f64,
    /// The same share in the two seconds after the disturbance began.
    pub refused_after_percent: f64,
    /// Time after the disturbance from which less than one permitted request in a hundred is refused, in milliseconds.
    pub followed_ms: u64,
    /// Bytes a second and instance.
    pub bytes_per_s: f64,
    /// Bytes a second and instance between zones.
    pub bytes_between_zones_per_s: f64,
    /// Processor time of a decision, in microseconds, with the messages that it caused.
    pub decision_us: f64,
}

/// Counts of one second.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    permitted: u64,
    refused: u64,
}

/// Compares decisions with the quotas.
#[derive(Debug)]
pub(super) struct Ledger {
    central: TokenPools,
    admitted: HashMap<usize, VecDeque<u64>>,
    permitted: HashMap<u64, u64>,
    /// Counts of each half second.
    parts: Vec<Second>,
    most_of_bound: f64,
    requests: u64,
}

const PART_MS: u64 = 500;
const AFTER_PARTS: usize = 4;

impl Ledger {
    pub(super) fn new(case: &Case) -> Self {
        // One pool that earns exactly the quota.
        let exact = QuotaSettings {
            token_ttl_ms: 0,
            ..QuotaSettings::default()
        };
        let parts = case.seconds * 1_000 / PART_MS + 1;
        Self {
            central: TokenPools::new(exact, TimeMs::ZERO),
            admitted: HashMap::new(),
            permitted: HashMap::new(),
            parts: vec![Second::default(); parts as usize],
            most_of_bound: 0.0,
            requests: 0,
        }
    }

    /// Counts a request, and whether the quota permits it.
    pub(super) fn record_request(&mut self, now_ms: u64, number: u64, team: usize, quota: Quota) {
        self.requests += 1;
        let key = TeamKey(team as u64);
        if self
            .central
            .take(TimeMs::new(now_ms), key, quota, MOST_URGENT)
            .is_ok()
        {
            self.permitted.insert(number, now_ms);
            self.parts[(now_ms / PART_MS) as usize].permitted += 1;
        }
    }

    /// Counts a decision.
    pub(super) fn record_decision(
        &mut self,
        now_ms: u64,
        number: u64,
        team: usize,
        quota: Quota,
        is_admitted: bool,
    ) {
        let permitted = self.permitted.remove(&number);
        if !is_admitted {
            if let Some(asked_ms) = permitted {
                self.parts[(asked_ms / PART_MS) as usize].refused += 1;
            }
            return;
        }
        let settings = Case::bound(1);
        let times = self.admitted.entry(team).or_default();
        while times
            .front()
            .is_some_and(|at| at + settings.window_ms <= now_ms)
        {
            times.pop_front();
        }
        times.push_back(now_ms);
        let window_s = settings.window_ms as f64 / 1_000.0;
        let limit = quota.rate_per_s * window_s + quota.burst;
        let bound = limit * (1.0 + settings.over) + settings.slack;
        self.most_of_bound = self.most_of_bound.max(times.len() as f64 / bound);
    }

    pub(super) fn figure(&self, case: &Case, bytes: (u64, u64), decision_us: f64) -> Figure {
        let share = |parts: &[Second]| {
            let permitted: u64 = parts.iter().map(|one| one.permitted).sum();
            let refused: u64 = parts.iter().map(|one| one.refused).sum();
            100.0 * refused as f64 / permitted.max(1) as f64
        };
        let from = ((DISTURBED_FROM_MS / PART_MS) as usize).min(self.parts.len());
        let after = &self.parts[from..];
        let is_bad = |one: &Second| one.refused * 100 > one.permitted;
        let bad = after.iter().rposition(is_bad).map_or(0, |last| last + 1);
        let machine_s = case.seconds as f64 * case.instances as f64;
        Figure {
            way: case.way.to_string(),
            pattern: case.pattern.to_string(),
            instances: case.instances,
            teams: case.teams,
            requests: self.requests,
            most_of_bound: self.most_of_bound,
            refused_percent: share(&self.parts),
            refused_after_percent: share(&after[..AFTER_PARTS.min(after.len())]),
            followed_ms: bad as u64 * PART_MS,
            bytes_per_s: bytes.0 as f64 / machine_s,
            bytes_between_zones_per_s: bytes.1 as f64 / machine_s,
            decision_us,
        }
    }
}
