//! From the acceptance of tickets to their being in force on each instance.

use damaskvane_core::{ids, time};

use crate::config_run::report::RunReport;

/// When each version was accepted, and how long instances took to have it in force.
#[derive(Debug, Default)]
pub(super) struct Spans {
    accepted_at: Vec<time::TimeMs>,
    in_force_ms: Vec<u64>,
}

impl Spans {
    /// The next version is accepted now.
    pub(super) fn accept(&mut self, now: time::TimeMs) {
        self.accepted_at.push(now);
    }

    /// An instance went from one version to another, and has those between in force too.
    pub(super) fn adopt(
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
        let spans = accepted.iter().map(|at| now.since(*at).get());
        self.in_force_ms.extend(spans);
    }

    pub(super) fn report(&mut self, report: &mut RunReport) {
        self.in_force_ms.sort_unstable();
        report.activation_p50_ms = self.quantile(500);
        report.activation_p99_ms = self.quantile(990);
        report.in_force_max_ms = self.quantile(1_000);
    }

    fn quantile(&self, permille: usize) -> u64 {
        let last = self.in_force_ms.len().saturating_sub(1);
        let index = last * permille / 1_000;
        self.in_force_ms.get(index).copied().unwrap_or_default()
    }
}
