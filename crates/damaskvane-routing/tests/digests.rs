//! Tests of the digests, membership updates and heartbeats from which instances learn of other zones' instances.
//!
//! An aggregator, one of a zone's first live instances, sends the zone's digests (lists of live instances) and updates
//! (heartbeats that report a start or a change of phase) to other zones.

mod support;

use std::collections::BTreeSet;
use std::net;

use damaskvane_core::ids;
use damaskvane_routing::peers::{
    Heartbeat, IncarnationKey, ListedInstance, Members, PeerSettings, Phase,
};
use support::{at, regions, zone};

/// Interval between two heartbeats of an instance.
const HEARTBEAT_MS: u64 = 800;

fn heartbeat(name: &str, zone_name: &str, serial: u64) -> Heartbeat {
    let port = name.bytes().map(u16::from).sum();
    Heartbeat {
        instance: name.parse().expect("a name"),
        incarnation: ids::Incarnation::new(1),
        serial,
        zone: zone(zone_name),
        client_address: ([10, 0, 0, 1], port).into(),
        peer_address: ([10, 0, 0, 2], port).into(),
        phase: Phase::Ready,
    }
}

fn members(name: &str, zone_name: &str) -> Members {
    let own = name.parse().expect("a name");
    let mut members = Members::new(PeerSettings::default(), own, regions());
    members.apply_heartbeat(at(0), heartbeat(name, zone_name, 1));
    members
}

fn is_usable(members: &Members, now_ms: u64, name: &str) -> bool {
    let mut usable = members.usable(at(now_ms));
    usable.any(|heartbeat| heartbeat.instance.as_str() == name)
}

/// Guards against heartbeats between all instances, which would be most of the traffic between zones in a large fleet.
/// Once all instances are known, an instance sends heartbeats within its zone only.
#[test]
fn heartbeats_stay_in_the_zone_once_all_instances_are_known() {
    let mut own = members("east-1", "east-a");
    own.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 1));
    own.apply_heartbeat(at(0), heartbeat("west-1", "west-a", 1));
    let within = own.recipients(at(100), 10);
    assert_eq!(within, [heartbeat("east-2", "east-a", 1).peer_address]);
}

/// Guards against a stop that other zones don't learn of. The last instance of a zone stops. Its zone has no aggregator
/// left to report the phase, so the instance must send its phase to all instances itself.
#[test]
fn a_change_of_phase_is_sent_to_all_instances() {
    let mut own = members("east-1", "east-a");
    own.apply_heartbeat(at(0), heartbeat("west-1", "west-a", 1));
    assert_eq!(own.recipients(at(100), 10).len(), 0);
    own.set_own_phase(at(200), Phase::Leaving);
    assert_eq!(own.recipients(at(300), 11).len(), 1);
}

fn listed(name: &str, zone_name: &str) -> ListedInstance {
    support::listed(&heartbeat(name, zone_name, 1))
}

/// Guards against an instance that stays unknown because it is listed and no heartbeat from it was received. Its own
/// zone sends it every heartbeat, as the zone's store changes come through its first instances; other zones send some.
#[test]
fn a_listed_instance_without_a_heartbeat_receives_heartbeats() {
    let mut own = members("east-1", "east-a");
    let (near, far) = (listed("near", "east-a"), listed("far", "west-a"));
    own.set_listed([near.clone(), far.clone()]);
    assert_eq!(own.recipients(at(100), 10), [near.peer_address]);
    let recipients = own.recipients(at(100), 16);
    assert_eq!(recipients, [far.peer_address, near.peer_address]);
}

/// Guards against a start of hundreds of instances that each send heartbeats to all others, which would be most of the
/// traffic between zones. An instance sends heartbeats to its zone, and an aggregator sends updates to other zones.
#[test]
fn an_aggregator_sends_the_starts_of_its_zone_to_other_zones() {
    let own_id = "east-1".parse().expect("a name");
    let mut own = Members::new(PeerSettings::default(), own_id, regions());
    let starting = Heartbeat {
        phase: Phase::Starting,
        ..heartbeat("east-1", "east-a", 1)
    };
    own.apply_heartbeat(at(0), starting);
    own.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 1));
    own.apply_heartbeat(at(0), heartbeat("west-1", "west-a", 1));
    assert_eq!(own.recipients(at(100), 2).len(), 1);
    own.set_own_phase(at(200), Phase::Ready);
    assert_eq!(own.recipients(at(200), 3).len(), 1);
    let mut west = members("west-1", "west-a");
    for heartbeat in own.take_membership_updates(at(300), 12) {
        west.apply_heartbeat(at(310), heartbeat);
    }
    assert!(is_usable(&west, 400, "east-1"));
    assert!(is_usable(&west, 400, "east-2"));
    assert!(own.take_membership_updates(at(500), 12).is_empty());
    own.apply_heartbeat(at(600), heartbeat("east-2", "east-a", 2));
    assert!(own.take_membership_updates(at(700), 12).is_empty());
    let leaving = Heartbeat {
        phase: Phase::Leaving,
        ..heartbeat("east-2", "east-a", 3)
    };
    own.apply_heartbeat(at(800), leaving);
    for heartbeat in own.take_membership_updates(at(900), 12) {
        west.apply_heartbeat(at(910), heartbeat);
    }
    assert!(!is_usable(&west, 950, "east-2"));
}

