//! Where the own heartbeats go.

use std::collections::BTreeMap;
use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::listing::Listing;
use crate::peers::roster::{Member, Roster};
use crate::peers::{PeerSettings, Phase};

/// Whom an instance tells of itself.
#[derive(Debug)]
pub(super) struct Outreach {
    settings: PeerSettings,
    /// Where instances may be found before the platform's list was read.
    seeds: Vec<net::SocketAddr>,
    /// Whether the next heartbeat goes to listed instances of other zones that were never heard.
    greets_next: bool,
    /// When the own process last changed its phase.
    own_phase_at: Option<TimeMs>,
}

impl Outreach {
    pub(super) const fn new(settings: PeerSettings) -> Self {
        Self {
            settings,
            seeds: Vec::new(),
            greets_next: false,
            own_phase_at: None,
        }
    }

    pub(super) fn set_seeds(&mut self, seeds: impl IntoIterator<Item = net::SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
    }

    pub(super) const fn announce_to_other_zones(&mut self) {
        self.greets_next = true;
    }

    pub(super) const fn note_own_phase(&mut self, now: TimeMs) {
        self.own_phase_at = Some(now);
    }

    /// Where the heartbeat of this count goes.
    pub(super) fn recipients(
        &mut self,
        roster: &Roster,
        listing: &Listing,
        now: TimeMs,
        serial: u64,
    ) -> Vec<net::SocketAddr> {
        let is_to_all = self.is_to_all(roster, now, serial);
        let is_greeting = serial.is_multiple_of(self.settings.beats_between_greetings);
        let greets = core::mem::take(&mut self.greets_next) || is_greeting;
        let own_zone = roster.own_zone();
        let mut greeted: BTreeMap<&ids::AvailabilityZoneId, usize> = BTreeMap::new();
        let most = self.settings.digest_receivers_per_zone;
        let unheard = listing.unheard().filter(|listed| match &listed.zone {
            Some(zone) if Some(zone) != own_zone => {
                let count = greeted.entry(zone).or_default();
                *count += 1;
                is_to_all || (greets && *count <= most)
            }
            _ => true,
        });
        let mut recipients: Vec<_> = unheard.map(|listed| listed.peer_address).collect();
        let is_other = |member: &&Member| member.heartbeat.instance != *roster.own();
        if is_to_all {
            let heard = roster.members().filter(is_other);
            recipients.extend(heard.map(|member| member.heartbeat.peer_address));
        } else {
            let heard = roster.in_own_zone().filter(is_other);
            recipients.extend(heard.map(|member| member.heartbeat.peer_address));
        }
        recipients.extend(self.seeds_to_ask(roster, listing));
        recipients
    }

    /// The seeds, as long as neither the list nor a ready instance is known.
    fn seeds_to_ask(
        &self,
        roster: &Roster,
        listing: &Listing,
    ) -> impl Iterator<Item = net::SocketAddr> {
        let knows_ready = roster.members().any(|member| {
            member.heartbeat.instance != *roster.own() && member.heartbeat.phase == Phase::Ready
        });
        let own_address = roster.own_member().map(|own| own.heartbeat.peer_address);
        let is_asking = !listing.is_whole() && !knows_ready;
        let seeds = self.seeds.iter().copied().filter(move |_| is_asking);
        seeds.filter(move |seed| Some(*seed) != own_address)
    }

    fn is_to_all(&self, roster: &Roster, now: TimeMs, serial: u64) -> bool {
        let phase = roster.own_member().map(|own| own.heartbeat.phase);
        // Nobody may speak for the zone any more: who is the last one of it tells everybody itself that it leaves.
        let leaves_alone = phase == Some(Phase::Leaving)
            && self.own_phase_at.is_some_and(|at| {
                now.since(at).get() < self.settings.silence_ms && !has_ready(roster, now)
            });
        // One datagram a heartbeat on average, however large the fleet is.
        let fleet = u64::try_from(roster.len()).unwrap_or(u64::MAX);
        let repairs = self.settings.beats_between_repairs.max(fleet);
        leaves_alone || serial.is_multiple_of(repairs)
    }
}

/// Whether anybody of the own zone is ready.
fn has_ready(roster: &Roster, now: TimeMs) -> bool {
    let zone = roster.own_zone();
    zone.is_some_and(|zone| roster.alive_in(now, zone, Phase::Ready).next().is_some())
}
