//! Tests that the compact table of client blocks and their steering classes agrees with an ordered map.
//!
//! A client block is a group of clients that is named by an address prefix or by a text.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use damaskvane_core::ids;
use damaskvane_steering::blocks;
use rand::{RngExt, SeedableRng};

fn random_blocks(seed: u64, count: usize) -> BTreeMap<blocks::BlockKey, blocks::Class> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut entry = || {
        // Half of the prefixes are dense, as in allocated address space; the other half are spread out.
        let spread: u32 = rng.random();
        let prefix = if rng.random() {
            spread % 200_000
        } else {
            spread
        };
        (
            blocks::BlockKey::address(prefix),
            blocks::Class::new(rng.random_range(0..47)),
        )
    };
    (0..count).map(|_| entry()).collect()
}

#[test]
fn lookups_agree_with_a_map() {
    for seed in 0..5 {
        let map = random_blocks(seed, 100_000);
        let table = blocks::BlockTable::build(map.clone()).unwrap();
        assert_eq!(table.len(), map.len());
        for (key, class) in &map {
            assert_eq!(table.class(*key), Some(*class), "{key}");
        }
        for (key, _) in random_blocks(seed + 100, 100_000) {
            assert_eq!(table.class(key), map.get(&key).copied(), "{key}");
        }
    }
}

#[test]
fn changes_agree_with_a_map_and_share_unchanged_chunks() {
    let mut map = random_blocks(1, 100_000);
    let table = blocks::BlockTable::build(map.clone()).unwrap();
    let keys: Vec<_> = map.keys().copied().step_by(500).collect();
    let mut changes: Vec<_> = keys.iter().map(|key| (*key, None)).collect();
    changes.extend(
        random_blocks(2, 100)
            .into_iter()
            .map(|(key, class)| (key, Some(class))),
    );
    let next = table.with_changes(changes.clone());
    for (key, class) in changes {
        match class {
            Some(class) => map.insert(key, class),
            None => map.remove(&key),
        };
    }
    assert_eq!(next.len(), map.len());
    assert!(
        map.iter()
            .all(|(key, class)| next.class(*key) == Some(*class))
    );
    assert!(
        keys.iter()
            .all(|key| next.class(*key) == map.get(key).copied())
    );
    let rebuilt = next.chunks_not_shared(&table);
    assert!(rebuilt > 0 && rebuilt <= 300, "{rebuilt} chunks");
    assert!(table.chunks_not_shared(&table.clone()) == 0);
}

#[test]
fn chunks_of_every_small_length_keep_their_classes() {
    for count in 0..40 {
        let entries = (0..count).map(|index| {
            (
                blocks::BlockKey::address(index),
                blocks::Class::new(index as u8 + 200),
            )
        });
        let table = blocks::BlockTable::build(entries).unwrap();
        assert_eq!(table.len(), count as usize);
        for index in 0..count {
            let class = table.class(blocks::BlockKey::address(index));
            assert_eq!(
                class,
                Some(blocks::Class::new(index as u8 + 200)),
                "{index} of {count}"
            );
        }
        assert_eq!(table.class(blocks::BlockKey::address(count)), None);
    }
}

#[test]
fn a_duplicate_key_is_rejected() {
    let key = blocks::BlockKey::address(9);
    let error =
        blocks::BlockTable::build([(key, blocks::Class::new(1)), (key, blocks::Class::new(2))]);
    assert_eq!(error.unwrap_err(), blocks::DuplicateKeyError { key });
}

#[test]
fn blocks_with_names_are_found() {
    let names =
        (0..10_000).map(|index| format!("sask-{index}").parse::<ids::ClientBlock>().unwrap());
    let names: Vec<_> = names.collect();
    let entries = names
        .iter()
        .map(|name| (blocks::BlockKey::name(name), blocks::Class::new(5)));
    let table = blocks::BlockTable::build(entries).unwrap();
    assert!(
        names
            .iter()
            .all(|name| table.class(blocks::BlockKey::name(name)).is_some())
    );
    assert_eq!(
        table.class(blocks::BlockKey::name(&"mb-1".parse().unwrap())),
        None
    );
}
