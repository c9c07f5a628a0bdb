//! What the users measure: latency, headroom and drain time.
//!
//! ```
//! use damaskvane_bench::{cluster, demo};
//!
//! let figures = demo::Figures::of(&cluster::Deployment::prairie(), &demo::Record::default());
//! assert_eq!(figures.drain_ms, 0);
//! ```

use crate::client::{Given, Outcome};
use crate::cluster::Deployment;
use crate::demo::Record;
use crate::demo::promises::region_slots;
use crate::histogram;

/// What the users measure: latency, headroom and drain time.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Figures {
    /// Latency of repeatable requests.
    pub reads: histogram::Summary,
    /// Latency of non-repeatable requests.
    pub writes: histogram::Summary,
    /// The share of all slots that stayed free in the fullest region, in permille.
    pub headroom_permille: u64,
    /// How long the planned stop took, in milliseconds.
    pub drain_ms: u64,
    /// The share of requests that completed, in permille.
    pub completed_permille: usize,
    /// The same for those that were due while the store was cut.
    pub completed_without_store_permille: usize,
    /// The largest sum of resident memory, in megabytes.
    pub resident_mb: u64,
}

impl Figures {
    /// The figures of a run.
    #[must_use]
    pub fn of(deployment: &Deployment, record: &Record) -> Self {
        let completed = |one: &&Given| one.outcome == Outcome::Completed;
        let latency = |write: bool| {
            let kind = record
                .given
                .iter()
                .filter(move |one| one.idempotency_key.is_empty() != write);
            histogram::Summary::of(kind.filter(completed).map(|one| one.latency_us))
        };
        let slots = region_slots(deployment);
        let free = |(region, peak): (&String, &u64)| {
            let slots = slots.get(region).copied().unwrap_or(1).max(1);
            slots.saturating_sub(*peak) * 1_000 / slots
        };
        let (cut, back) = record.outage_unix_ms;
        let during = record
            .given
            .iter()
            .filter(|one| (cut..back).contains(&one.started_unix_ms));
        Self {
            reads: latency(false),
            writes: latency(true),
            headroom_permille: record.peaks.iter().map(free).min().unwrap_or(0),
            drain_ms: record
                .stop
                .ended_unix_ms
                .saturating_sub(record.stop.told_unix_ms),
            completed_permille: permille(record.given.iter()),
            completed_without_store_permille: permille(during),
            resident_mb: record.resident_bytes / 1_000_000,
        }
    }
}

fn permille<'a>(given: impl Iterator<Item = &'a Given>) -> usize {
    let (mut all, mut completed) = (0, 0);
    for one in given {
        all += 1;
        completed += usize::from(one.outcome == Outcome::Completed);
    }
    completed * 1_000 / all.max(1)
}
