//! The figures of a load.
//!
//! ```
//! use damaskvane_bench::load;
//!
//! let report = load::Report::of(&[]);
//! assert_eq!(report.requests, 0);
//! ```

use core::fmt;
use std::collections::BTreeMap;

use serde::Serialize;

use crate::client::{Given, Outcome};
use crate::histogram;

/// Counts and latencies of a load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Requests sent.
    pub requests: usize,
    /// Requests with the backend server's whole answer.
    pub completed: usize,
    /// Requests that did not run.
    pub not_run: usize,
    /// Requests that may have run.
    pub unknown: usize,
    /// Answers that were not whole or not the client's own.
    pub wrong_answers: usize,
    /// Requests that needed more than one try.
    pub retried: usize,
    /// Last reasons of what did not complete.
    pub reasons: BTreeMap<String, usize>,
    /// Reasons of every try that did not complete.
    pub try_reasons: BTreeMap<String, usize>,
    /// Latency of what completed.
    pub latency: histogram::Summary,
}

impl Report {
    /// Sums up what requests were answered.
    #[must_use]
    pub fn of(given: &[Given]) -> Self {
        let count = |outcome| given.iter().filter(|one| one.outcome == outcome).count();
        let completed = given.iter().filter(|one| one.outcome == Outcome::Completed);
        let failed = given.iter().filter(|one| one.outcome != Outcome::Completed);
        let tries = given.iter().flat_map(|one| &one.tries);
        let failed_tries = tries.filter(|own| own.outcome != Outcome::Completed);
        Self {
            requests: given.len(),
            completed: count(Outcome::Completed),
            not_run: count(Outcome::NotRun),
            unknown: count(Outcome::Unknown),
            wrong_answers: given.iter().filter(|one| one.fault.is_some()).count(),
            retried: given.iter().filter(|one| one.tries.len() > 1).count(),
            reasons: tally(failed.map(|one| one.reason.as_str())),
            try_reasons: tally(failed_tries.map(|own| own.reason.as_str())),
            latency: histogram::Summary::of(completed.map(|one| one.latency_us)),
        }
    }
}

fn tally<'a>(words: impl Iterator<Item = &'a str>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for word in words {
        *counts.entry(word.to_owned()).or_default() += 1;
    }
    counts
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "requests {}  completed {}  not-run {}  unknown {}  wrong answers {}  retried {}",
            self.requests,
            self.completed,
            self.not_run,
            self.unknown,
            self.wrong_answers,
            self.retried
        )?;
        writeln!(
            f,
            "latency p50 {:.2} ms  p99 {:.2} ms  max {:.2} ms",
            self.latency.p50_ms, self.latency.p99_ms, self.latency.max_ms
        )?;
        for (reason, count) in &self.reasons {
            writeln!(f, "  ended {reason}: {count}")?;
        }
        for (reason, count) in &self.try_reasons {
            writeln!(f, "  try {reason}: {count}")?;
        }
        Ok(())
    }
}
