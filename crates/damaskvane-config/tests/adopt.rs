//! Adoption of heads that are old, incomplete, corrupted or not valid.

mod support;

use damaskvane_config::apply::{Applier, ApplyOutcome, IgnoreReason};
use damaskvane_config::manifest::{self, Head};
use damaskvane_config::state;
use damaskvane_core::hash;
use proptest::prelude::{any, prop, proptest};
use support::{Store, ZONES};

const QUEUE: &str = "[service.rider-desk]\nqueue_limit = 7\n";

fn adopt(applier: &mut Applier, store: &Store) -> ApplyOutcome {
    applier.offer_head(&store.head().encode());
    applier.offer_chunks(store.chunks().iter().map(AsRef::as_ref))
}

fn adopted(version: u64) -> ApplyOutcome {
    ApplyOutcome::Applied(damaskvane_core::ids::ConfigVersion::new(version))
}

/// A peer that was paused or cut off comes back and offers the head it had. If it were taken,
/// callers of this instance would see a change undone that holds everywhere else.
#[test]
fn an_old_head_is_never_taken_back() {
    let mut store = Store::default();
    let old = store.accept(ZONES).encode();
    let mut applier = Applier::default();
    assert_eq!(adopt(&mut applier, &store), adopted(1));
    store.accept(QUEUE);
    assert_eq!(adopt(&mut applier, &store), adopted(2));
    let verdict = applier.offer_head(&old);
    assert_eq!(verdict, ApplyOutcome::Ignored(IgnoreReason::NotNewer));
    assert_eq!(applier.version().get(), 2);
    assert_eq!(applier.counts().unsafe_switches, 0);
}

/// Chunks arrive one by one. Until the last one is there the old state must serve whole; a state
/// put together from both would send callers to servers that belong to neither.
#[test]
fn the_old_state_serves_until_the_new_one_is_whole() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut applier = Applier::default();
    adopt(&mut applier, &store);
    let before = applier.active_config().expect("in force").state_hash();
    let more = "[service.a]\n[service.b]\n[service.c]\n";
    store.accept(&format!("{QUEUE}{more}"));
    let ApplyOutcome::MissingChunks(missing) = applier.offer_head(&store.head().encode()) else {
        panic!("chunks are missing");
    };
    assert_eq!(missing.len(), 4, "only what changed is fetched");
    for (index, hash) in missing.iter().enumerate() {
        assert_eq!(
            applier.active_config().expect("in force").state_hash(),
            before
        );
        let chunk = store.chunk(&hash.to_string()).expect("stored");
        let verdict = applier.offer_chunks([chunk.as_ref()]);
        assert_eq!(verdict == adopted(2), index == 3);
    }
}

/// A chunk is changed on its way. It hashes to another name, so it must be counted, dropped and
/// fetched again; taken, it would be in force on this instance alone.
#[test]
fn a_corrupted_chunk_is_dropped_and_still_wanted() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut applier = Applier::default();
    applier.offer_head(&store.head().encode());
    let mut chunks: Vec<Vec<u8>> = store.chunks().iter().map(|chunk| chunk.to_vec()).collect();
    chunks[0][3] ^= 1;
    let verdict = applier.offer_chunks(chunks.iter().map(AsRef::as_ref));
    assert!(
        matches!(&verdict, ApplyOutcome::MissingChunks(hashes) if hashes.len() == 1),
        "{verdict:?}"
    );
    assert_eq!(applier.counts().stray_chunks, 1);
    assert_eq!(adopt(&mut applier, &store), adopted(1));
}

/// A head with a high version can't be completed, because whoever offered it is gone. It must not
/// keep a lower one, that can be, from coming into force.
#[test]
fn a_head_that_can_not_be_completed_holds_up_no_other() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut lost = store.clone();
    for _ in 0..9 {
        lost.accept(&format!("[service.s{}]\n", lost.head().ticket));
    }
    let mut applier = Applier::default();
    assert!(matches!(
        applier.offer_head(&lost.head().encode()),
        ApplyOutcome::MissingChunks(_)
    ));
    assert_eq!(adopt(&mut applier, &store), adopted(1));
}

