//! Submissions to a store that loses responses and whose head other operators update.

mod support;

use damaskvane_config::state;
use damaskvane_config::submit::{Call, Outcome, StoreResponse, Submission};
use damaskvane_config::ticket::Ticket;
use damaskvane_core::ids::TicketNumber;
use support::{Store, ZONES, draft, run};

const QUEUE: &str = "[service.rider-desk]\nqueue_limit = 7\n";
const TTL: &str = "[service.rider-desk]\nlookup_ttl_ms = 900\n";
const OTHER: &str = "[service.logbook]\n";

fn lost_response() -> Option<StoreResponse> {
    Some(StoreResponse::Unknown("lost".into()))
}

fn accepted(number: u64) -> Outcome {
    Outcome::Accepted {
        number: TicketNumber::new(number),
    }
}

/// The head's update takes effect, but its response is lost. If the submission wrote the head
/// again, the history would list the change twice.
#[test]
fn a_write_with_a_lost_response_is_detected_as_accepted_and_not_repeated() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut submission = Submission::new(draft(&store.head(), QUEUE, "mine"));
    let mut head_writes = 0;
    let outcome = run(&mut store, &mut submission, |store, call| {
        if !matches!(call, Call::WriteHead { .. }) {
            return None;
        }
        head_writes += 1;
        store.make_call(call);
        lost_response()
    });
    assert_eq!(outcome, accepted(2));
    assert_eq!(head_writes, 1);
    assert_eq!(store.head().ticket.get(), 2);
}

/// The response is lost, and before the retry other operators' tickets are accepted on top. A retry
/// that compared only the head would submit again and revert a later ticket.
#[test]
fn a_write_with_a_lost_response_is_detected_below_later_tickets() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut submission = Submission::new(draft(&store.head(), QUEUE, "mine"));
    let mut is_first = true;
    let outcome = run(&mut store, &mut submission, |store, call| {
        if !matches!(call, Call::WriteHead { .. }) || !is_first {
            return None;
        }
        is_first = false;
        store.make_call(call);
        store.accept(TTL);
        store.accept(OTHER);
        lost_response()
    });
    assert_eq!(outcome, accepted(2));
    assert_eq!(store.head().ticket.get(), 4);
    let service = "service/rider-desk".parse().expect("valid object id");
    assert_eq!(
        store.head().base_of(&service).get(),
        3,
        "the later ticket is not reverted"
    );
}

/// The head's update is lost before it takes effect. It must be repeated until it takes effect
/// once.
#[test]
fn a_write_lost_before_it_took_effect_is_repeated() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut submission = Submission::new(draft(&store.head(), QUEUE, "mine"));
    let mut losses = 3;
    let outcome = run(&mut store, &mut submission, |_, call| {
        let is_lost = matches!(call, Call::WriteHead { .. }) && losses > 0;
        losses -= i32::from(is_lost);
        is_lost.then(lost_response).flatten()
    });
    assert_eq!(outcome, accepted(2));
}

/// The store stays unreachable after a response was lost. The write may have taken effect, so the
/// outcome must be unknown: "not accepted" could be false.
#[test]
fn an_outage_ends_as_unknown_after_a_lost_response_and_else_as_not_accepted() {
    for (lose_first, expect_unknown) in [(true, true), (false, false)] {
        let mut store = Store::default();
        let mut submission = Submission::new(draft(&store.head(), ZONES, "mine"));
        let mut is_down = false;
        let outcome = run(&mut store, &mut submission, |_, call| {
            if is_down {
                return Some(StoreResponse::Failed("outage".into()));
            }
            is_down = matches!(call, Call::WriteHead { .. });
            is_down.then(|| {
                if lose_first {
                    StoreResponse::Unknown("lost".into())
                } else {
                    StoreResponse::Failed("outage".into())
                }
            })
        });
        assert_eq!(
            matches!(outcome, Outcome::Unknown(_)),
            expect_unknown,
            "{outcome:?}"
        );
        assert_eq!(matches!(outcome, Outcome::NotAccepted(_)), !expect_unknown);
    }
}

/// Two operators change the same service from the same version. If the second change were merged or
/// simply written, the first one would be lost without notice.
#[test]
fn a_ticket_that_loses_a_race_on_an_object_reports_the_object_and_the_winner() {
    let mut store = Store::default();
    let base = store.accept(ZONES);
    let mut submission = Submission::new(draft(&base, QUEUE, "mine"));
    let mut is_first = true;
    let outcome = run(&mut store, &mut submission, |store, call| {
        if is_first && matches!(call, Call::WriteHead { .. }) {
            is_first = false;
            store.accept(TTL);
        }
        None
    });
    let Outcome::Overlapping(overlaps) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(overlaps.len(), 1);
    assert_eq!(overlaps[0].object.to_string(), "service/rider-desk");
    assert_eq!(
        (overlaps[0].base.get(), overlaps[0].changed_by.get()),
        (1, 2)
    );
    assert_eq!(store.head().ticket.get(), 2);
}

/// Two operators change different services from the same version. The changes don't conflict, so
/// both must be accepted, one after the other, without a gap in the ticket numbers.
#[test]
fn racing_tickets_on_disjoint_objects_are_both_accepted_in_order() {
    let mut store = Store::default();
    let base = store.accept(ZONES);
    let mut submission = Submission::new(draft(&base, QUEUE, "mine"));
    let mut is_first = true;
    let outcome = run(&mut store, &mut submission, |store, call| {
        if is_first && matches!(call, Call::WriteHead { .. }) {
            is_first = false;
            store.accept(OTHER);
        }
        None
    });
    assert_eq!(outcome, accepted(3));
    let head = store.head();
    let ticket_of = |id: &str| head.base_of(&id.parse().expect("valid object id")).get();
    assert_eq!(ticket_of("service/logbook"), 2);
    assert_eq!(ticket_of("service/rider-desk"), 3);
}

