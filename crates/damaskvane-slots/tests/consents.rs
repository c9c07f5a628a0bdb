//! Consents that bind: two instances never own a server, of which one consented to the claim of the other.
//!
//! The owner of a server grants its slots, which are rights to run one request on it, and records the grants in its
//! ledger. A claim is the request to become the owner; it needs the owner's ledger or the consents of all.

mod common;

use common::parties::{Parties, member};
use common::script;
use damaskvane_core::ids;
use damaskvane_membership::view;

const LONG_MS: u64 = 10_000;

fn leaving(name: &ids::InstanceId) -> view::RosterMember {
    view::RosterMember {
        leaving: true,
        ..member(name)
    }
}

/// Guards against a second owner whose claim was open for long: an instance that had consented to it became the owner
/// by the ledger of the earlier one, which then consented to the claim as well.
#[test]
fn an_instance_does_not_own_a_server_beside_a_claim_with_its_consent() {
    let [claimant, owner, successor, other] = script::ranked(["a-1", "a-2", "a-3", "a-4"]);
    let running = [&owner, &successor, &other];
    let mut parties = Parties::with_owner(&running, &claimant);
    // The claim reaches all but the owner.
    parties.lost.insert((claimant.clone(), owner.clone()));
    let all = [&claimant, &owner, &successor, &other];
    for name in [&successor, &other, &claimant] {
        parties.meet(name, &all);
    }
    // The successor takes the claimant for one that stops, and claims the server of the owner, which stops.
    for (a, b) in [(&claimant, &successor), (&successor, &claimant)] {
        parties.lost.insert((a.clone(), b.clone()));
    }
    let stopping = vec![
        leaving(&claimant),
        leaving(&owner),
        member(&successor),
        member(&other),
    ];
    for name in [&owner, &other, &successor] {
        parties.know(name, stopping.clone());
    }
    parties.run(1_000);
    // The owner hears of the claimant's claim now, and consents.
    parties.lost.remove(&(claimant.clone(), owner.clone()));
    let known = vec![
        member(&claimant),
        leaving(&owner),
        member(&successor),
        member(&other),
    ];
    for name in [&owner, &other, &claimant] {
        parties.know(name, known.clone());
    }
    parties.run(LONG_MS);
    for name in [&claimant, &successor] {
        parties.demand(name);
    }
    let both = parties.may_send(&claimant) && parties.may_send(&successor);
    assert!(!both, "two instances hold the only slot");
    assert!(parties.may_send(&claimant), "the claimant owns the server");
}
