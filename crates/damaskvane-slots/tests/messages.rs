//! Messages that arrive late, twice or for another incarnation of an instance; and the clock checks of permits.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders for the
//! time of a lease. A permit reserves a held slot for one request. An incarnation is one start of an instance's
//! process.

mod common;

use common::parties;
use common::{at, id, ms, server, slot_settings};
use damaskvane_core::{ids, time, units};
use damaskvane_membership::{ownership, view};
use damaskvane_slots::message::{AddressedMessage, GrantNumber, SlotMessage};
use damaskvane_slots::{connections, exchange};

fn roster(members: &[(&str, u64)]) -> view::Roster {
    let members = members
        .iter()
        .map(|(name, incarnation)| view::RosterMember {
            incarnation: ids::Incarnation::new(*incarnation),
            ..parties::member(&id(name))
        });
    parties::roster(members.collect())
}

/// Returns which of a-1 and a-2 is the holder and which the owner of `server(0)`, in this order.
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

/// Guards against a holder that uses a slot which the owner has granted to another instance. A delayed grant is
/// the cause: the lease has to count from the time of the acquire request, not from the arrival of the grant.
#[test]
fn a_lease_counts_from_the_acquire_request() {
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

/// Guards against a repeated grant that is counted twice, or that returns the first grant, which is in use.
#[test]
fn a_repeated_grant_changes_nothing() {
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    slots.handle(at(110), granted(&owner, 1, 1));
    let actions = slots.handle(at(120), granted(&owner, 1, 1));
    assert!(actions.is_empty());
    assert_eq!(slots.free(at(120), &server(0)), units::Slots::new(1));
}

/// Guards against a grant that is used for longer than the owner counts. The holder was restarted while the
/// grant was in flight, and its new incarnation sent a later acquire request under the same number.
#[test]
fn a_grant_to_an_earlier_incarnation_is_dropped() {
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    slots.handle(at(110), granted(&owner, 0, 1));
    assert_eq!(slots.free(at(110), &server(0)), units::Slots::ZERO);
    assert_eq!(slots.counters().old_messages, 1);
}

/// Guards against the use of a grant that is not in the owner's ledger (list of grants). The owner was restarted, a
/// grant of its earlier incarnation arrives late, and the new incarnation counts only the grants in its own ledger.
#[test]
fn a_grant_from_an_earlier_incarnation_is_dropped() {
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    let members = roster(&[("a-1", 2), ("a-2", 2)]);
    slots.handle(at(105), exchange::Event::Roster(members));
    slots.handle(at(110), granted(&owner, 1, 1));
    assert_eq!(slots.counters().old_messages, 1);
    assert_eq!(slots.free(at(110), &server(0)), units::Slots::ZERO);
}

/// Guards against the use of a grant that the new owner does not count, because it comes from the previous owner and
/// arrives after the holder has consented to the new owner.
#[test]
fn a_grant_of_a_former_owner_is_not_used() {
    let (mut slots, owner) = holder();
    demand(&mut slots, at(100));
    let (own, _) = holder_and_owner();
    let mut owner_leaving = roster(&[(own.as_str(), 1), (owner.as_str(), 1)]);
    for member in &mut owner_leaving.members {
        member.leaving = member.instance == owner;
    }
    slots.handle(at(105), exchange::Event::Roster(owner_leaving));
    slots.handle(at(110), granted(&owner, 1, 1));
    assert_eq!(slots.counters().dropped_owner_messages, 1);
    assert_eq!(slots.free(at(110), &server(0)), units::Slots::ZERO);
}

/// Guards against a request that is sent after its lease expired, since the process was paused between taking the
/// permit and writing the request, or while writing it. The clock is compared before and after; a request that
/// was written too late is to be cancelled at once.
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

/// Guards against an instance that knows no other live instance, and grants slots after its authority (right to act
/// as an owner) has expired and other instances may have replaced it.
#[test]
fn an_owner_without_authority_grants_nothing() {
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

/// Guards against more connections to a backend server than its limit, however many instances are alive: each has
/// the same fixed share.
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

/// Guards against requests that are refused although all slots of the backend server are free. By the hash a new
/// instance is to own the server, but the platform is down, so the new instance can't read itself on the list and
/// claims nothing. The previous owner must grant slots meanwhile.
#[test]
fn the_previous_owner_grants_until_the_new_instance_claims() {
    let (present, new_instance) = holder_and_owner();
    let mut slots =
        exchange::SlotExchange::new(present.clone(), ids::Incarnation::new(1), slot_settings());
    let limit = exchange::ServerSlots {
        server: server(0),
        slots: units::Slots::new(3),
    };
    slots.handle(at(0), exchange::Event::Servers(vec![limit]));
    let single_member = roster(&[(present.as_str(), 1)]);
    slots.handle(at(0), exchange::Event::Roster(single_member));
    let settled = at(60_000);
    slots.handle(settled, exchange::Event::Tick);
    let both = roster(&[(present.as_str(), 1), (new_instance.as_str(), 1)]);
    slots.handle(settled, exchange::Event::Roster(both));
    demand(&mut slots, settled);
    assert_eq!(slots.free(settled, &server(0)), units::Slots::new(1));
}

/// Guards against requests that never get a slot at an instance whose planned stop has begun. Clients send requests
/// to the instance until their lookup responses expire; it no longer owns servers, but must still acquire slots.
#[test]
fn a_leaving_instance_still_acquires_slots() {
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
