//! Handling of heads that are old, incomplete, corrupted or not valid.

mod support;

use damaskvane_config::apply::{Applier, ApplyOutcome, IgnoreReason};
use damaskvane_config::manifest::{self, Head};
use damaskvane_config::state;
use damaskvane_core::hash;
use proptest::prelude::{any, prop, proptest};
use support::{Store, ZONES};

const QUEUE: &str = "[service.rider-desk]\nqueue_limit = 7\n";

fn apply_newest(applier: &mut Applier, store: &Store) -> ApplyOutcome {
    applier.offer_head(&store.head().encode());
    applier.offer_chunks(store.chunks().iter().map(AsRef::as_ref))
}

fn applied(version: u64) -> ApplyOutcome {
    ApplyOutcome::Applied(damaskvane_core::ids::ConfigVersion::new(version))
}

/// A peer that was paused or partitioned sends its outdated head. If this instance applied the
/// head, it would revert a change that is active on all other instances.
#[test]
fn an_old_head_is_ignored() {
    let mut store = Store::default();
    let old = store.accept(ZONES).encode();
    let mut applier = Applier::default();
    assert_eq!(apply_newest(&mut applier, &store), applied(1));
    store.accept(QUEUE);
    assert_eq!(apply_newest(&mut applier, &store), applied(2));
    let outcome = applier.offer_head(&old);
    assert_eq!(outcome, ApplyOutcome::Ignored(IgnoreReason::NotNewer));
    assert_eq!(applier.version().get(), 2);
    assert_eq!(applier.counts().unsafe_switches, 0);
}

/// Chunks arrive one by one. Until the last one is here, the old state must stay active unchanged:
/// a mix of both states would route clients to servers that belong to neither.
#[test]
fn the_old_state_stays_active_until_the_new_one_is_complete() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut applier = Applier::default();
    apply_newest(&mut applier, &store);
    let before = applier
        .active_config()
        .expect("active configuration")
        .state_hash();
    let more = "[service.a]\n[service.b]\n[service.c]\n";
    store.accept(&format!("{QUEUE}{more}"));
    let ApplyOutcome::MissingChunks(missing) = applier.offer_head(&store.head().encode()) else {
        panic!("chunks are missing");
    };
    assert_eq!(
        missing.len(),
        4,
        "only chunks of changed objects are missing"
    );
    for (index, hash) in missing.iter().enumerate() {
        assert_eq!(
            applier
                .active_config()
                .expect("active configuration")
                .state_hash(),
            before
        );
        let chunk = store.chunk(&hash.to_string()).expect("stored chunk");
        let outcome = applier.offer_chunks([chunk.as_ref()]);
        assert_eq!(outcome == applied(2), index == 3);
    }
}

/// A chunk is corrupted in transit, so its hash differs. It must be counted, dropped and fetched
/// again; if it were accepted, it would be active on this instance only.
#[test]
fn a_corrupted_chunk_is_dropped_and_stays_missing() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut applier = Applier::default();
    applier.offer_head(&store.head().encode());
    let mut chunks: Vec<Vec<u8>> = store.chunks().iter().map(|chunk| chunk.to_vec()).collect();
    chunks[0][3] ^= 1;
    let outcome = applier.offer_chunks(chunks.iter().map(AsRef::as_ref));
    assert!(
        matches!(&outcome, ApplyOutcome::MissingChunks(hashes) if hashes.len() == 1),
        "{outcome:?}"
    );
    assert_eq!(applier.counts().stray_chunks, 1);
    assert_eq!(apply_newest(&mut applier, &store), applied(1));
}

/// A head can't be completed, because the instance that sent it has stopped. It must not block a
/// complete head of a lower version.
#[test]
fn a_head_that_can_not_be_completed_blocks_no_other() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut lost_store = store.clone();
    for _ in 0..9 {
        lost_store.accept(&format!("[service.s{}]\n", lost_store.head().ticket));
    }
    let mut applier = Applier::default();
    assert!(matches!(
        applier.offer_head(&lost_store.head().encode()),
        ApplyOutcome::MissingChunks(_)
    ));
    assert_eq!(apply_newest(&mut applier, &store), applied(1));
}

/// A head of a higher version names inconsistent objects. If it were active, clients could not
/// reach some services.
#[test]
fn an_invalid_head_is_rejected_once_and_then_ignored() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut applier = Applier::default();
    apply_newest(&mut applier, &store);
    let mut head = store.head();
    head.version = head.version.next();
    head.ticket = head.ticket.next();
    let region = "region/mb".parse().expect("valid object id");
    head.objects.remove(&region);
    assert!(matches!(
        applier.offer_head(&head.encode()),
        ApplyOutcome::Rejected(_)
    ));
    let again = applier.offer_head(&head.encode());
    assert_eq!(again, ApplyOutcome::Ignored(IgnoreReason::RejectedBefore));
    assert_eq!(applier.version().get(), 1);
}

