//! What every process of a cluster counted, and the rates between two such readings.
//!
//! ```
//! use damaskvane_bench::capacity;
//!
//! let rates = capacity::Rates::default();
//! assert_eq!(rates.control_max, 0.0);
//! ```

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::cluster::{self, Cluster, EntryStatus, Traffic};
use crate::error::BenchError;

/// What the store calls a write.
const WRITES: [&str; 2] = ["put", "delete"];

/// One reading.
#[derive(Debug, Clone)]
pub struct Snapshot {
    at: Instant,
    entries: Vec<EntryStatus>,
    store: BTreeMap<String, u64>,
}

/// Rates a second between two readings, by role.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    /// Control bytes of a relay, both ways, on average.
    pub control_relay: Option<f64>,
    /// Control bytes of an instance that is no relay, both ways, on average.
    pub control_other: Option<f64>,
    /// Control bytes of the busiest instance, both ways.
    pub control_max: f64,
    /// Processor milliseconds of a relay.
    pub cpu_relay: Option<f64>,
    /// Processor milliseconds of an instance that is no relay.
    pub cpu_other: Option<f64>,
    /// The largest resident memory, in megabytes.
    pub memory_mb: f64,
    /// Reads and watches at the store.
    pub store_reads: f64,
    /// Writes at the store.
    pub store_writes: f64,
    /// Bytes a second of one instance by message kind on average: sent and received.
    pub kinds: BTreeMap<String, (f64, f64)>,
}

impl Snapshot {
    /// Reads every running instance and the store.
    pub fn take(cluster: &Cluster) -> Result<Self, BenchError> {
        let running = cluster
            .entries
            .iter()
            .filter(|entry| entry.process_id().is_some());
        let entries: Result<_, _> = running.map(cluster::Entry::status).collect();
        Ok(Self {
            at: Instant::now(),
            entries: entries?,
            store: store_calls(cluster)?,
        })
    }

    /// Control bytes of the busiest instance since `earlier`, both ways.
    #[must_use]
    pub fn busiest_bytes_since(&self, earlier: &Self) -> f64 {
        self.pairs(earlier)
            .map(|(before, after)| bytes_between(before, after))
            .fold(0.0, f64::max)
    }

    /// Reads at the store since `earlier`.
    #[must_use]
    pub fn reads_since(&self, earlier: &Self) -> f64 {
        self.calls_since(earlier, false)
    }

    /// The rates since `earlier`.
    #[must_use]
    pub fn rates_since(&self, earlier: &Self) -> Rates {
        let seconds = self
            .at
            .saturating_duration_since(earlier.at)
            .as_secs_f64()
            .max(0.001);
        let by_role = |relay: bool, of: fn(&EntryStatus, &EntryStatus) -> f64| {
            let role = self
                .pairs(earlier)
                .filter(|(_, after)| is_relay(after) == relay);
            mean(role.map(|(before, after)| of(before, after) / seconds))
        };
        let memory = self
            .entries
            .iter()
            .map(|entry| entry.rss_bytes)
            .max()
            .unwrap_or(0);
        Rates {
            control_relay: by_role(true, bytes_between),
            control_other: by_role(false, bytes_between),
            control_max: self.busiest_bytes_since(earlier) / seconds,
            cpu_relay: by_role(true, cpu_between),
            cpu_other: by_role(false, cpu_between),
            memory_mb: memory as f64 / 1e6,
            store_reads: self.calls_since(earlier, false) / seconds,
            store_writes: self.calls_since(earlier, true) / seconds,
            kinds: self.kinds_since(earlier, seconds),
        }
    }

    fn pairs<'a>(
        &'a self,
        earlier: &'a Self,
    ) -> impl Iterator<Item = (&'a EntryStatus, &'a EntryStatus)> {
        self.entries.iter().filter_map(|after| {
            let same = |before: &&EntryStatus| {
                before.instance == after.instance && before.incarnation == after.incarnation
            };
            Some((earlier.entries.iter().find(same)?, after))
        })
    }

    fn calls_since(&self, earlier: &Self, writes: bool) -> f64 {
        let kinds = self
            .store
            .iter()
            .filter(|(kind, _)| WRITES.contains(&kind.as_str()) == writes);
        let calls = kinds
            .map(|(kind, count)| count - earlier.store.get(kind).copied().unwrap_or(0).min(*count));
        calls.sum::<u64>() as f64
    }

    fn kinds_since(&self, earlier: &Self, seconds: f64) -> BTreeMap<String, (f64, f64)> {
        let mut kinds: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        let share = seconds * self.entries.len().max(1) as f64;
        for (before, after) in self.pairs(earlier) {
            for (kind, traffic) in &after.control.sent {
                let bytes = grown(before.control.sent.get(kind), traffic);
                kinds.entry(kind.clone()).or_default().0 += bytes / share;
            }
            for (kind, traffic) in &after.control.received {
                let bytes = grown(before.control.received.get(kind), traffic);
                kinds.entry(kind.clone()).or_default().1 += bytes / share;
            }
        }
        kinds
    }
}

/// The store's calls by what they do.
pub(crate) fn store_calls(cluster: &Cluster) -> Result<BTreeMap<String, u64>, BenchError> {
    let stats = cluster.platform().stats()?;
    Ok(serde_json::from_value(stats["calls"].clone()).unwrap_or_default())
}

fn is_relay(entry: &EntryStatus) -> bool {
    entry
        .rest
        .get("relay")
        .and_then(Value::as_bool)
        .unwrap_or(false)
}

fn bytes_between(before: &EntryStatus, after: &EntryStatus) -> f64 {
    let (sent_before, received_before) = before.control_bytes();
    let (sent, received) = after.control_bytes();
    ((sent + received).saturating_sub(sent_before + received_before)) as f64
}

fn cpu_between(before: &EntryStatus, after: &EntryStatus) -> f64 {
    after.cpu_ms.saturating_sub(before.cpu_ms) as f64
}

fn grown(before: Option<&Traffic>, after: &Traffic) -> f64 {
    let before = before.map_or(0, |traffic| traffic.bytes);
    after.bytes.saturating_sub(before) as f64
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}
