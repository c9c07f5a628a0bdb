//! Accounting of the time in which the simulated zone grants the slots of a backend server, and of the causes
//! why it doesn't.
//!
//! It only reads the zone's state after each step: it draws no random number and sends no message.

use std::collections::BTreeMap;
use std::fmt;

use damaskvane_core::{ids, time};
use damaskvane_slots::exchange;

use super::obstacle::Obstacle;
use super::wait::{WaitReason, Waits};
use super::{Instance, SimulatedZone};

/// The state of the zone for one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub(crate) enum State {
    /// granting
    Granting,
    /// no process
    NoProcess,
    /// all paused
    AllPaused,
    /// owner paused
    OwnerPaused,
    /// owner without authority
    OwnerWithoutAuthority,
    /// waiting: {0}
    Waiting(WaitReason),
    /// waiting again: {0}
    WaitingAgain(WaitReason),
    /// waiting, handed over: {0}
    WaitingHandedOver(WaitReason),
    /// claiming: {0}
    Claiming(Obstacle),
    /// unclaimed: {0}
    Unclaimed(Obstacle),
}

/// A state with the circumstances that decide which remedy applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Cause {
    pub(crate) state: State,
    /// Whether only one instance runs and is not paused.
    pub(crate) is_alone: bool,
    /// Whether an instance that runs and is not paused reaches the platform.
    pub(crate) has_platform: bool,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let company = if self.is_alone { "alone" } else { "others" };
        let platform = if self.has_platform {
            "platform"
        } else {
            "cut off"
        };
        write!(f, "{} [{company}, {platform}]", self.state)
    }
}

/// Time spent with one cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Spent {
    pub(crate) steps: u64,
    /// Steps in which no other instance could grant slots, and fewer slots were in use than the server has.
    pub(crate) free_steps: u64,
    /// Steps in which no other instance could grant slots, and no slot was in use.
    pub(crate) idle_steps: u64,
    pub(crate) episodes: u64,
}

/// A time without interruption in one cause.
#[derive(Debug, Clone)]
pub(crate) struct Episode {
    pub(crate) server: ids::BackendServerId,
    pub(crate) cause: Cause,
    pub(crate) from: time::TimeMs,
    pub(crate) until: time::TimeMs,
}

/// The time of a run by backend server and cause.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    pub(crate) steps: u64,
    /// Steps in which an instance ran and was not paused.
    pub(crate) runnable_steps: u64,
    /// Requests that ran on the first server in each of those steps, summed.
    pub(crate) request_steps: u64,
    /// Steps in which an instance ran and was not paused, and no request ran on the first server.
    pub(crate) unused_steps: u64,
    pub(crate) spent: BTreeMap<(ids::BackendServerId, Cause), Spent>,
    pub(crate) episodes: Vec<Episode>,
    waits: Waits,
}

impl Availability {
    pub(super) fn observe(&mut self, zone: &SimulatedZone) {
        self.steps += 1;
        let has_runnable = zone.runnable().next().is_some();
        self.runnable_steps += u64::from(has_runnable);
        if has_runnable {
            let running = zone.running(&super::server(0));
            self.request_steps += u64::from(running);
            self.unused_steps += u64::from(running == 0);
        }
        for server in zone.servers.keys() {
            let state = self.state(zone, server);
            let cause = Cause {
                state,
                is_alone: zone.runnable().count() == 1,
                has_platform: zone
                    .runnable()
                    .any(|(name, _)| !zone.without_platform.contains(name)),
            };
            self.add(zone, server, cause);
        }
    }

