//! The time factor of a server's machine, estimated from the factors that its responses name.

use damaskvane_core::time::TimeMs;

use crate::pool::TimeFactor;

/// Time constant with which the estimate moves from the last named factor to the mean. The speed of shared machines
/// changes every 600 ms.
const REPORT_DECAY_MS: f64 = 300.0;
/// Time constant of the moving average of named factors. It spans several reports, which arrive every 1 to 8 s: an
/// average of one or two would mark a server as slow long after its machine has recovered.
const MEAN_WINDOW_MS: f64 = 20_000.0;

/// The last time factor that a server has named, and the mean of those before.
#[derive(Debug, Clone, Copy)]
pub(super) struct MachineSpeed {
    latest: f64,
    mean: f64,
    at: Option<TimeMs>,
}

impl Default for MachineSpeed {
    fn default() -> Self {
        Self {
            latest: 1.0,
            mean: 1.0,
            at: None,
        }
    }
}

impl MachineSpeed {
    /// Records the factor that a response has named at `now`.
    pub(super) fn record(&mut self, now: TimeMs, factor: TimeFactor) {
        let ratio = factor.ratio();
        // The mean starts at the usual time, since the first factor may be an outlier.
        let age_ms = self
            .at
            .map_or(REPORT_DECAY_MS, |at| now.since(at).get() as f64);
        let weight = 1.0 - (-age_ms / MEAN_WINDOW_MS).exp();
        self.mean += (ratio - self.mean) * weight;
        self.latest = ratio;
        self.at = Some(now);
    }

    /// Returns the expected ratio of the time that work takes now to its usual time; 1 if no factor is known.
    pub(super) fn ratio(&self, now: TimeMs) -> f64 {
        let Some(at) = self.at else {
            return 1.0;
        };
        let weight = (-(now.since(at).get() as f64) / REPORT_DECAY_MS).exp();
        self.mean + (self.latest - self.mean) * weight
    }
}
