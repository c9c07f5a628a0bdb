//! Times from the acceptance of tickets until they are active on each instance.

use damaskvane_core::{ids, time};

use crate::config_run::report::RunReport;

/// The acceptance time of each version, and the times that instances took to activate it.
#[derive(Debug, Default)]
pub(super) struct ActivationTimes {
    accepted_at: Vec<time::TimeMs>,
    activation_ms: Vec<u64>,
}

impl ActivationTimes {
    /// Records the acceptance of the next version.
    pub(super) fn record_acceptance(&mut self, now: time::TimeMs) {
        self.accepted_at.push(now);
    }

    /// Records that an instance changed from one version to a later one.
    ///
    /// The versions in between count as activated at the same time.
    pub(super) fn record_activation(
        &mut self,
        from: ids::ConfigVersion,
        to: ids::ConfigVersion,
        now: time::TimeMs,
    ) {
        let index = |version: ids::ConfigVersion| {
            let index = usize::try_from(version.get()).unwrap_or(usize::MAX);
            index.min(self.accepted_at.len())
        };
        let versions = index(from)..index(to);
        let accepted = self.accepted_at.get(versions).unwrap_or_default();
        let durations_ms = accepted.iter().map(|at| now.since(*at).get());
        self.activation_ms.extend(durations_ms);
    }

    pub(super) fn summarize(&mut self, report: &mut RunReport) {
        self.activation_ms.sort_unstable();
        report.activation_p50_ms = self.quantile(500);
        report.activation_p99_ms = self.quantile(990);
        report.activation_max_ms = self.quantile(1_000);
    }

    fn quantile(&self, permille: usize) -> u64 {
        let last = self.activation_ms.len().saturating_sub(1);
        let index = last * permille / 1_000;
        self.activation_ms.get(index).copied().unwrap_or_default()
    }
}