/// During an upgrade a newer program declares an object of an unknown kind. If older instances
/// rejected the head, the change would not be active everywhere until the upgrade is complete.
#[test]
fn a_head_with_an_unknown_kind_is_applied_and_forwarded_unchanged() {
    let mut store = Store::default();
    let chunk = b"{\"kind\":\"quota\",\"name\":\"x\"}".as_slice();
    let mut head = store.accept(ZONES);
    let entry = manifest::ObjectEntry {
        hash: hash::ContentHash::of(chunk),
        ticket: head.ticket,
    };
    head.unknown_objects.insert("quota/x".into(), entry);
    let mut applier = Applier::default();
    applier.offer_head(&head.encode());
    let outcome = applier.offer_chunks(store.chunks().iter().map(AsRef::as_ref));
    assert_eq!(outcome, ApplyOutcome::MissingChunks(vec![entry.hash]));
    assert_eq!(applier.offer_chunks([chunk]), applied(1));
    let active_config = applier.active_config().expect("active configuration");
    assert_eq!(active_config.chunk(&entry.hash).as_deref(), Some(chunk));
    assert_eq!(Head::decode(&active_config.head_bytes()), Ok(head));
}

/// Objects that a ticket does not change are reused from the active state. If a changed object were
/// reused, this instance would serve another state than all others.
#[test]
fn a_state_after_many_changes_equals_one_assembled_from_scratch() {
    let mut store = Store::default();
    let mut applier = Applier::default();
    let texts = [
        ZONES,
        QUEUE,
        "[client_blocks.a]\nnear = \"mb-a\"\nnames = [\"y\", \"x\"]\n",
        "[service.rider-desk]\nqueue_limit = 9\n[region.ab]\n",
        "delete = [\"region/ab\"]\n[client_blocks.a]\nnear = \"mb-a\"\nnames = [\"z\"]\n",
        "[client_blocks.b]\nnear = \"mb-a\"\nnames = [\"x\"]\n",
    ];
    for text in texts {
        store.accept(text);
        apply_newest(&mut applier, &store);
        let from_scratch = state::assemble(&store.head(), &support::chunks_of(&store));
        let active_config = applier
            .active_config()
            .expect("active configuration")
            .state();
        assert_eq!(from_scratch.as_ref(), Ok(active_config.as_ref()));
    }
    let mut head = store.head();
    let chunk = b"{\"name\":\"c\",\"kind\":\"client_blocks\",\"near\":\"mb-a\",\"names\":[\"x\"]}";
    let (hash, ticket) = (hash::ContentHash::of(chunk), head.ticket.next());
    let entry = manifest::ObjectEntry { hash, ticket };
    let id = "client_blocks/c".parse().expect("valid object id");
    head.objects.insert(id, entry);
    (head.version, head.ticket) = (head.version.next(), ticket);
    applier.offer_head(&head.encode());
    let outcome = applier.offer_chunks([chunk.as_slice()]);
    assert!(
        matches!(outcome, ApplyOutcome::Rejected(_)),
        "x is in two sets: {outcome:?}"
    );
}

/// Two instances hold different states of one version. Responses to clients would depend on the
/// instance, so the mismatch must be detected and counted.
#[test]
fn another_state_under_the_same_version_is_counted() {
    let mut store = Store::default();
    let head = store.accept(ZONES);
    let mut applier = Applier::default();
    apply_newest(&mut applier, &store);
    assert!(applier.check_peer_state(head.version, &head.state_hash()));
    assert!(!applier.check_peer_state(head.version, &Head::default().state_hash()));
    assert_eq!(applier.counts().state_mismatches, 1);
}

proptest! {
    /// Messages of peers are untrusted input: no bytes may cause a panic or become active.
    #[test]
    fn arbitrary_bytes_are_never_applied(bytes: Vec<u8>, chunk: Vec<u8>) {
        let mut applier = Applier::default();
        applier.offer_head(&bytes);
        applier.offer_chunks([chunk.as_slice()]);
        assert!(applier.active_config().is_none());
    }

    /// A head with one flipped bit is rejected, ignored, or names chunks that no instance has.
    #[test]
    fn a_head_with_a_flipped_bit_is_harmless(index in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let mut store = Store::default();
        let mut bytes = store.accept(ZONES).encode();
        let index = index.index(bytes.len());
        bytes[index] ^= 1 << bit;
        let mut applier = Applier::default();
        applier.offer_head(&bytes);
        applier.offer_chunks(store.chunks().iter().map(AsRef::as_ref));
        if let Some(active_config) = applier.active_config() {
            assert_eq!(active_config.state_hash(), active_config.head().state_hash());
        }
    }
}
