//! Standing leases beside claims: a new owner knows of each one, or waits until its holder has stopped.
//!
//! The owner of a server grants its slots, which are rights to run one request on it. A standing lease has no end of
//! its own; its holder uses it as long as it has authority, the right to act. A claim is the request to become the
//! owner; a consent to it reports the leases of its sender.

mod common;

use common::parties::{Parties, gone, member};
use common::roles::{self, Roles};
use common::{ms, server, slot_settings};
use damaskvane_membership::state::GoneProof;
use damaskvane_slots::message::{GrantNumber, SlotMessage};

/// Longer than any wait of an owner for leases of a fixed length.
const LONG_MS: u64 = 10_000;

/// Has the claimant claim the server: the others know it now, and no message of it reaches the owner.
fn claim_unheard_by_owner(parties: &mut Parties, roles: &Roles) {
    parties
        .lost
        .insert((roles.claimant.clone(), roles.owner.clone()));
    for name in [&roles.holder, &roles.other, &roles.claimant] {
        parties.meet(name, &roles.all());
    }
}

/// Guards against a successor that does not know of a standing lease in the ledger that it was handed.
#[test]
fn a_standing_lease_is_handed_over() {
    let roles = Roles::new();
    let mut parties = roles::with_standing_lease(&roles);
    parties.begin(&roles.holder);
    // The holder is silent and not asked for its consent.
    parties
        .lost
        .insert((roles.claimant.clone(), roles.holder.clone()));
    for name in [&roles.owner, &roles.other, &roles.claimant] {
        parties.meet(name, &roles.all());
    }
    assert_eq!(parties.first_slot_ms(&roles.claimant, LONG_MS), None);
}

/// Guards against a claimant that counts the lease of a consenting holder which has ended since: the owner granted the
/// slot anew, and has ended, too.
#[test]
fn the_lease_of_a_consenting_holder_that_has_ended_is_not_granted_anew() {
    let roles = Roles::new();
    let mut parties = roles::with_standing_lease(&roles);
    claim_unheard_by_owner(&mut parties, &roles);
    parties.run(100);
    parties.end(&roles.holder);
    let holder = gone(&roles.holder, GoneProof::Refused, parties.now.get());
    let known = roles.running().map(|name| {
        let is_holder = *name == roles.holder;
        if is_holder {
            holder.clone()
        } else {
            member(name)
        }
    });
    parties.know(&roles.owner, known.into());
    let waited_ms = parties.first_slot_ms(&roles.owner, LONG_MS);
    assert!(waited_ms.is_some(), "the owner grants itself the slot");
    let runs_until = parties.begin(&roles.owner);
    parties.end(&roles.owner);
    let owner = gone(&roles.owner, GoneProof::Refused, parties.now.get());
    let ended = roles.roster_with(&[owner, holder]);
    parties.know(&roles.other, ended.clone());
    parties.know(&roles.claimant, ended);
    let free_from_ms = runs_until.since(parties.now).get();
    let waited_ms = parties.first_slot_ms(&roles.claimant, LONG_MS);
    assert!(waited_ms >= Some(free_from_ms), "{waited_ms:?}");
}

/// Returns parties in which the holder has consented to the claim, sees the owner as assigned again since, and holds a
/// lease of the owner that it acquired after its consent.
fn with_lease_after_consent(roles: &Roles) -> Parties {
    let mut parties = Parties::with_owner(&roles.running(), &roles.claimant);
    claim_unheard_by_owner(&mut parties, roles);
    let leaving = roles.roster_with(&[Roles::leaving(&roles.claimant)]);
    parties.know(&roles.holder, leaving);
    parties
}

