//! Selects the instances to which this instance sends its heartbeats.
//!
//! The platform's list names the instances that are registered in the store. Seeds are configured addresses of
//! instances, used until the list was read. An aggregator is an instance that sends messages to other zones for its own
//! zone.

use std::collections::BTreeMap;
use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::instance_list::InstanceList;
use crate::peers::member_table::{Member, MemberTable};
use crate::peers::{PeerSettings, Phase};

/// State that decides which instances receive the next heartbeat.
#[derive(Debug)]
pub(super) struct HeartbeatTargets {
    settings: PeerSettings,
    /// Addresses to which heartbeats are sent while the platform's list was not read and no ready instance is known.
    seeds: Vec<net::SocketAddr>,
    /// Whether the next heartbeat also goes to the first listed instances of other zones from which this instance has
    /// received no heartbeat.
    announces_next: bool,
    /// Time of this instance's last change of phase, or `None` if the phase has not changed.
    own_phase_changed_at: Option<TimeMs>,
}

impl HeartbeatTargets {
    pub(super) const fn new(settings: PeerSettings) -> Self {
        Self {
            settings,
            seeds: Vec::new(),
            announces_next: false,
            own_phase_changed_at: None,
        }
    }

    pub(super) fn set_seeds(&mut self, seeds: impl IntoIterator<Item = net::SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
    }

    pub(super) const fn announce_to_other_zones(&mut self) {
        self.announces_next = true;
    }

    pub(super) const fn record_own_phase_change(&mut self, now: TimeMs) {
        self.own_phase_changed_at = Some(now);
    }

    /// Returns the addresses to which the heartbeat with this serial number is sent.
    pub(super) fn recipients(
        &mut self,
        members: &MemberTable,
        list: &InstanceList,
        now: TimeMs,
        serial: u64,
    ) -> Vec<net::SocketAddr> {
        let is_to_all = self.is_to_all(members, now, serial);
        let is_announcement_due =
            serial.is_multiple_of(self.settings.heartbeats_between_announcements);
        let is_announcing = core::mem::take(&mut self.announces_next) || is_announcement_due;
        let own_zone = members.own_zone();
        let mut announced: BTreeMap<&ids::AvailabilityZoneId, usize> = BTreeMap::new();
        let max_per_zone = self.settings.digest_receivers_per_zone;
        let without_heartbeat = list
            .without_heartbeat()
            .filter(|listed| match &listed.zone {
                Some(zone) if Some(zone) != own_zone => {
                    let count = announced.entry(zone).or_default();
                    *count += 1;
                    is_to_all || (is_announcing && *count <= max_per_zone)
                }
                _ => true,
            });
        let mut recipients: Vec<_> = without_heartbeat
            .map(|listed| listed.peer_address)
            .collect();
        let is_other = |member: &&Member| member.heartbeat.instance != *members.own();
        if is_to_all {
            let others = members.members().filter(is_other);
            recipients.extend(others.map(|member| member.heartbeat.peer_address));
        } else {
            let others = members.in_own_zone().filter(is_other);
            recipients.extend(others.map(|member| member.heartbeat.peer_address));
        }
        recipients.extend(self.seeds_in_use(members, list));
        recipients
    }

    /// Returns the seed addresses, or none once the platform's list was read or another ready instance is known.
    fn seeds_in_use(
        &self,
        members: &MemberTable,
        list: &InstanceList,
    ) -> impl Iterator<Item = net::SocketAddr> {
        let has_ready_peer = members.members().any(|member| {
            member.heartbeat.instance != *members.own() && member.heartbeat.phase.accepts_clients()
        });
        let own_address = members.own_member().map(|own| own.heartbeat.peer_address);
        let needs_seeds = !list.is_complete() && !has_ready_peer;
        let seeds = self.seeds.iter().copied().filter(move |_| needs_seeds);
        seeds.filter(move |seed| Some(*seed) != own_address)
    }

    fn is_to_all(&self, members: &MemberTable, now: TimeMs, serial: u64) -> bool {
        let phase = members.own_member().map(|own| own.heartbeat.phase);
        // Without a ready instance the zone has no aggregator, so the last instance that leaves the zone sends its
        // heartbeats to the instances of all zones itself.
        let is_last_leaving = phase == Some(Phase::Leaving)
            && self.own_phase_changed_at.is_some_and(|at| {
                now.since(at).get() < self.settings.heartbeat_timeout_ms && !has_ready(members, now)
            });
        // Sending to all instances adds one datagram per heartbeat on average at most, for any number of instances.
        let fleet = u64::try_from(members.len()).unwrap_or(u64::MAX);
        let broadcast_interval = self.settings.heartbeats_between_broadcasts.max(fleet);
        is_last_leaving || serial.is_multiple_of(broadcast_interval)
    }
}

/// Returns whether this instance's zone has a live instance in the phase ready.
fn has_ready(members: &MemberTable, now: TimeMs) -> bool {
    let zone = members.own_zone();
    zone.is_some_and(|zone| members.accepting_in(now, zone).next().is_some())
}
