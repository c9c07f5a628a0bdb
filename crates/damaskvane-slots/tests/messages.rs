//! Messages that come late, twice, or to the wrong start of an instance; and the clock checks of permits.

mod common;

use common::{at, id, ms, server, slot_settings};
use damaskvane_core::{ids, time, units};
use damaskvane_membership::{ownership, view};
use damaskvane_slots::message::{AddressedMessage, GrantNumber, SlotMessage};
use damaskvane_slots::{connections, exchange};

fn roster(members: &[(&str, u64)]) -> view::Roster {
    let members = members
        .iter()
        .map(|(name, incarnation)| view::RosterMember {
            instance: id(name),
            incarnation: ids::Incarnation::new(*incarnation),
            leaving: false,
            gone: None,
            stopped_by: None,
            has_acknowledged_own: true,
        });
    view::Roster {
        members: members.collect(),
        authority_until: Some(at(1_000_000)),
        is_listed: true,
        may_take_over: true,
    }
}

/// A holder and the owner of `server(0)`, among a-1 and a-2.
fn holder_and_owner() -> (ids::InstanceId, ids::InstanceId) {
    let names = [id("a-1"), id("a-2")];
    let owner = ownership::owner(server(0).as_str(), &names).expect("an owner");
    let holder = names.into_iter().find(|name| *name != owner);
    (holder.expect("the other"), owner)
}

fn holder() -> (exchange::SlotExchange, ids::InstanceId) {
    let (holder, owner) = holder_and_owner();
    let mut slots = exchange::SlotExchange::new(holder, ids::Incarnation::new(1), slot_settings());
    let limit = exchange::ServerSlots {
        server: server(0),
        slots: units::Slots::new(3),
    };
    slots.handle(at(0), exchange::Event::Servers(vec![limit]));
    let members = roster(&[("a-1", 1), ("a-2", 1)]);
    slots.handle(at(0), exchange::Event::Roster(members));
    (slots, owner)
}

fn demand(slots: &mut exchange::SlotExchange, now: time::TimeMs) {
    let event = exchange::Event::Demand {
        server: server(0),
        waiting: units::Slots::new(1),
    };
    slots.handle(now, event);
}

fn granted(from: &ids::InstanceId, to_incarnation: u64, number: u64) -> exchange::Event {
    exchange::Event::Message {
        from: from.clone(),
        incarnation: ids::Incarnation::new(1),
        message: AddressedMessage {
            incarnation: ids::Incarnation::new(to_incarnation),
            message: SlotMessage::Granted {
                server: server(0),
                number: GrantNumber::new(number),
                slots: units::Slots::new(1),
                lease_ms: ms(1_500),
            },
        },
    }
}

/// A grant lingers on its way. The lease counts from when it was asked for, so the way shortens it; if it
/// counted from the arrival, the holder would use a slot that the owner has lent to another.
#[test]
fn a_lease_counts_from_its_ask() {
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    slots.handle(at(900), granted(&owner, 1, 1));
    assert!(slots.begin(at(1_399), &server(0), ms(5_000), ms(1)).is_ok());
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    slots.handle(at(900), granted(&owner, 1, 1));
    assert!(
        slots
            .begin(at(1_400), &server(0), ms(5_000), ms(1))
            .is_err()
    );
}

/// A grant arrives twice. The second must neither count twice nor give back the first, which is in use.
#[test]
fn a_repeated_grant_changes_nothing() {
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    slots.handle(at(110), granted(&owner, 1, 1));
    let actions = slots.handle(at(120), granted(&owner, 1, 1));
    assert!(actions.is_empty());
    assert_eq!(slots.free(at(120), &server(0)), units::Slots::new(1));
}

/// The holder was replaced while a grant was on its way. Its new start has asked under the same number,
/// later: it would use the old grant for longer than the owner counts.
#[test]
fn a_grant_for_an_earlier_start_is_dropped() {
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    slots.handle(at(110), granted(&owner, 0, 1));
    assert_eq!(slots.free(at(110), &server(0)), units::Slots::ZERO);
    assert_eq!(slots.counters().old_messages, 1);
}

/// The owner was replaced, and a grant of its earlier start arrives after that. The new start counts only
/// from its own ledger.
#[test]
fn a_grant_from_an_earlier_start_is_dropped() {
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    let members = roster(&[("a-1", 2), ("a-2", 2)]);
    slots.handle(at(105), exchange::Event::Roster(members));
    slots.handle(at(110), granted(&owner, 1, 1));
    assert_eq!(slots.counters().old_messages, 1);
    assert_eq!(slots.free(at(110), &server(0)), units::Slots::ZERO);
}

