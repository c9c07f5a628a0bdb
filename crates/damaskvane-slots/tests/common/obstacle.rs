//! Obstacles that keep an instance of the simulated zone from claiming a backend server, or from completing a claim.

use damaskvane_core::ids;

use super::SimulatedZone;
use super::availability::has_authority;

/// Why an instance does not answer another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub(crate) enum Silence {
    /// dead without proof
    Dead,
    /// paused
    Paused,
    /// cut
    Cut,
    /// unaware of the claimant
    Unaware,
    /// of another opinion
    Disagrees,
    /// message on its way or lost
    InFlight,
}

/// Why no instance claims a backend server, or why a claim is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub(crate) enum Obstacle {
    /// consent missing, {0}
    Consent(Silence),
    /// no authority
    NoAuthority,
    /// may not take over
    MayNotTakeOver,
    /// assigned instance not listed
    NotListed,
    /// acknowledgement missing, {0}
    Acknowledgement(Silence),
    /// assigned instance {0}
    Assigned(Silence),
    /// no candidate
    NoCandidate,
    /// other
    Other,
}

impl Obstacle {
    pub(super) fn of_claim(
        zone: &SimulatedZone,
        name: &ids::InstanceId,
        server: &ids::BackendServerId,
    ) -> Self {
        let instance = &zone.instances[name];
        let missing = instance.slots.missing_consents(server);
        let silence = missing
            .iter()
            .map(|other| Silence::between(zone, name, other, server));
        if let Some(silence) = silence.min() {
            return Self::Consent(silence);
        }
        if !has_authority(zone, instance) {
            return Self::NoAuthority;
        }
        if !instance.slots.roster().may_take_over {
            return Self::MayNotTakeOver;
        }
        Self::Other
    }

    pub(super) fn of_unclaimed(zone: &SimulatedZone, server: &ids::BackendServerId) -> Self {
        let mut running = zone.runnable();
        let assigned = running.find(|(_, instance)| instance.slots.is_assigned(server));
        if let Some((name, _)) = assigned {
            return Self::of_assigned(zone, name, server);
        }
        let others = zone.runnable().filter_map(|(name, instance)| {
            let assigned = instance.slots.assigned_owner(server)?;
            Some(Silence::between(zone, name, &assigned, server))
        });
        others.min().map_or(Self::NoCandidate, Self::Assigned)
    }

    /// Returns why an instance does not claim a backend server that it considers its own.
    fn of_assigned(
        zone: &SimulatedZone,
        name: &ids::InstanceId,
        server: &ids::BackendServerId,
    ) -> Self {
        let roster = zone.instances[name].slots.roster();
        if !roster.is_listed {
            return Self::NotListed;
        }
        let unacknowledged = roster
            .members
            .iter()
            .filter(|member| member.gone.is_none() && !member.has_acknowledged_own);
        let silence = unacknowledged
            .map(|member| Silence::between(zone, name, &member.instance, server))
            .min();
        silence.map_or(Self::Other, Self::Acknowledgement)
    }
}

impl Silence {
    fn between(
        zone: &SimulatedZone,
        name: &ids::InstanceId,
        other: &ids::InstanceId,
        server: &ids::BackendServerId,
    ) -> Self {
        let Some(peer) = zone.instances.get(other) else {
            return Self::Dead;
        };
        let incarnation = zone.instances[name].incarnation;
        let is_aware = peer
            .slots
            .roster()
            .members
            .iter()
            .any(|member| member.instance == *name && member.incarnation.get() >= incarnation);
        if peer.paused_until > zone.now {
            Self::Paused
        } else if zone.is_cut(name, other) || zone.is_cut(other, name) {
            Self::Cut
        } else if !is_aware {
            Self::Unaware
        } else if peer.slots.assigned_owner(server).as_ref() != Some(name) {
            Self::Disagrees
        } else {
            Self::InFlight
        }
    }
}