    fn add(&mut self, zone: &SimulatedZone, server: &ids::BackendServerId, cause: Cause) {
        let open = self
            .episodes
            .iter_mut()
            .rev()
            .find(|episode| episode.server == *server);
        let is_new = open.as_ref().is_none_or(|open| open.cause != cause);
        match open {
            Some(open) if !is_new => open.until = zone.now,
            _ => self.episodes.push(Episode {
                server: server.clone(),
                cause,
                from: zone.now,
                until: zone.now,
            }),
        }
        let spent = self.spent.entry((server.clone(), cause)).or_default();
        spent.steps += 1;
        let in_use = zone.slots_in_use(server);
        spent.free_steps += u64::from(in_use.is_some_and(|slots| slots < zone.servers[server]));
        spent.idle_steps += u64::from(in_use == Some(0));
        spent.episodes += u64::from(is_new);
    }

    fn state(&mut self, zone: &SimulatedZone, server: &ids::BackendServerId) -> State {
        if zone.instances.is_empty() {
            return State::NoProcess;
        }
        if zone.runnable().next().is_none() {
            return State::AllPaused;
        }
        let in_phase = |phase| {
            zone.runnable()
                .filter(move |(_, instance)| phase_of(zone, instance, server) == phase)
        };
        if in_phase(exchange::OwnerPhase::Serving).any(|(_, owner)| has_authority(zone, owner)) {
            self.waits.record_granting(server);
            return State::Granting;
        }
        let first = in_phase(exchange::OwnerPhase::Waiting)
            .min_by_key(|(_, instance)| instance.slots.waits_until(server));
        if let Some((name, instance)) = first {
            return self.waits.state(zone, name, instance, server);
        }
        if let Some((name, _)) = in_phase(exchange::OwnerPhase::Claiming).next() {
            return State::Claiming(Obstacle::of_claim(zone, name, server));
        }
        if in_phase(exchange::OwnerPhase::Serving).next().is_some() {
            return State::OwnerWithoutAuthority;
        }
        let has_paused_owner = zone
            .instances
            .values()
            .any(|instance| phase_of(zone, instance, server) == exchange::OwnerPhase::Serving);
        if has_paused_owner {
            return State::OwnerPaused;
        }
        State::Unclaimed(Obstacle::of_unclaimed(zone, server))
    }
}

pub(super) fn phase_of(
    zone: &SimulatedZone,
    instance: &Instance,
    server: &ids::BackendServerId,
) -> exchange::OwnerPhase {
    let mut status = instance.slots.status(zone.now);
    status
        .find(|status| status.server == server)
        .map_or(exchange::OwnerPhase::None, |status| status.phase)
}

pub(super) fn has_authority(zone: &SimulatedZone, instance: &Instance) -> bool {
    let until = instance.slots.roster().authority_until;
    until.is_some_and(|until| zone.now < until)
}

impl SimulatedZone {
    /// Returns the instances that run and are not paused.
    pub(super) fn runnable(&self) -> impl Iterator<Item = (&ids::InstanceId, &Instance)> {
        self.instances
            .iter()
            .filter(|(_, instance)| instance.paused_until <= self.now)
    }

    /// Returns the slots of a backend server that are in use; `None` while an instance could grant slots.
    ///
    /// In use are the slots that instances hold under leases and the requests of earlier incarnations.
    fn slots_in_use(&self, server: &ids::BackendServerId) -> Option<u32> {
        let has_owner = self.instances.values().any(|instance| {
            phase_of(self, instance, server) == exchange::OwnerPhase::Serving
                && (instance.paused_until > self.now || has_authority(self, instance))
        });
        if has_owner {
            return None;
        }
        let held = self.instances.values().flat_map(|instance| {
            let status = instance.slots.status(self.now);
            status.filter(|status| status.server == server)
        });
        let held: u32 = held.map(|status| status.held.get()).sum();
        let orphaned = self.requests.iter().filter(|request| {
            let instance = self.instances.get(&request.instance);
            let is_current =
                instance.is_some_and(|instance| instance.incarnation == request.incarnation);
            request.server == *server && request.ends_at > self.now && !is_current
        });
        Some(held + u32::try_from(orphaned.count()).expect("few"))
    }
}