/// All instances of a small fleet, which exchange heartbeats and membership updates.
struct Fleet(Vec<(Members, net::SocketAddr)>);

const FLEET_ZONES: [&str; 3] = ["east-a", "east-b", "west-a"];
const FLEET_PER_ZONE: u16 = 4;

/// Returns the heartbeat of an instance of the fleet, with a peer address that no other instance has.
fn fleet_heartbeat(number: u16, serial: u64) -> Heartbeat {
    let zone_name = FLEET_ZONES[usize::from(number / FLEET_PER_ZONE)];
    Heartbeat {
        peer_address: ([10, 0, 0, 2], 1_000 + number).into(),
        ..heartbeat(&format!("{zone_name}-{number:02}"), zone_name, serial)
    }
}

impl Fleet {
    /// Returns a fleet of four instances in each of three zones, all ready and known to each other.
    fn ready() -> Self {
        let count = u16::try_from(FLEET_ZONES.len()).expect("a small number") * FLEET_PER_ZONE;
        let all: Vec<Heartbeat> = (0..count)
            .map(|number| fleet_heartbeat(number, 1))
            .collect();
        let instances = all.iter().map(|own| {
            let settings = PeerSettings::default();
            let mut members = Members::new(settings, own.instance.clone(), regions());
            for heartbeat in &all {
                members.apply_heartbeat(at(0), heartbeat.clone());
            }
            members.take_membership_updates(at(0), all.len());
            (members, own.peer_address)
        });
        Self(instances.collect())
    }

    fn at(&mut self, address: net::SocketAddr) -> Option<&mut Members> {
        let mut instances = self.0.iter_mut();
        let found = instances.find(|(_, at)| *at == address);
        found.map(|(members, _)| members)
    }

    /// Sends the next heartbeat of one instance, then the membership updates of every instance, which the recipients
    /// forward in their zones.
    fn send_heartbeat(&mut self, now_ms: u64, own: &Heartbeat) {
        let sender = self.at(own.peer_address).expect("an instance");
        for address in sender.recipients(at(now_ms), own.serial) {
            if let Some(members) = self.at(address) {
                members.apply_heartbeat(at(now_ms), own.clone());
            }
        }
        for index in 0..self.0.len() {
            let members = &mut self.0[index].0;
            let updates = members.take_membership_updates(at(now_ms), 12);
            for receiver in members.digest_recipients(at(now_ms)) {
                self.forward(now_ms, receiver, &updates);
            }
        }
    }

    fn forward(&mut self, now_ms: u64, receiver: net::SocketAddr, updates: &[Heartbeat]) {
        let Some(members) = self.at(receiver) else {
            return;
        };
        let recipients = members.digest_forward_recipients(at(now_ms));
        for address in recipients.into_iter().chain([receiver]) {
            for heartbeat in updates {
                if let Some(members) = self.at(address) {
                    members.apply_heartbeat(at(now_ms), heartbeat.clone());
                }
            }
        }
    }
}

/// Guards against callers of any zone that are sent to a stopping instance, or not sent to a ready one.
#[test]
fn every_instance_receives_a_change_of_phase_with_the_next_heartbeat() {
    for changing in [0, 3, 5, 10] {
        let mut fleet = Fleet::ready();
        for (now_ms, serial, phase) in [(200, 3, Phase::Leaving), (1_000, 4, Phase::Ready)] {
            // The instance is ready again in a later incarnation.
            let own = Heartbeat {
                phase,
                incarnation: ids::Incarnation::new(serial),
                ..fleet_heartbeat(changing, serial)
            };
            let members = fleet.at(own.peer_address).expect("an instance");
            members.apply_heartbeat(at(now_ms), own.clone());
            fleet.send_heartbeat(now_ms, &own);
            for (members, address) in &fleet.0 {
                let is_usable = is_usable(members, now_ms + 100, own.instance.as_str());
                assert_eq!(is_usable, phase == Phase::Ready, "{changing} at {address}");
            }
        }
    }
}

