//! What sets the end of a new owner's wait in the simulated zone.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time};

use super::availability::State;
use super::{Instance, SimulatedZone, slot_settings};

/// What sets the end of a new owner's wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub(crate) enum WaitReason {
    /// lease and margin, no earlier owner ever granted
    FirstLease,
    /// lease and margin after the claim
    Lease,
    /// unknown fence after the start
    UnknownFence,
    /// authority of a gone incarnation that still runs
    GoneRuns,
    /// authority of a gone incarnation, replaced by a known later one
    GoneReplaced,
    /// authority of a gone incarnation, replaced by an unknown later one
    GoneRestarted,
    /// authority of a gone incarnation that ended
    GoneEnded,
    /// reported in a consent
    ReportedByConsent,
}

/// An incarnation of an instance.
type Incarnation = (ids::InstanceId, u64);

/// A wait of one incarnation.
#[derive(Debug, Clone)]
struct Wait {
    until: time::TimeMs,
    reason: WaitReason,
    is_again: bool,
    is_handed_over: bool,
    /// The gone incarnation whose authority is waited for.
    gone: Option<Incarnation>,
}

/// The waits of all incarnations for all backend servers.
#[derive(Debug, Default)]
pub(super) struct Waits {
    waits: BTreeMap<(Incarnation, ids::BackendServerId), Wait>,
    /// The last wait for each backend server that was not handed over.
    origins: BTreeMap<ids::BackendServerId, Wait>,
    granted: BTreeSet<ids::BackendServerId>,
}

impl Waits {
    pub(super) fn record_granting(&mut self, server: &ids::BackendServerId) {
        if !self.granted.contains(server) {
            self.granted.insert(server.clone());
        }
    }

    /// Returns the state of a wait, whose reason is determined when the wait is first seen.
    pub(super) fn state(
        &mut self,
        zone: &SimulatedZone,
        name: &ids::InstanceId,
        instance: &Instance,
        server: &ids::BackendServerId,
    ) -> State {
        let until = instance.slots.waits_until(server).unwrap_or(zone.now);
        let key = ((name.clone(), instance.incarnation), server.clone());
        let before = self.waits.get(&key);
        let wait = match before {
            Some(wait) if wait.until == until => wait.clone(),
            _ => {
                let is_again = before.is_some();
                let wait = self.new_wait(zone, name, instance, server, until);
                let wait = Wait { is_again, ..wait };
                if !wait.is_handed_over {
                    self.origins.insert(server.clone(), wait.clone());
                }
                self.waits.insert(key, wait.clone());
                wait
            }
        };
        let reason = current_reason(zone, instance, &wait);
        match (wait.is_handed_over, wait.is_again) {
            (true, _) => State::WaitingHandedOver(reason),
            (false, true) => State::WaitingAgain(reason),
            (false, false) => State::Waiting(reason),
        }
    }

    fn new_wait(
        &self,
        zone: &SimulatedZone,
        name: &ids::InstanceId,
        instance: &Instance,
        server: &ids::BackendServerId,
        until: time::TimeMs,
    ) -> Wait {
        let settings = slot_settings();
        let mut wait = Wait {
            until,
            reason: WaitReason::ReportedByConsent,
            is_again: false,
            is_handed_over: !instance.slots.is_owner_by_consents(server),
            gone: None,
        };
        if wait.is_handed_over {
            let origin = self.origins.get(server);
            wait.reason = origin.map_or(wait.reason, |origin| origin.reason);
            wait.gone = origin.and_then(|origin| origin.gone.clone());
            return wait;
        }
        let last_use_ms = until.get() - settings.expiry_ms().get();
        let mut gone = instance.slots.roster().members.iter();
        let gone = gone.find_map(|member| {
            let gone = member.gone.filter(|gone| gone.from.get() == last_use_ms)?;
            Some((member.instance.clone(), gone.incarnation.get()))
        });
        let started_at = zone.trace.started_at(name, instance.incarnation);
        let unknown = started_at.map(|started_at| started_at + settings.unknown_fence_ms);
        if last_use_ms <= zone.now.get() {
            let has_granted = self.granted.contains(server);
            wait.reason = if has_granted {
                WaitReason::Lease
            } else {
                WaitReason::FirstLease
            };
        } else if unknown.is_some_and(|unknown| unknown.get() == last_use_ms) {
            wait.reason = WaitReason::UnknownFence;
        } else if gone.is_some() {
            wait.reason = WaitReason::GoneRuns;
            wait.gone = gone;
        }
        wait
    }
}

/// Returns the reason of a wait, with what has become of the gone incarnation by now.
fn current_reason(zone: &SimulatedZone, instance: &Instance, wait: &Wait) -> WaitReason {
    let Some((name, incarnation)) = &wait.gone else {
        return wait.reason;
    };
    let running = zone.instances.get(name).map(|gone| gone.incarnation);
    let mut members = instance.slots.roster().members.iter();
    let known = members.find(|member| member.instance == *name);
    let known = known.map(|member| member.incarnation.get());
    if running == Some(*incarnation) {
        WaitReason::GoneRuns
    } else if known > Some(*incarnation) {
        WaitReason::GoneReplaced
    } else if running > Some(*incarnation) {
        WaitReason::GoneRestarted
    } else {
        WaitReason::GoneEnded
    }
}