/// One operator deletes a region while another adds a zone to it. Each ticket is valid by itself,
/// but together the zone's region is missing, and no instance could apply that state.
#[test]
fn a_ticket_that_is_invalid_after_another_accepted_ticket_is_rejected() {
    let mut store = Store::default();
    let base = store.accept("[region.sask]\n[region.mb]\n");
    let zone = "[availability_zone.mb-a]\nregion = \"mb\"\n";
    let mut submission = Submission::new(draft(&base, zone, "mine"));
    let mut is_first = true;
    let outcome = run(&mut store, &mut submission, |store, call| {
        if is_first && matches!(call, Call::WriteHead { .. }) {
            is_first = false;
            store.accept("delete = [\"region/mb\"]\n");
        }
        None
    });
    let Outcome::Invalid(problems) = outcome else {
        panic!("{outcome:?}");
    };
    assert!(
        problems[0]
            .to_string()
            .contains("there is no region \"mb\"")
    );
}

/// A read returns a head older than the draft's base. Every object would seem changed, and the
/// ticket would be rejected although nothing conflicts with it.
#[test]
fn a_stale_head_is_read_again_and_rejects_no_ticket() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut old = store.clone();
    store.accept(TTL);
    let mut submission = Submission::new(draft(&store.head(), QUEUE, "mine"));
    let mut stale_reads = 2;
    let outcome = run(&mut store, &mut submission, |_, call| {
        let is_stale = *call == Call::ReadHead && stale_reads > 0;
        stale_reads -= i32::from(is_stale);
        is_stale.then(|| old.make_call(call))
    });
    assert_eq!(outcome, accepted(3));
}

/// All reads return a head from before another ticket, so each update of the head is a conflict. A
/// submission that took each such read for a new head would call the store without pause or end.
#[test]
fn a_head_that_stays_stale_after_a_conflict_ends_as_not_accepted() {
    let mut store = Store::default();
    let base = store.accept(ZONES);
    let mut old = store.clone();
    store.accept(OTHER);
    let mut submission = Submission::new(draft(&base, QUEUE, "mine"));
    let mut head_writes = 0;
    let outcome = run(&mut store, &mut submission, |_, call| {
        head_writes += u32::from(matches!(call, Call::WriteHead { .. }));
        (*call == Call::ReadHead).then(|| old.make_call(call))
    });
    assert!(matches!(outcome, Outcome::NotAccepted(_)), "{outcome:?}");
    assert_eq!(head_writes, 1);
}

/// A corrupted object is stored under the hash of a new chunk. No instance could apply a head that
/// names the chunk, and the fleet would keep the old version forever.
#[test]
fn a_broken_chunk_under_a_new_hash_is_repaired_before_a_head_names_it() {
    for repairable in [true, false] {
        let mut store = Store::default();
        let before = store.accept(ZONES);
        let mut submission = Submission::new(draft(&before, QUEUE, "mine"));
        let mut is_first = true;
        let outcome = run(&mut store, &mut submission, |store, call| {
            let (Call::WriteChunk(chunk) | Call::RepairChunk { chunk, .. }) = call else {
                return None;
            };
            if repairable && !core::mem::take(&mut is_first) {
                return None;
            }
            store.make_call(call);
            store.corrupt("chunk", &chunk.hash().to_string());
            lost_response()
        });
        if repairable {
            assert_eq!(outcome, accepted(2));
            assert_eq!(support::chunks_of(&store).len(), store.head().objects.len());
            assert!(state::assemble(&store.head(), &support::chunks_of(&store)).is_ok());
        } else {
            assert!(matches!(outcome, Outcome::NotAccepted(_)), "{outcome:?}");
            assert_eq!(store.head(), before);
        }
    }
}

/// The store lost or changed a chunk of the active configuration. No ticket can be validated on top
/// of that state, so an operator must be able to restore the object from version control.
#[test]
fn a_corrupted_chunk_is_reported_and_restored_by_submitting_its_object() {
    let mut store = Store::default();
    let head = store.accept(ZONES);
    let service = "service/rider-desk".parse().expect("valid object id");
    let hash = head.objects[&service].hash.to_string();
    store.corrupt("chunk", &hash);
    let mut other = Submission::new(draft(&head, OTHER, "other"));
    let outcome = run(&mut store, &mut other, |_, _| None);
    assert!(
        matches!(&outcome, Outcome::NotAccepted(reason) if reason.contains(&hash)),
        "{outcome:?}"
    );
    let mut again = Submission::new(draft(&head, "[service.rider-desk]\n", "again"));
    assert_eq!(run(&mut store, &mut again, |_, _| None), accepted(2));
    assert!(state::assemble(&store.head(), &support::chunks_of(&store)).is_ok());
}

/// Every accepted ticket must stay readable exactly as accepted, although the head names only the
/// newest one.
#[test]
fn every_ticket_but_the_newest_is_filed_with_the_bytes_its_successor_names() {
    let mut store = Store::default();
    for text in [ZONES, QUEUE, TTL, OTHER] {
        store.accept(text);
    }
    let mut named = store.head().ticket_hash;
    for number in (1..=4).rev() {
        let hash = named.expect("ticket hash");
        let bytes = store.chunk(&hash.to_string()).expect("stored chunk");
        let ticket = Ticket::decode(&bytes).expect("valid ticket");
        assert_eq!(ticket.number.get(), number);
        let filed = store.ticket(number);
        assert_eq!(filed, (number < 4).then_some(bytes), "ticket {number}");
        named = ticket.previous;
    }
    assert_eq!(named, None);
}
