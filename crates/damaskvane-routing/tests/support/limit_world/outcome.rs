//! What came of a history.

use damaskvane_routing::limit::RequestRate;

/// Window in which the requests at the server are counted.
const WINDOW_MS: u64 = 4_000;
/// Time after an instance was told from which its requests count.
const TOLD_MS: u64 = 500;

/// A request that arrived at the server.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub from: usize,
    pub at_ms: u64,
    pub sent_ms: u64,
    /// When its sender had passed on the first response with a limit.
    pub told_ms: Option<u64>,
}

#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub arrivals: Vec<Arrival>,
    /// Limits that the server named, each with the time from which on.
    pub limits: Vec<(u64, Option<RequestRate>)>,
    pub refused: u64,
    pub calls: u64,
    pub messages: u64,
    /// Sum of the times that requests waited for tokens, in milliseconds.
    pub waited_ms: u64,
    pub granted: u64,
}

impl Outcome {
    /// Returns the largest excess in a window: the requests from instances that were told, less `factor` times what the
    /// limit allows.
    pub fn worst(&self, factor: f64) -> f64 {
        let counted = self.arrivals.iter().filter(|one| {
            let told_ms = one.told_ms;
            told_ms.is_some_and(|told_ms| told_ms + TOLD_MS <= one.sent_ms)
        });
        let counted: Vec<u64> = counted.map(|one| one.at_ms).collect();
        let windows = counted.iter().enumerate().filter_map(|(index, first)| {
            let until = first + WINDOW_MS;
            let in_window = counted[index..].iter().take_while(|at| **at < until);
            let highest = self.highest_limit(first.saturating_sub(WINDOW_MS), until)?;
            let allowed = highest * factor * WINDOW_MS as f64 / 1_000.0;
            Some(in_window.count() as f64 - allowed)
        });
        windows.fold(f64::MIN, f64::max)
    }

    /// Returns the highest limit that held at some time of a span; `None` if the server had none at some time.
    fn highest_limit(&self, from_ms: u64, to_ms: u64) -> Option<f64> {
        let mut highest = 0.0_f64;
        for (index, (since, rate)) in self.limits.iter().enumerate() {
            let until = self.limits.get(index + 1).map_or(u64::MAX, |next| next.0);
            if *since < to_ms && until > from_ms {
                highest = highest.max((*rate)?.per_s());
            }
        }
        Some(highest)
    }

    /// Returns the share of a limit that was used in a span.
    pub fn used(&self, rate_per_s: f64, from_ms: u64, to_ms: u64) -> f64 {
        self.used_by(|_| true, rate_per_s, from_ms, to_ms)
    }

    /// Returns the share of a limit that some instances used in a span.
    pub fn used_by(
        &self,
        is_counted: impl Fn(usize) -> bool,
        rate_per_s: f64,
        from_ms: u64,
        to_ms: u64,
    ) -> f64 {
        let arrivals = self.arrivals.iter().filter(|one| is_counted(one.from));
        let in_span = arrivals.filter(|one| (from_ms..to_ms).contains(&one.at_ms));
        in_span.count() as f64 / (rate_per_s * (to_ms - from_ms) as f64 / 1_000.0)
    }
}
