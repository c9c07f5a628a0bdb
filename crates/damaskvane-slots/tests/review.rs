//! Orders of messages in which a slot is granted that another instance's request may still use.
//!
//! The owner of a server grants its slots, which are rights to run one request on it, each under a lease. A claim is
//! the request to become the owner; a consent to it reports the leases of its sender, and the owner's its ledger.

mod common;

use common::parties::{self, FIRST, ONE, received};
use common::{SimulatedZone, at, id, ms, script, server, slot_settings};
use damaskvane_core::{ids, time, units};
use damaskvane_membership::{state, view};
use damaskvane_slots::exchange::{Action, Event, OwnerPhase, ServerSlots, SlotExchange};
use damaskvane_slots::message::{GrantNumber, SlotMessage, StopReport, WaitReport};

fn limits() -> Event {
    let limit = ServerSlots {
        server: server(0),
        slots: ONE,
    };
    Event::Servers(vec![limit])
}

fn exchange(name: &ids::InstanceId) -> SlotExchange {
    let mut slots = SlotExchange::new(name.clone(), FIRST, slot_settings());
    slots.handle(at(0), limits());
    slots
}

fn member(name: &ids::InstanceId, ended_at: Option<time::TimeMs>) -> view::RosterMember {
    ended_at.map_or_else(
        || parties::member(name),
        |from| parties::gone(name, state::GoneProof::Refused, from.get()),
    )
}

fn roster(members: &[(&ids::InstanceId, Option<time::TimeMs>)]) -> Event {
    let members = members
        .iter()
        .map(|(name, ended_at)| member(name, *ended_at));
    Event::Roster(parties::roster(members.collect()))
}

fn live(names: &[&ids::InstanceId]) -> Event {
    let members: Vec<_> = names.iter().map(|name| (*name, None)).collect();
    roster(&members)
}

/// Returns the messages among the actions that are for one instance.
fn sent(actions: &[Action], to: &ids::InstanceId) -> Vec<SlotMessage> {
    let messages = actions.iter().filter_map(|action| match action {
        Action::Send { to: name, message } if name == to => Some(message.message.clone()),
        _ => None,
    });
    messages.collect()
}

/// Delivers messages at once and returns the responses to their sender.
fn deliver(
    now: time::TimeMs,
    from: &ids::InstanceId,
    messages: Vec<SlotMessage>,
    to: &mut SlotExchange,
) -> Vec<SlotMessage> {
    let mut responses = Vec::new();
    for message in messages {
        let actions = to.handle(now, received(from, message));
        responses.extend(sent(&actions, from));
    }
    responses
}

fn demand() -> Event {
    Event::Demand {
        server: server(0),
        waiting: ONE,
    }
}

/// Has `holder` acquire a slot of `owner`, whose messages arrive at once.
fn acquire(
    now: time::TimeMs,
    (holder_name, holder): (&ids::InstanceId, &mut SlotExchange),
    (owner_name, owner): (&ids::InstanceId, &mut SlotExchange),
) {
    let requests = sent(&holder.handle(now, demand()), owner_name);
    let grants = deliver(now, holder_name, requests, owner);
    deliver(now, owner_name, grants, holder);
}

