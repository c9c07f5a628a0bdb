//! Submissions against a store whose answers get lost and whose head others move.

mod support;

use damaskvane_config::state;
use damaskvane_config::submit::{Call, Outcome, StoreResponse, Submission};
use damaskvane_config::ticket::Ticket;
use damaskvane_core::ids::TicketNumber;
use support::{Store, ZONES, draft, run};

const QUEUE: &str = "[service.rider-desk]\nqueue_limit = 7\n";
const TTL: &str = "[service.rider-desk]\nlookup_ttl_ms = 900\n";
const OTHER: &str = "[service.logbook]\n";

fn lost() -> Option<StoreResponse> {
    Some(StoreResponse::Unknown("lost".into()))
}

fn accepted(number: u64) -> Outcome {
    Outcome::Accepted {
        number: TicketNumber::new(number),
    }
}

/// The head's update takes effect and its answer is lost on the way back. An operator whose tool
/// then submits again would see the change twice in the history.
#[test]
fn a_lost_answer_after_the_write_is_found_accepted_and_not_run_twice() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut submission = Submission::new(draft(&store.head(), QUEUE, "mine"));
    let mut head_writes = 0;
    let outcome = run(&mut store, &mut submission, |store, call| {
        if !matches!(call, Call::WriteHead { .. }) {
            return None;
        }
        head_writes += 1;
        store.make(call);
        lost()
    });
    assert_eq!(outcome, accepted(2));
    assert_eq!(head_writes, 1);
    assert_eq!(store.head().ticket.get(), 2);
}

/// The answer is lost and before the retry another operator's ticket is accepted on top. A retry
/// that compared the head alone would submit again and undo the later ticket.
#[test]
fn a_lost_answer_is_found_accepted_below_a_later_ticket_which_stays() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut submission = Submission::new(draft(&store.head(), QUEUE, "mine"));
    let mut is_first = true;
    let outcome = run(&mut store, &mut submission, |store, call| {
        if !matches!(call, Call::WriteHead { .. }) || !is_first {
            return None;
        }
        is_first = false;
        store.make(call);
        store.accept(TTL);
        store.accept(OTHER);
        lost()
    });
    assert_eq!(outcome, accepted(2));
    assert_eq!(store.head().ticket.get(), 4);
    let service = "service/rider-desk".parse().expect("an id");
    assert_eq!(
        store.head().base_of(&service).get(),
        3,
        "the later ticket stays"
    );
}

/// The head's update is lost before it takes effect. It must be made again, once.
#[test]
fn a_write_lost_before_it_took_effect_is_made_again() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut submission = Submission::new(draft(&store.head(), QUEUE, "mine"));
    let mut losses = 3;
    let outcome = run(&mut store, &mut submission, |_, call| {
        let is_lost = matches!(call, Call::WriteHead { .. }) && losses > 0;
        losses -= i32::from(is_lost);
        is_lost.then(lost).flatten()
    });
    assert_eq!(outcome, accepted(2));
}

/// The store goes silent for good after an answer was lost. Telling the operator "not accepted"
/// could be false, so it must say that it does not know.
#[test]
fn an_outage_after_a_lost_answer_ends_as_unknown_and_before_it_as_not_accepted() {
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

/// Two operators change the same service from the same version. If the second were merged or simply
/// written, the first one's change would be gone without a word.
#[test]
fn racing_tickets_on_one_object_leave_the_loser_with_the_object_and_the_winner() {
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

/// Two operators change different services from the same version. Neither stands in the other's
/// way, so both must land, one after the other, without a gap in the numbers.
#[test]
fn racing_tickets_on_disjoint_objects_both_land_in_order() {
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
    let ticket_of = |id: &str| head.base_of(&id.parse().expect("an id")).get();
    assert_eq!(ticket_of("service/logbook"), 2);
    assert_eq!(ticket_of("service/rider-desk"), 3);
}

/// One operator deletes a region while another adds a zone to it. Each is valid by itself; together
/// they name a region that is not there, and no instance could adopt that.
#[test]
fn a_ticket_valid_alone_but_not_with_what_landed_is_refused() {
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

/// A read is answered from before the operator's own base. Every object would look changed, and the
/// ticket would be refused though nothing stands in its way.
#[test]
fn a_stale_head_is_read_again_and_refuses_nothing() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut old = store.clone();
    store.accept(TTL);
    let mut submission = Submission::new(draft(&store.head(), QUEUE, "mine"));
    let mut stale_reads = 2;
    let outcome = run(&mut store, &mut submission, |_, call| {
        let is_stale = *call == Call::ReadHead && stale_reads > 0;
        stale_reads -= i32::from(is_stale);
        is_stale.then(|| old.make(call))
    });
    assert_eq!(outcome, accepted(3));
}

/// Reads are answered for good from before another ticket, and the head's update is refused each time.
/// A submission that took each such read for news would call the store without pause and end never.
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
        (*call == Call::ReadHead).then(|| old.make(call))
    });
    assert!(matches!(outcome, Outcome::NotAccepted(_)), "{outcome:?}");
    assert_eq!(head_writes, 1);
}

/// Something broken stands in the store under the hash of a new chunk. A head that names it could be
/// adopted nowhere, and the fleet would stay on the old version for good.
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
            store.make(call);
            store.corrupt("chunk", &chunk.hash().to_string());
            lost()
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

/// The store lost or changed a chunk of what is in force. No ticket can be validated on top of it,
/// so somebody must be able to bring it back from version control.
#[test]
fn a_chunk_that_the_store_lost_or_broke_is_named_and_comes_back_with_its_object() {
    let mut store = Store::default();
    let head = store.accept(ZONES);
    let service = "service/rider-desk".parse().expect("an id");
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

/// Every accepted ticket must be readable later exactly as accepted, though the head names only the
/// newest.
#[test]
fn every_ticket_but_the_newest_is_filed_as_the_next_one_names_it() {
    let mut store = Store::default();
    for text in [ZONES, QUEUE, TTL, OTHER] {
        store.accept(text);
    }
    let mut named = store.head().ticket_hash;
    for number in (1..=4).rev() {
        let hash = named.expect("a hash");
        let bytes = store.chunk(&hash.to_string()).expect("stored");
        let ticket = Ticket::decode(&bytes).expect("a ticket");
        assert_eq!(ticket.number.get(), number);
        let filed = store.ticket(number);
        assert_eq!(filed, (number < 4).then_some(bytes), "ticket {number}");
        named = ticket.previous;
    }
    assert_eq!(named, None);
}
