//! One line of the comparison.

use serde::Serialize;

use crate::slots::way::Way;
use crate::slots::zone::Case;

/// What one case gave.
#[derive(Debug, Serialize)]
pub(super) struct Row {
    way: String,
    instances: usize,
    load_percent: u64,
    skewed: bool,
    cut: bool,
    hop_ms: u64,
    requests: usize,
    wait_p50_ms: u64,
    wait_p99_ms: u64,
    refused_permille: u64,
    stranded_permille: u64,
    messages_per_second: u64,
}

/// What a run counts.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) waits_ms: Vec<u64>,
    pub(super) refused: u64,
    /// Slots that were free while a request waited, summed over milliseconds.
    pub(super) stranded_slot_ms: u64,
    pub(super) messages: u64,
}

impl Row {
    pub(super) const HEADING: &'static str = "way   instances load skewed   cut hop_ms requests  wait_p50 wait_p99 ms refused%o stranded%o messages/s";

    pub(super) fn new(case: Case, way: Way, mut tally: Tally, slots: u64) -> Self {
        tally.waits_ms.sort_unstable();
        let done = tally.waits_ms.len();
        let at = |permille: usize| {
            let index = done * permille / 1_000;
            tally.waits_ms.get(index).copied().unwrap_or_default()
        };
        let arrived = done as u64 + tally.refused;
        Self {
            way: way.to_string(),
            instances: case.instances,
            load_percent: case.load_percent,
            skewed: case.is_skewed,
            cut: case.is_cut,
            hop_ms: case.hop_ms,
            requests: done,
            wait_p50_ms: at(500),
            wait_p99_ms: at(990),
            refused_permille: tally.refused * 1_000 / arrived.max(1),
            stranded_permille: tally.stranded_slot_ms * 1_000 / (slots * case.seconds * 1_000),
            messages_per_second: tally.messages / case.seconds,
        }
    }

    pub(super) fn print(&self, json: bool) {
        if json {
            println!("{}", serde_json::json!(self));
            return;
        }
        println!(
            "{:5} {:9} {:3}% {:6} {:5} {:6} {:8} {:9} {:11} {:9} {:10} {:10}",
            self.way,
            self.instances,
            self.load_percent,
            self.skewed,
            self.cut,
            self.hop_ms,
            self.requests,
            self.wait_p50_ms,
            self.wait_p99_ms,
            self.refused_permille,
            self.stranded_permille,
            self.messages_per_second,
        );
    }
}