/// Guards against a waiting owner that grants a slot in place of a lease reported by a consent which arrived late: the
/// earlier owner, for which the lease had expired, granted the slot anew to an instance that has ended since.
#[test]
fn a_lease_in_a_delayed_consent_is_not_granted_anew() {
    for delay_ms in [0, 100, 300, 600, 900, 1_200] {
        let [claimant, owner, holder, last] = script::ranked(["a-1", "a-2", "a-3", "a-4"]);
        let names = [&owner, &holder, &last];
        let (mut p, mut h, mut l) = (exchange(&owner), exchange(&holder), exchange(&last));
        h.handle(at(0), live(&names));
        l.handle(at(0), live(&names));
        let claims = p.handle(at(0), live(&names));
        for (name, slots) in [(&holder, &mut h), (&last, &mut l)] {
            let consents = deliver(at(0), &owner, sent(&claims, name), slots);
            deliver(at(0), name, consents, &mut p);
        }
        p.handle(at(12_000), Event::Tick);
        acquire(at(12_000), (&holder, &mut h), (&owner, &mut p));
        assert_eq!(h.free(at(12_000), &server(0)), ONE);

        let names = [&claimant, &owner, &holder, &last];
        let mut w = exchange(&claimant);
        let claims = w.handle(at(12_100), live(&names));
        h.handle(at(12_100), live(&names));
        let consents = deliver(at(12_100), &claimant, sent(&claims, &holder), &mut h);
        deliver(at(12_100 + delay_ms), &holder, consents, &mut w);

        acquire(at(13_500), (&last, &mut l), (&owner, &mut p));
        let ready = l
            .begin(at(13_500), &server(0), ms(1_500), ms(1))
            .expect("a slot");
        let deadline_ms = 13_500 + ready.send(at(13_500)).expect("in time").deadline_ms().get();

        let ended = Some(at(13_510));
        let members = [
            (&claimant, None),
            (&owner, ended),
            (&holder, None),
            (&last, ended),
        ];
        w.handle(at(13_510), roster(&members));
        for now_ms in (13_550..deadline_ms).step_by(50) {
            w.handle(at(now_ms), Event::Tick);
            w.handle(at(now_ms), demand());
            let granted = w.free(at(now_ms), &server(0));
            let history = format!("delay {delay_ms}, at {now_ms} of {deadline_ms}");
            assert_eq!(granted, units::Slots::ZERO, "{history}");
        }
    }
}

/// Guards against a claimant that does not wait for a fenced instance which only the waiting owner was told of: the
/// owner's consent with its ledger was lost, and the repeated one reports nothing of the owner's wait.
#[test]
fn a_repeated_consent_reports_what_the_lost_one_waited_for() {
    let [claimant, owner, reporter] = script::ranked(["a-1", "a-2", "a-3"]);
    let mut w = exchange(&owner);
    let claims = w.handle(at(10_000), live(&[&owner, &reporter]));
    let Some(SlotMessage::Claim { claim, .. }) = sent(&claims, &reporter).pop() else {
        panic!("no claim");
    };
    let stop = StopReport {
        instance: id("a-9"),
        incarnation: FIRST,
        wait_ms: ms(9_000),
    };
    let consent = SlotMessage::Consent {
        server: server(0),
        claim,
        leases: Vec::new(),
        ledger: None,
        wait_ms: ms(9_000),
        wait: Some(WaitReport {
            wait_ms: ms(0),
            stops: vec![stop],
        }),
        last_claim: 0,
    };
    w.handle(at(10_000), received(&reporter, consent));
    let waits_until = w.waits_until(&server(0)).expect("a wait");
    assert!(waits_until >= at(19_000), "{waits_until:?}");

    let mut n = exchange(&claimant);
    let claims = n.handle(at(11_000), live(&[&claimant, &owner]));
    let members = [
        (&claimant, None),
        (&owner, None),
        (&reporter, Some(at(10_500))),
    ];
    w.handle(at(11_000), roster(&members));
    let lost = deliver(at(11_000), &claimant, sent(&claims, &owner), &mut w);
    assert!(matches!(
        lost[..],
        [SlotMessage::Consent {
            ledger: Some(_),
            ..
        }]
    ));
    let repeated = sent(&n.handle(at(11_300), Event::Tick), &owner);
    let consents = deliver(at(11_300), &claimant, repeated, &mut w);
    deliver(at(11_300), &owner, consents, &mut n);
    let until = n.waits_until(&server(0));
    assert!(until >= Some(waits_until), "{until:?} < {waits_until:?}");
}

/// Guards against a lease that lasts longer at its holder than at its owner: the grant was made for a request from
/// before the server was removed from the holder's configuration, and a request after that has the same number.
#[test]
fn a_grant_from_before_a_removal_from_the_configuration_is_not_used() {
    let [owner, holder] = script::ranked(["a-1", "a-2"]);
    let mut h = exchange(&holder);
    h.handle(at(0), live(&[&owner, &holder]));
    h.handle(at(100), demand());
    h.handle(at(200), Event::Servers(Vec::new()));
    h.handle(at(300), limits());
    h.handle(at(400), demand());
    let granted = SlotMessage::Granted {
        server: server(0),
        number: GrantNumber::new(1),
        slots: ONE,
        lease_ms: slot_settings().lease_ms,
    };
    h.handle(at(410), received(&owner, granted));
    // The owner made the grant at 100 ms, so that it expires there at 1,600 ms.
    assert_eq!(h.free(at(1_650), &server(0)), units::Slots::ZERO);
}