/// Guards against a standing lease that a claimant does not know of: its holder acquired it after it had consented to
/// the claim, from the owner that the claim replaces.
#[test]
fn no_lease_is_a_standing_one_beside_a_claim_with_the_consent_of_its_holder() {
    let roles = Roles::new();
    let mut parties = with_lease_after_consent(&roles);
    let request = parties.acquire(&roles.holder);
    parties.end(&roles.owner);
    let ended = roles.roster_with(&[gone(&roles.owner, GoneProof::Refused, parties.now.get())]);
    parties.know(&roles.claimant, ended);
    let waited_ms = parties.first_slot_ms(&roles.claimant, LONG_MS);
    assert!(waited_ms.is_some(), "the claimant owns the server");
    parties.finish(&roles.holder, &request);
    assert!(!parties.may_send(&roles.holder));
}

/// Guards against a standing lease that a claimant does not know of: its owner granted it before the holder consented,
/// and the message arrives after that.
#[test]
fn a_standing_lease_that_arrives_after_a_consent_is_not_used() {
    let roles = Roles::new();
    let mut parties = Parties::with_owner(&roles.running(), &roles.claimant);
    let late = (roles.owner.clone(), roles.holder.clone());
    parties.demand(&roles.holder);
    let request = parties.sent_request(&roles.holder);
    parties.lost.insert(late.clone());
    parties.run(400);
    claim_unheard_by_owner(&mut parties, &roles);
    let leaving = roles.roster_with(&[Roles::leaving(&roles.claimant)]);
    parties.know(&roles.holder, leaving);
    for attempt in 1..4 {
        let renewed = SlotMessage::Renewed {
            server: server(0),
            number: GrantNumber::new(1),
            attempt,
            lease_ms: slot_settings().lease_ms,
            is_standing: true,
        };
        parties.deliver(&roles.owner, &roles.holder, renewed);
    }
    parties.run(LONG_MS);
    parties.finish(&roles.holder, &request);
    assert!(!parties.may_send(&roles.holder));
    // Nor does that message allow a standing lease on the next grant.
    parties.lost.remove(&late);
    parties.run(LONG_MS);
    let request = parties.acquire(&roles.holder);
    parties.end(&roles.owner);
    parties.run(LONG_MS);
    parties.finish(&roles.holder, &request);
    assert!(!parties.may_send(&roles.holder));
}

/// Guards against a holder that gets no standing lease any more, because the owner does not learn from a claimant's
/// consent that its claim is over.
#[test]
fn a_consent_of_a_claimant_allows_standing_leases_again() {
    let roles = Roles::new();
    let mut parties = with_lease_after_consent(&roles);
    let consent = SlotMessage::Consent {
        server: server(0),
        claim: 77,
        leases: Vec::new(),
        ledger: None,
        wait_ms: ms(0),
        wait: None,
        last_claim: 1,
    };
    parties.meet(&roles.owner, &roles.all());
    parties.deliver(&roles.claimant, &roles.owner, consent);
    let request = parties.acquire(&roles.holder);
    parties.end(&roles.owner);
    parties.run(LONG_MS);
    parties.finish(&roles.holder, &request);
    assert!(parties.may_send(&roles.holder));
}

/// Guards against a holder that gets no standing lease any more, because a claim that it consented to was given up.
#[test]
fn a_claim_that_was_given_up_allows_standing_leases_again() {
    let roles = Roles::new();
    let mut parties = with_lease_after_consent(&roles);
    let leaving = roles.roster_with(&[Roles::leaving(&roles.claimant)]);
    parties.know(&roles.claimant, leaving);
    let request = parties.acquire(&roles.holder);
    parties.end(&roles.owner);
    parties.run(LONG_MS);
    parties.finish(&roles.holder, &request);
    assert!(parties.may_send(&roles.holder));
}