/// A holder has consented to a new owner when a grant of the old one arrives. The new owner's count does
/// not have it.
#[test]
fn a_grant_of_a_former_owner_is_not_used() {
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    let (own, _) = holder_and_owner();
    let mut alone = roster(&[(own.as_str(), 1), (owner.as_str(), 1)]);
    for member in &mut alone.members {
        member.leaving = member.instance == owner;
    }
    slots.handle(at(105), exchange::Event::Roster(alone));
    slots.handle(at(110), granted(&owner, 1, 1));
    assert_eq!(slots.counters().dropped_owner_messages, 1);
    assert_eq!(slots.free(at(110), &server(0)), units::Slots::ZERO);
}

/// The process is paused between taking a permit and writing the request, or while writing it. The clock
/// is compared before and after; a request that was written too late is to be cancelled at once.
#[test]
fn a_permit_is_checked_before_and_after_the_request_is_sent() {
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    slots.handle(at(110), granted(&owner, 1, 1));
    let ready = slots.begin(at(120), &server(0), ms(5_000), ms(1)).unwrap();
    assert!(ready.send(at(1_400)).is_err());
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    slots.handle(at(110), granted(&owner, 1, 1));
    let ready = slots.begin(at(120), &server(0), ms(5_000), ms(1)).unwrap();
    let sending = ready.send(at(400)).unwrap();
    assert_eq!(sending.deadline_ms(), ms(1_000));
    assert!(sending.sent(at(1_400)).is_err());
}

/// An instance that is proven alone in its view still can't lend once others may have replaced it.
#[test]
fn an_owner_without_authority_lends_nothing() {
    let mut members = roster(&[("a-1", 1)]);
    members.authority_until = Some(at(5_000));
    let own = ids::Incarnation::new(1);
    let mut slots = exchange::SlotExchange::new(id("a-1"), own, slot_settings());
    let limit = exchange::ServerSlots {
        server: server(0),
        slots: units::Slots::new(3),
    };
    slots.handle(at(0), exchange::Event::Servers(vec![limit]));
    slots.handle(at(0), exchange::Event::Roster(members));
    slots.handle(at(4_000), exchange::Event::Tick);
    demand(&mut slots, at(4_000));
    assert_eq!(slots.free(at(4_000), &server(0)), units::Slots::new(1));
    slots.handle(at(6_000), exchange::Event::Tick);
    demand(&mut slots, at(6_000));
    assert_eq!(slots.free(at(6_000), &server(0)), units::Slots::ZERO);
}

/// The limit on connections holds whoever lives: each instance keeps to the same fixed share.
#[test]
fn shares_of_connections_never_exceed_the_limit() {
    for (limit, instances) in [(330, 32), (390, 18), (7, 8), (5, 0)] {
        let mut budget = connections::ConnectionBudget::new(limit, instances);
        let mut open = 0;
        while budget.open().is_ok() {
            open += 1;
        }
        assert!(open * instances <= limit, "{limit} over {instances}");
    }
}

/// A newcomer is to own a backend server by the hash, but the platform is down, so that it can't see
/// itself on the list and claims nothing. The owner of before must go on lending meanwhile: otherwise
/// requests are refused beside a backend server whose slots are all free.
#[test]
fn the_owner_of_before_lends_until_the_newcomer_claims() {
    let (present, newcomer) = holder_and_owner();
    let mut slots =
        exchange::SlotExchange::new(present.clone(), ids::Incarnation::new(1), slot_settings());
    let limit = exchange::ServerSlots {
        server: server(0),
        slots: units::Slots::new(3),
    };
    slots.handle(at(0), exchange::Event::Servers(vec![limit]));
    let alone = roster(&[(present.as_str(), 1)]);
    slots.handle(at(0), exchange::Event::Roster(alone));
    let settled = at(60_000);
    slots.handle(settled, exchange::Event::Tick);
    let both = roster(&[(present.as_str(), 1), (newcomer.as_str(), 1)]);
    slots.handle(settled, exchange::Event::Roster(both));
    demand(&mut slots, settled);
    assert_eq!(slots.free(settled, &server(0)), units::Slots::new(1));
}

/// An instance is stopped as planned, and clients come to it until their look-up answers have run out. It owns
/// nothing any more, but must still borrow: otherwise their requests wait there for nothing.
#[test]
fn a_leaving_instance_still_borrows() {
    let (mut slots, owner) = holder();
    let (holder, _) = holder_and_owner();
    let mut leaving = roster(&[("a-1", 1), ("a-2", 1)]);
    for member in &mut leaving.members {
        member.leaving = member.instance == holder;
    }
    slots.handle(at(10), exchange::Event::Roster(leaving));
    demand(&mut slots, at(100));
    slots.handle(at(110), granted(&owner, 1, 1));
    assert_eq!(slots.free(at(110), &server(0)), units::Slots::new(1));
}