/// Guards against zones that exchange no message until an instance is ready, after all instances started at once.
#[test]
fn an_announcement_goes_to_the_first_listed_instances_of_each_other_zone() {
    let mut own = members("east-1", "east-a");
    let far = (0..8).map(|number| listed(&format!("far-{number}"), "west-a"));
    own.set_listed(far.chain([listed("near", "east-a")]));
    assert_eq!(own.recipients(at(100), 10).len(), 1);
    own.announce_to_other_zones();
    let receivers = PeerSettings::default().digest_receivers_per_zone;
    assert_eq!(own.recipients(at(200), 11).len(), 1 + receivers);
    assert_eq!(own.recipients(at(300), 12).len(), 1);
}

/// Guards against a ready instance that another zone doesn't use, because the heartbeat that reported its phase was
/// lost between the zones. Without the phase in the digest, callers there would not be sent to the instance until its
/// next heartbeat to all instances.
#[test]
fn a_digest_reports_that_an_instance_is_ready() {
    let mut west = members("west-1", "west-a");
    let starting = Heartbeat {
        phase: Phase::Starting,
        ..heartbeat("east-2", "east-a", 1)
    };
    west.apply_heartbeat(at(0), starting);
    assert!(!is_usable(&west, 100, "east-2"));
    let mut east = members("east-1", "east-a");
    east.apply_heartbeat(at(500), heartbeat("east-2", "east-a", 2));
    let digest = east.digest(at(600)).expect("an aggregator");
    west.apply_digest(at(650), &digest);
    assert!(is_usable(&west, 700, "east-2"));
}

/// Guards against live instances to which other zones send no clients: only instances of the same zone receive their
/// heartbeats, so the zone's digest must keep them usable in other zones.
#[test]
fn a_digest_keeps_the_instances_of_a_zone_usable() {
    let mut west = members("west-1", "west-a");
    west.apply_heartbeat(at(0), heartbeat("east-1", "east-a", 1));
    west.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 1));
    let mut east = members("east-1", "east-a");
    for round in 1..10 {
        let now_ms = round * HEARTBEAT_MS;
        east.apply_heartbeat(at(now_ms), heartbeat("east-1", "east-a", round + 1));
        east.apply_heartbeat(at(now_ms - 300), heartbeat("east-2", "east-a", round + 1));
        let digest = east.digest(at(now_ms)).expect("an aggregator");
        west.apply_digest(at(now_ms + 50), &digest);
    }
    assert!(is_usable(&west, 8_000, "east-2"));
    assert!(is_usable(&west, 8_000, "east-1"));
}

/// Guards against digests that keep an instance usable after the instance has lost power: clients that are sent to it
/// wait a second for each new connection.
#[test]
fn a_digest_does_not_keep_a_silent_instance_alive() {
    let mut west = members("west-1", "west-a");
    west.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 1));
    let mut east = members("east-1", "east-a");
    east.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 1));
    for round in 1..6 {
        let now_ms = round * HEARTBEAT_MS;
        east.apply_heartbeat(at(now_ms), heartbeat("east-1", "east-a", round + 1));
        let digest = east.digest(at(now_ms)).expect("an aggregator");
        west.apply_digest(at(now_ms + 50), &digest);
    }
    assert!(!is_usable(&west, 4_000, "east-2"));
}

/// Guards against a zone without digests: its two aggregators lose power at once. A third instance must take over
/// before other zones count all instances of the zone as dead.
#[test]
fn another_instance_becomes_aggregator_when_the_aggregators_are_silent() {
    let mut third = members("east-3", "east-a");
    third.apply_heartbeat(at(0), heartbeat("east-1", "east-a", 1));
    third.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 1));
    assert!(third.digest(at(100)).is_none());
    third.apply_heartbeat(at(1_600), heartbeat("east-3", "east-a", 3));
    assert!(third.digest(at(1_600)).is_some());
}

/// Guards against clients that are sent to a stopping instance: an older digest arrives after the heartbeat that
/// reported the stop.
#[test]
fn a_late_digest_does_not_make_a_leaving_instance_usable() {
    let mut east = members("east-1", "east-a");
    east.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 5));
    let digest = east.digest(at(100)).expect("an aggregator");
    let mut west = members("west-1", "west-a");
    west.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 4));
    let leaving = Heartbeat {
        phase: Phase::Leaving,
        ..heartbeat("east-2", "east-a", 6)
    };
    west.apply_heartbeat(at(150), leaving);
    west.apply_digest(at(200), &digest);
    assert!(!is_usable(&west, 300, "east-2"));
}

