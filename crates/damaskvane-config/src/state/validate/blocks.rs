//! Reports client blocks that are in two sets.
//!
//! A client block is a named group of clients. A block in two sets would be steered by the set that
//! is read first. There may be millions of blocks, so no check compares each block with every
//! other.

use core::hash::{Hash, Hasher};
use std::collections::HashMap;
use std::hash::DefaultHasher;

use crate::declaration::{BlockRange, ClientBlocks};
use crate::object::{ObjectId, ObjectKind, ObjectName};
use crate::problem::Problem;
use crate::state::config_state::ConfigState;

/// Ranges by prefix, each with the name of its set.
type RangesByPrefix<'a> = HashMap<&'a str, Vec<(&'a BlockRange, &'a ObjectName)>>;

pub(super) fn check(state: &ConfigState) -> Vec<Problem> {
    let sets = state.client_blocks();
    let ranges = ranges_by_prefix(sets.iter());
    let mut problems = duplicate_names(&sets.iter().collect::<Vec<_>>());
    problems.extend(overlapping_ranges(&ranges));
    for (name, set) in sets {
        let duplicate = set.names.iter().find_map(|block| {
            let other = find_set(&ranges, block).filter(|other| *other != name)?;
            Some(problem(name, other, block))
        });
        problems.extend(duplicate);
    }
    problems
}

fn ranges_by_prefix<'a>(
    sets: impl Iterator<Item = (&'a ObjectName, &'a ClientBlocks)>,
) -> RangesByPrefix<'a> {
    let mut by_prefix = RangesByPrefix::new();
    for (name, set) in sets {
        for range in &set.ranges {
            let ranges = by_prefix.entry(range.prefix.as_str()).or_default();
            ranges.push((range, name));
        }
    }
    by_prefix
}

/// Reports block names that are in two sets.
///
/// A sorted list of short hashes gives the pairs of sets that may share a name. Only these pairs
/// are compared in full.
fn duplicate_names(sets: &[(&ObjectName, &ClientBlocks)]) -> Vec<Problem> {
    let mut hashes: Vec<(u64, usize)> = sets
        .iter()
        .enumerate()
        .flat_map(|(index, (_, set))| set.names.iter().map(move |block| (hash(block), index)))
        .collect();
    hashes.sort_unstable();
    let mut found: Vec<(usize, usize)> = hashes
        .windows(2)
        .filter(|pair| pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1)
        .map(|pair| (pair[0].1, pair[1].1))
        .collect();
    found.sort_unstable();
    found.dedup();
    let named = |(left, right): (usize, usize)| {
        let ((left_name, left), (right_name, right)) = (sets[left], sets[right]);
        let shared = left.names.iter().find(|block| right.names.contains(block));
        Some(problem(right_name, left_name, shared?))
    };
    found.into_iter().filter_map(named).collect()
}

fn overlapping_ranges(by_prefix: &RangesByPrefix<'_>) -> Vec<Problem> {
    let mut problems = Vec::new();
    for ranges in by_prefix.values() {
        let mut sorted = ranges.clone();
        sorted.sort_by_key(|(range, name)| (range.digits, range.first, *name));
        for pair in sorted.windows(2) {
            let ((left, left_name), (right, right_name)) = (pair[0], pair[1]);
            let overlaps = left.digits == right.digits && right.first <= left.last;
            if overlaps && left_name != right_name {
                let block = right.names().next().unwrap_or_default();
                problems.push(problem(right_name, left_name, &block));
            }
        }
    }
    problems
}

/// Returns the set with a range that contains a block name.
///
/// Each split of the name before one of its trailing digits gives a prefix to look up.
fn find_set<'a>(by_prefix: &RangesByPrefix<'a>, name: &str) -> Option<&'a ObjectName> {
    let digits = name.bytes().rev().take_while(u8::is_ascii_digit).count();
    (1..=digits).find_map(|count| {
        let (prefix, _) = name.split_at(name.len() - count);
        let ranges = by_prefix.get(prefix)?;
        let holds = |(range, _): &&(&BlockRange, &ObjectName)| range.contains(name);
        ranges.iter().find(holds).map(|(_, set)| *set)
    })
}

fn hash(block: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    block.hash(&mut hasher);
    hasher.finish()
}

fn problem(set: &ObjectName, other: &ObjectName, block: &str) -> Problem {
    let object = ObjectId::new(ObjectKind::ClientBlocks, set.clone());
    let message = format!("client block {block} is in {other} too");
    Problem::new(message, "keep the block in one of the two sets")
        .of(&object)
        .key("names")
}