/// Guards against an owner beside one that was fenced and goes on alone. The fence record was lost, the instance that
/// fenced has ended, the waiting owner's consent with the ledger is lost, and the repeated one names no fence.
#[test]
fn a_lost_ledger_of_a_waiting_owner_leaves_one_owner() {
    for lost_ms in [20, 50, 100, 200] {
        let [claimant, fenced, waiting, fencer] = script::ranked(["a-1", "a-2", "a-3", "a-4"]);
        let names = [fenced.as_str(), fencer.as_str()];
        let mut zone = SimulatedZone::under_full_load(&names, &[3]);
        zone.starting_ms = 0;
        zone.tolerates_excess = true;
        zone.without_platform
            .extend([fenced.clone(), fencer.clone()]);
        zone.run(2_500);
        zone.cut(&fenced, &fencer);
        zone.run(1_600);
        zone.without_platform.remove(&fencer);
        script::run_until(&mut zone, 5_000, |zone| script::fences(zone) == 1);
        zone.list.remove(&fenced);
        zone.run(600);
        zone.start(&waiting);
        script::run_until(&mut zone, 4_000, |zone| {
            script::phase(zone, &waiting) == Some(OwnerPhase::Waiting)
        });
        zone.kill(&fencer);
        zone.run(1_000);
        zone.start(&claimant);
        script::run_until(&mut zone, 4_000, |zone| {
            script::phase(zone, &claimant) == Some(OwnerPhase::Claiming)
        });
        zone.cuts.insert((waiting.clone(), claimant.clone()));
        zone.run(lost_ms);
        zone.cuts.remove(&(waiting.clone(), claimant.clone()));
        zone.run(25_000);
        script::assert_no_excess(&zone, &format!("lost for {lost_ms} ms"));
    }
}

/// Guards against a claimant that consents to another one and keeps to itself what it was told to wait for: the instance
/// that told it has ended.
#[test]
fn a_claimant_that_consents_reports_what_it_was_told() {
    let [next, claimant, silent, reporter] = script::ranked(["a-1", "a-2", "a-3", "a-4"]);
    let mut w = exchange(&claimant);
    let claims = w.handle(at(10_000), live(&[&claimant, &silent, &reporter]));
    let Some(SlotMessage::Claim { claim, .. }) = sent(&claims, &reporter).pop() else {
        panic!("no claim");
    };
    let stop = StopReport {
        instance: id("a-9"),
        incarnation: FIRST,
        wait_ms: ms(9_000),
    };
    let consent = SlotMessage::Consent {
        server: server(0),
        claim,
        leases: Vec::new(),
        ledger: None,
        wait_ms: ms(9_000),
        wait: Some(WaitReport {
            wait_ms: ms(0),
            stops: vec![stop.clone()],
        }),
        last_claim: 0,
    };
    w.handle(at(10_000), received(&reporter, consent));
    let members = [
        (&next, None),
        (&claimant, None),
        (&silent, None),
        (&reporter, Some(at(10_500))),
    ];
    // The roster of the next claimant lacks the reporter, which ended before it started.
    w.handle(at(11_000), roster(&members));
    let mut n = exchange(&next);
    let claims = n.handle(at(11_000), live(&[&next, &claimant, &silent]));
    let consents = deliver(at(11_000), &next, sent(&claims, &claimant), &mut w);
    let Some(SlotMessage::Consent {
        wait: Some(wait), ..
    }) = consents.last()
    else {
        panic!("no consent: {consents:?}");
    };
    assert!(
        wait.stops
            .iter()
            .any(|known| known.instance == stop.instance),
        "{wait:?}"
    );
}