/// Guards against traffic that grows with the square of the fleet: digests go to the first few instances of each zone
/// only, and the aggregators of that zone forward them.
#[test]
fn a_digest_goes_to_a_few_instances_of_each_zone_and_is_forwarded_there() {
    let mut east = members("east-1", "east-a");
    let mut west = members("west-1", "west-a");
    for number in 1..8 {
        east.apply_heartbeat(at(0), heartbeat(&format!("west-{number}"), "west-a", 1));
        west.apply_heartbeat(at(0), heartbeat(&format!("west-{number}"), "west-a", 1));
    }
    let receivers = PeerSettings::default().digest_receivers_per_zone;
    assert_eq!(east.digest_recipients(at(100)).len(), receivers);
    assert_eq!(west.digest_forward_recipients(at(100)).len(), 6);
    let mut last = members("west-7", "west-a");
    last.apply_heartbeat(at(0), heartbeat("west-1", "west-a", 1));
    last.apply_heartbeat(at(0), heartbeat("west-2", "west-a", 1));
    assert!(last.digest_forward_recipients(at(100)).is_empty());
}

/// Guards against a zone that receives no digests and counts all other zones as dead: its instances that receive the
/// digests lose power, so the digests must go to the zone's next instances.
#[test]
fn digests_go_to_the_next_instances_of_a_zone_when_the_first_are_silent() {
    let mut east = members("east-1", "east-a");
    for number in 1..5 {
        east.apply_heartbeat(at(0), heartbeat(&format!("west-{number}"), "west-a", 1));
    }
    east.apply_heartbeat(at(4_000), heartbeat("west-4", "west-a", 2));
    let last = heartbeat("west-4", "west-a", 1).peer_address;
    east.apply_heartbeat(at(4_000), heartbeat("east-1", "east-a", 2));
    assert_eq!(east.digest_recipients(at(4_000)), [last]);
}

/// Guards against traffic that grows with the square of the fleet: among 60 instances in three zones, a round of
/// heartbeats and digests takes less than half as many messages as heartbeats to all instances would.
#[test]
fn a_large_fleet_sends_few_messages() {
    let zones = ["east-a", "east-b", "west-a"];
    let mut total = 0;
    let per_zone = 20;
    for own_zone in zones {
        for number in 0..per_zone {
            let mut own = members(&format!("{own_zone}-{number:02}"), own_zone);
            for other_zone in zones {
                for other in
                    (0..per_zone).filter(|other| other_zone != own_zone || *other != number)
                {
                    own.apply_heartbeat(
                        at(0),
                        heartbeat(&format!("{other_zone}-{other:02}"), other_zone, 1),
                    );
                }
            }
            total += own.recipients(at(100), 10).len();
            total += own.digest_recipients(at(100)).len();
        }
    }
    let to_all = 60 * 59;
    assert!(total < to_all / 2, "{total} of {to_all}");
}

/// Guards against a new instance in a running fleet that has received heartbeats of only a few instances of other
/// zones: it would send all callers of a lost zone to those few.
#[test]
fn an_aggregator_sends_the_instances_of_other_zones_to_a_new_instance() {
    let mut aggregator = members("east-1", "east-a");
    for number in 0..20 {
        aggregator.apply_heartbeat(at(0), heartbeat(&format!("west-{number}"), "west-a", 1));
    }
    let mut new_instance = members("east-2", "east-a");
    let starting = Heartbeat {
        phase: Phase::Starting,
        ..heartbeat("east-2", "east-a", 1)
    };
    aggregator.apply_heartbeat(at(100), starting.clone());
    for heartbeat in aggregator.heartbeats_for_new_instance(at(100), &starting) {
        new_instance.apply_heartbeat(at(110), heartbeat);
    }
    assert!((0..20).all(|number| is_usable(&new_instance, 200, &format!("west-{number}"))));
    let far = heartbeat("west-21", "west-a", 1);
    assert!(
        aggregator
            .heartbeats_for_new_instance(at(100), &far)
            .is_empty()
    );
}

/// Guards against two running instances with the same key, of which a digest would name only one: with ids of up to
/// three bytes, instances that started within the same few milliseconds had equal keys.
#[test]
fn instances_with_short_names_that_start_together_have_different_keys() {
    let starts = 1_764_000_000_000..1_764_000_000_300_u64;
    let key = |name: &str, started: u64| {
        let instance = name.parse().expect("a name");
        IncarnationKey::new(&instance, ids::Incarnation::new(started))
    };
    let keys: BTreeSet<_> = starts
        .flat_map(|started| ["e-1", "e-2", "e-3"].map(|name| key(name, started)))
        .collect();
    assert_eq!(keys.len(), 900);
}