/// A head names objects that don't fit each other. Its version is higher, but in force it would
/// leave services that nobody can reach.
#[test]
fn a_head_that_is_not_valid_is_refused_once_and_for_all() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut applier = Applier::default();
    adopt(&mut applier, &store);
    let mut head = store.head();
    head.version = head.version.next();
    head.ticket = head.ticket.next();
    let region = "region/mb".parse().expect("an id");
    head.objects.remove(&region);
    assert!(matches!(
        applier.offer_head(&head.encode()),
        ApplyOutcome::Rejected(_)
    ));
    let again = applier.offer_head(&head.encode());
    assert_eq!(again, ApplyOutcome::Ignored(IgnoreReason::RejectedBefore));
    assert_eq!(applier.version().get(), 1);
}

/// During an upgrade a newer program declares an object of a kind that this one doesn't know. If this
/// one refused the head, the change would not be in force everywhere until the upgrade is through.
#[test]
fn a_head_with_a_kind_of_a_newer_program_is_adopted_and_passed_on_unchanged() {
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
    let verdict = applier.offer_chunks(store.chunks().iter().map(AsRef::as_ref));
    assert_eq!(verdict, ApplyOutcome::MissingChunks(vec![entry.hash]));
    assert_eq!(applier.offer_chunks([chunk]), adopted(1));
    let active_config = applier.active_config().expect("in force");
    assert_eq!(active_config.chunk(&entry.hash).as_deref(), Some(chunk));
    assert_eq!(Head::decode(&active_config.head_bytes()), Ok(head));
}

/// Objects that a ticket does not change are taken over from the state in force. If one were taken over
/// that did change, this instance would serve something else than all others.
#[test]
fn a_state_after_many_changes_is_the_one_read_afresh() {
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
        adopt(&mut applier, &store);
        let afresh = state::assemble(&store.head(), &support::chunks_of(&store));
        let active_config = applier.active_config().expect("in force").state();
        assert_eq!(afresh.as_ref(), Ok(active_config.as_ref()));
    }
    let mut head = store.head();
    let chunk = b"{\"name\":\"c\",\"kind\":\"client_blocks\",\"near\":\"mb-a\",\"names\":[\"x\"]}";
    let (hash, ticket) = (hash::ContentHash::of(chunk), head.ticket.next());
    let entry = manifest::ObjectEntry { hash, ticket };
    let id = "client_blocks/c".parse().expect("an id");
    head.objects.insert(id, entry);
    (head.version, head.ticket) = (head.version.next(), ticket);
    applier.offer_head(&head.encode());
    let verdict = applier.offer_chunks([chunk.as_slice()]);
    assert!(
        matches!(verdict, ApplyOutcome::Rejected(_)),
        "x is in two sets: {verdict:?}"
    );
}

/// Two instances at one version hold different states. Callers would get answers that depend on
/// whom they ask, so it must be seen and counted.
#[test]
fn another_state_under_the_same_version_is_counted() {
    let mut store = Store::default();
    let head = store.accept(ZONES);
    let mut applier = Applier::default();
    adopt(&mut applier, &store);
    assert!(applier.check_peer_state(head.version, &head.state_hash()));
    assert!(!applier.check_peer_state(head.version, &Head::default().state_hash()));
    assert_eq!(applier.counts().state_mismatches, 1);
}

proptest! {
    /// What peers send is outside input: no bytes may end the process or come into force.
    #[test]
    fn arbitrary_bytes_are_never_adopted(bytes: Vec<u8>, chunk: Vec<u8>) {
        let mut applier = Applier::default();
        applier.offer_head(&bytes);
        applier.offer_chunks([chunk.as_slice()]);
        assert!(applier.active_config().is_none());
    }

    /// A head that is changed in one place is refused, ignored or wants chunks that nobody has.
    #[test]
    fn a_head_changed_in_one_byte_is_harmless(index in any::<prop::sample::Index>(), bit in 0..8_u8) {
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
