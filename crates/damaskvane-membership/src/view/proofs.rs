//! Proofs that a member is gone: that it has stopped, or has lost its right to own backend servers.

use damaskvane_core::ids;

use crate::state::{Gone, GoneProof};
use crate::view::event::ProbeOutcome;
use crate::view::membership::Membership;

impl Membership {
    pub(super) fn record_gone(
        &mut self,
        instance: &ids::InstanceId,
        incarnation: ids::Incarnation,
        proof: GoneProof,
    ) {
        let now = self.now;
        let Some(member) = self.members.get(instance) else {
            return;
        };
        let mut stopped_at = now + self.settings.list_lag_ms + self.max_authority(member);
        if self.is_unheard_newcomer(member) {
            // It owned nothing, so that only its leases have to expire.
            stopped_at = now;
        }
        let may_have_fenced_own = self.may_have_fenced_own(member);
        let could_fence = member.could_fence(&self.settings);
        let echoed_sent_at = member.echoed_sent_at;
        let Some(member) = self.members.get_mut(instance) else {
            return;
        };
        if member.incarnation > incarnation {
            return;
        }
        if member.is_gone() {
            member.record_end(proof, now);
            return;
        }
        let from = match proof {
            GoneProof::Refused => now,
            // The incarnation may act until it reads that it was fenced, or its authority ends because
            // it receives no echoes.
            GoneProof::Delisted | GoneProof::Fenced => stopped_at,
        };
        member.fence_requested_at = None;
        member.gone = Some(Gone {
            incarnation,
            proof,
            from,
            has_ended: proof == GoneProof::Refused,
        });
        if may_have_fenced_own && could_fence {
            self.require_newer_list();
        } else if may_have_fenced_own {
            self.record_lost_neighbour(echoed_sent_at);
        }
        self.plan_neighbours();
    }

    pub(super) fn apply_probe(
        &mut self,
        instance: &ids::InstanceId,
        incarnation: ids::Incarnation,
        outcome: ProbeOutcome,
    ) {
        if outcome == ProbeOutcome::Refused {
            self.record_gone(instance, incarnation, GoneProof::Refused);
        } else if let Some(member) = self.members.get_mut(instance) {
            member.answers_probes = outcome == ProbeOutcome::Answered;
        }
    }

    pub(super) fn handle_fence_failure(&mut self, instance: &ids::InstanceId) {
        let now = self.now;
        if let Some(member) = self.members.get_mut(instance) {
            member.fence_requested_at = None;
            member.retried_at = now;
        }
    }
}