/// Guards against a waiting owner that grants a slot which its holder returned to the earlier owner, and which that one
/// granted anew.
#[test]
fn a_list_of_grants_frees_no_slot_during_a_wait() {
    let roles = Roles::new();
    let mut parties = roles::with_standing_lease(&roles);
    claim_unheard_by_owner(&mut parties, &roles);
    let leaving = roles.roster_with(&[Roles::leaving(&roles.claimant)]);
    parties.know(&roles.holder, leaving);
    parties.run(500);
    parties.demand(&roles.owner);
    assert!(
        parties.may_send(&roles.owner),
        "the holder returned the slot"
    );
    let runs_until = parties.begin(&roles.owner);
    parties.end(&roles.owner);
    let ended = roles.roster_with(&[gone(&roles.owner, GoneProof::Refused, parties.now.get())]);
    parties.know(&roles.claimant, ended);
    let audit = SlotMessage::Audit { server: server(0) };
    for held in parties.answers(&roles.claimant, &roles.holder, audit) {
        parties.deliver(&roles.holder, &roles.claimant, held);
    }
    let free_from_ms = runs_until.since(parties.now).get();
    let waited_ms = parties.first_slot_ms(&roles.claimant, LONG_MS);
    assert!(waited_ms >= Some(free_from_ms), "{waited_ms:?}");
}

/// Guards against a claimant of an earlier version, which takes a standing lease for one of a fixed length.
#[test]
fn a_claim_of_an_earlier_version_ends_standing_leases() {
    let roles = Roles::new();
    for asked in [&roles.holder, &roles.owner] {
        let (mut parties, request) = roles::with_request(&roles);
        for name in roles.running() {
            parties.meet(name, &roles.all());
        }
        let claim = SlotMessage::Claim {
            server: server(0),
            claim: 1,
            keeps_standing: false,
        };
        let consents = parties.answers(&roles.claimant, asked, claim);
        let Some(SlotMessage::Consent { leases, ledger, .. }) = consents.first() else {
            panic!("no consent: {consents:?}");
        };
        assert!(leases.iter().all(|lease| !lease.is_standing));
        assert!(ledger.is_none(), "{ledger:?}");
        if asked == &roles.holder {
            parties.run(slot_settings().usable_ms().get());
            parties.finish(&roles.holder, &request);
            assert!(!parties.may_send(&roles.holder));
        }
    }
}

/// Guards against a standing lease of which a fenced instance does not know, that acts until its authority ends: it
/// becomes the owner without the consent of the holder.
#[test]
fn no_lease_is_a_standing_one_beside_a_fenced_instance_that_may_act() {
    let roles = Roles::new();
    for (acts_for_ms, is_standing) in [(5_000, false), (0, true)] {
        let mut parties = Parties::with_owner(&roles.running(), &roles.claimant);
        let from_ms = parties.now.get() + acts_for_ms;
        let fenced = gone(&roles.claimant, GoneProof::Fenced, from_ms);
        parties.know(&roles.holder, roles.roster_with(&[fenced]));
        let request = parties.acquire(&roles.holder);
        parties.end(&roles.owner);
        parties.run(LONG_MS);
        parties.finish(&roles.holder, &request);
        assert_eq!(
            parties.may_send(&roles.holder),
            is_standing,
            "{acts_for_ms}"
        );
    }
}

/// Guards against a standing lease of which an instance does not know that was fenced before the start of the holder,
/// and that acts until its authority ends.
#[test]
fn an_instance_that_has_just_started_holds_no_standing_lease() {
    let roles = Roles::new();
    for (started_before_ms, is_standing) in [(1_000, false), (6_000, true)] {
        let running = [&roles.owner, &roles.other];
        let mut parties = Parties::with_owner(&running, &roles.claimant);
        parties.start(&roles.holder);
        for name in roles.running() {
            parties.meet(name, &roles.running());
        }
        parties.run(started_before_ms);
        let request = parties.acquire(&roles.holder);
        parties.end(&roles.owner);
        parties.run(LONG_MS);
        parties.finish(&roles.holder, &request);
        assert_eq!(
            parties.may_send(&roles.holder),
            is_standing,
            "{started_before_ms}"
        );
    }
}
