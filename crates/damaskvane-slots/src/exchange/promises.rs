//! The claims of a backend server to which this instance has consented, and the claims that are over.
//!
//! A claim is the request of an instance to become the owner of the server, which grants its slots (rights to run
//! one request on it).

use std::collections::BTreeMap;

use crate::exchange::server::InstanceIncarnation;
use crate::message::ConsentedClaim;

/// Consents of this instance, and what it knows of the end of claims.
#[derive(Debug, Default)]
pub(super) struct Promises {
    /// The latest claim of each claimant to which this instance has consented and which may not be over.
    consented: BTreeMap<InstanceIncarnation, u64>,
    /// For each instance the number up to which its claims are over.
    over: BTreeMap<InstanceIncarnation, u64>,
}

impl Promises {
    /// Records a consent.
    pub(super) fn record(&mut self, claimant: &InstanceIncarnation, claim: u64) {
        let last = self.consented.entry(claimant.clone()).or_default();
        *last = (*last).max(claim);
    }

    /// Records that the claims of an instance up to `last_claim` are over.
    pub(super) fn record_over(&mut self, claimant: &InstanceIncarnation, last_claim: u64) {
        let over = self.over.entry(claimant.clone()).or_default();
        *over = (*over).max(last_claim);
        let over = *over;
        self.consented
            .retain(|known, claim| known != claimant || *claim > over);
    }

    /// Returns whether a claim is over.
    pub(super) fn is_over(&self, claimant: &InstanceIncarnation, claim: u64) -> bool {
        self.over.get(claimant).is_some_and(|over| *over >= claim)
    }

    /// Returns whether a claim of another instance than `own` that has this one's consent may not be over.
    pub(super) fn is_bound(&self, own: &InstanceIncarnation) -> bool {
        self.consented.keys().any(|claimant| claimant != own)
    }

    /// Forgets all consents but those to the owner that granted a standing lease: the other claims are over.
    pub(super) fn keep_only(&mut self, owner: &InstanceIncarnation) {
        self.consented.retain(|claimant, _| claimant == owner);
    }

    /// Forgets the claims and consents of incarnations that have stopped.
    pub(super) fn drop_stopped(&mut self, has_stopped: impl Fn(&InstanceIncarnation) -> bool) {
        self.consented.retain(|claimant, _| !has_stopped(claimant));
        self.over.retain(|claimant, _| !has_stopped(claimant));
    }

    /// Returns the claims to which this instance has consented and which may not be over.
    pub(super) fn consented(&self) -> Vec<ConsentedClaim> {
        let claims = self.consented.iter();
        let claims = claims.map(|(claimant, claim)| ConsentedClaim {
            claimant: claimant.instance.clone(),
            incarnation: claimant.incarnation,
            claim: *claim,
        });
        claims.collect()
    }
}
