//! Measures the three structures over the same blocks and look-ups.
//!
//! ```
//! use damaskvane_bench::blocks;
//!
//! assert_eq!(blocks::BlockSettings::default().blocks, 3_600_000);
//! ```

use std::collections::HashMap;
use std::fs;
use std::hint;
use std::time;

use damaskvane_steering::blocks;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::histogram;

const CLASSES: u8 = 47;

/// Blocks that a change touches when the rebuild is measured.
const CHANGED: usize = 1_000;

/// One look-up in so many asks for an unknown block.
const UNKNOWN: u32 = 16;

const PAGE_BYTES: u64 = 4_096;

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockSettings {
    /// How many client blocks.
    pub blocks: usize,
    /// How many look-ups.
    pub look_ups: usize,
    /// The seed of blocks and look-ups.
    pub seed: u64,
}

impl Default for BlockSettings {
    fn default() -> Self {
        Self {
            blocks: 3_600_000,
            look_ups: 2_000_000,
            seed: 1,
        }
    }
}

/// What one structure showed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// The structure.
    pub structure: &'static str,
    /// Resident memory that building it added, once what the build needed is freed.
    pub resident_mb: f64,
    /// The mean time of a look-up, taken over all, without a clock between.
    pub mean_ns: f64,
    /// The 99th percentile of single look-ups, the clock's own time included.
    pub p99_ns: u64,
    /// Building it whole.
    pub build_ms: f64,
    /// A new one with a thousand blocks changed, the old one kept in use.
    pub change_ms: f64,
}

type Entry = (u32, u8);

/// Measures all three.
#[must_use]
pub fn measure(settings: &BlockSettings) -> Vec<Figures> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(settings.seed);
    let entries = random_entries(settings.blocks, &mut rng);
    let keys = look_up_keys(&entries, settings.look_ups, &mut rng);
    let changes: Vec<Entry> = entries
        .iter()
        .step_by((entries.len() / CHANGED).max(1))
        .copied()
        .collect();
    let compact = Trial {
        structure: "compact",
        build: |entries: &[Entry]| {
            let blocks = entries
                .iter()
                .map(|(key, class)| (blocks::BlockKey::address(*key), blocks::Class::new(*class)));
            blocks::BlockTable::build(blocks).unwrap_or_default()
        },
        find: |table: &blocks::BlockTable, key| {
            table
                .class(blocks::BlockKey::address(key))
                .map(blocks::Class::get)
        },
        change: |table: &blocks::BlockTable, changes: &[Entry]| {
            let changes = changes.iter().map(|(key, class)| {
                (
                    blocks::BlockKey::address(*key),
                    Some(blocks::Class::new(class ^ 1)),
                )
            });
            table.with_changes(changes)
        },
    };
    let sorted = Trial {
        structure: "binary search",
        build: |entries: &[Entry]| entries.to_vec(),
        find: |table: &Vec<Entry>, key| {
            let position = table.binary_search_by_key(&key, |(held, _)| *held).ok()?;
            Some(table[position].1)
        },
        change: |table: &Vec<Entry>, changes: &[Entry]| {
            let mut next = table.clone();
            for (key, class) in changes {
                if let Ok(position) = next.binary_search_by_key(key, |(held, _)| *held) {
                    next[position].1 = class ^ 1;
                }
            }
            next
        },
    };
    let map = Trial {
        structure: "hash map",
        build: |entries: &[Entry]| entries.iter().copied().collect(),
        find: |table: &HashMap<u32, u8>, key| table.get(&key).copied(),
        change: |table: &HashMap<u32, u8>, changes: &[Entry]| {
            let mut next = table.clone();
            next.extend(changes.iter().map(|(key, class)| (*key, class ^ 1)));
            next
        },
    };
    vec![
        compact.run(&entries, &keys, &changes),
        sorted.run(&entries, &keys, &changes),
        map.run(&entries, &keys, &changes),
    ]
}

/// Blocks with sorted, distinct keys; half of them packed densely, as address space is.
fn random_entries(count: usize, rng: &mut impl RngExt) -> Vec<Entry> {
    let mut keys = Vec::with_capacity(count + count / 4);
    while keys.len() < count {
        let missing = count - keys.len();
        for _ in 0..missing {
            let spread: u32 = rng.random();
            keys.push(if rng.random() { spread >> 6 } else { spread });
        }
        keys.sort_unstable();
        keys.dedup();
    }
    keys.into_iter()
        .map(|key| (key, rng.random_range(0..CLASSES)))
        .collect()
}

fn look_up_keys(entries: &[Entry], count: usize, rng: &mut impl RngExt) -> Vec<u32> {
    let mut key = || {
        if rng.random_range(0..UNKNOWN) == 0 {
            rng.random()
        } else {
            entries[rng.random_range(0..entries.len())].0
        }
    };
    (0..count).map(|_| key()).collect()
}

struct Trial<T> {
    structure: &'static str,
    build: fn(&[Entry]) -> T,
    find: fn(&T, u32) -> Option<u8>,
    change: fn(&T, &[Entry]) -> T,
}

impl<T> Trial<T> {
    fn run(&self, entries: &[Entry], keys: &[u32], changes: &[Entry]) -> Figures {
        let resident_before = resident_bytes();
        let start = time::Instant::now();
        let table = (self.build)(entries);
        let build_ms = millis(start);
        let resident = resident_bytes().saturating_sub(resident_before);
        let start = time::Instant::now();
        for key in keys {
            hint::black_box((self.find)(&table, hint::black_box(*key)));
        }
        let mean_ns = start.elapsed().as_nanos() as f64 / keys.len().max(1) as f64;
        let p99_ns = self.p99_ns(&table, keys);
        let start = time::Instant::now();
        let next = (self.change)(&table, changes);
        let change_ms = millis(start);
        hint::black_box((&table, &next));
        Figures {
            structure: self.structure,
            resident_mb: resident as f64 / 1e6,
            mean_ns,
            p99_ns,
            build_ms,
            change_ms,
        }
    }

    /// Single look-ups; the histogram's microseconds hold nanoseconds here.
    fn p99_ns(&self, table: &T, keys: &[u32]) -> u64 {
        let single = keys.iter().map(|key| {
            let start = time::Instant::now();
            hint::black_box((self.find)(table, hint::black_box(*key)));
            u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX)
        });
        (histogram::Summary::of(single).p99_ms * 1_000.0) as u64
    }
}

fn millis(start: time::Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}

/// Resident memory of this process; nothing where the system does not say.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
