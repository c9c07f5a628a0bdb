//! What instances of other zones hear of a zone through its digests.

mod support;

use std::net;

use damaskvane_core::ids;
use damaskvane_routing::peers::{Heartbeat, ListedInstance, Members, PeerSettings, Phase};
use support::{at, regions, zone};

/// The pause between two heartbeats of an instance.
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
    let name: ids::InstanceId = name.parse().expect("a name");
    let mut usable = members.usable(at(now_ms));
    usable.any(|heartbeat| heartbeat.instance == name)
}

/// Every instance tells every other one that it is alive, and most of a large fleet's bytes between zones are
/// heartbeats. Once all know each other, an instance sends them within its zone only.
#[test]
fn heartbeats_stay_in_the_zone_once_all_know_each_other() {
    let mut own = members("east-1", "east-a");
    own.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 1));
    own.apply_heartbeat(at(0), heartbeat("west-1", "west-a", 1));
    let within = own.recipients(at(100), 10);
    assert_eq!(within, [heartbeat("east-2", "east-a", 1).peer_address]);
}

/// Guards against the last instance of a zone that stops and whom nobody is left to speak for: it tells all itself.
#[test]
fn a_change_of_phase_is_told_to_all() {
    let mut own = members("east-1", "east-a");
    own.apply_heartbeat(at(0), heartbeat("west-1", "west-a", 1));
    assert_eq!(own.recipients(at(100), 10).len(), 0);
    own.set_own_phase(at(200), Phase::Leaving);
    assert_eq!(own.recipients(at(300), 11).len(), 1);
}

fn listed(name: &str, zone_name: &str) -> ListedInstance {
    ListedInstance {
        instance: name.parse().expect("a name"),
        peer_address: heartbeat(name, zone_name, 1).peer_address,
        zone: Some(zone(zone_name)),
    }
}

/// A listed instance was never heard: it may be one that has just started and knows nobody. One of the own
/// zone is told at once, since the zone's changes of the store come through its first instances; one of
/// another zone now and then.
#[test]
fn an_instance_that_was_never_heard_gets_heartbeats() {
    let mut own = members("east-1", "east-a");
    let (near, far) = (listed("near", "east-a"), listed("far", "west-a"));
    own.set_listed([near.clone(), far.clone()]);
    assert_eq!(own.recipients(at(100), 10), [near.peer_address]);
    let greeted = own.recipients(at(100), 16);
    assert_eq!(greeted, [far.peer_address, near.peer_address]);
}

/// Guards against a start of hundreds of instances in which each tells all others, most of a large fleet's bytes
/// between zones: an instance tells its own zone, and one that speaks for that zone tells the others.
#[test]
fn a_start_is_told_to_other_zones_by_who_speaks_for_the_own_one() {
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

/// Every instance of a small fleet, with the ways of news between them.
struct Fleet(Vec<(Members, net::SocketAddr)>);

const FLEET_ZONES: [&str; 3] = ["east-a", "east-b", "west-a"];
const FLEET_PER_ZONE: u16 = 4;

/// An instance of the fleet, at an address of its own.
fn of_fleet(number: u16, serial: u64) -> Heartbeat {
    let zone_name = FLEET_ZONES[usize::from(number / FLEET_PER_ZONE)];
    Heartbeat {
        peer_address: ([10, 0, 0, 2], 1_000 + number).into(),
        ..heartbeat(&format!("{zone_name}-{number:02}"), zone_name, serial)
    }
}

impl Fleet {
    /// Four instances in each of three zones, all ready and known to each other.
    fn ready() -> Self {
        let count = u16::try_from(FLEET_ZONES.len()).expect("few") * FLEET_PER_ZONE;
        let all: Vec<Heartbeat> = (0..count).map(|number| of_fleet(number, 1)).collect();
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

    /// One instance sends its next heartbeat; then each tells its news, which is handed on in the zones it reaches.
    fn beat(&mut self, now_ms: u64, own: &Heartbeat) {
        let sender = self.at(own.peer_address).expect("an instance");
        for address in sender.recipients(at(now_ms), own.serial) {
            if let Some(members) = self.at(address) {
                members.apply_heartbeat(at(now_ms), own.clone());
            }
        }
        for index in 0..self.0.len() {
            let members = &mut self.0[index].0;
            let news = members.take_membership_updates(at(now_ms), 12);
            for receiver in members.digest_recipients(at(now_ms)) {
                self.hand_on(now_ms, receiver, &news);
            }
        }
    }

    fn hand_on(&mut self, now_ms: u64, receiver: net::SocketAddr, news: &[Heartbeat]) {
        let Some(members) = self.at(receiver) else {
            return;
        };
        let listeners = members.digest_forward_recipients(at(now_ms));
        for address in listeners.into_iter().chain([receiver]) {
            for heartbeat in news {
                if let Some(members) = self.at(address) {
                    members.apply_heartbeat(at(now_ms), heartbeat.clone());
                }
            }
        }
    }
}

/// Guards against callers who are sent to an instance that stops, or not to one that is ready, in any zone.
#[test]
fn every_instance_hears_of_a_change_of_phase_with_the_next_heartbeat() {
    for changing in [0, 3, 5, 10] {
        let mut fleet = Fleet::ready();
        for (now_ms, serial, phase) in [(200, 3, Phase::Leaving), (1_000, 4, Phase::Ready)] {
            // It is ready again in a later start.
            let own = Heartbeat {
                phase,
                incarnation: ids::Incarnation::new(serial),
                ..of_fleet(changing, serial)
            };
            let members = fleet.at(own.peer_address).expect("an instance");
            members.apply_heartbeat(at(now_ms), own.clone());
            fleet.beat(now_ms, &own);
            for (members, address) in &fleet.0 {
                let is_usable = is_usable(members, now_ms + 100, own.instance.as_str());
                assert_eq!(is_usable, phase == Phase::Ready, "{changing} at {address}");
            }
        }
    }
}

/// Guards against a fleet that starts together and whose zones hear nothing of each other until one of them is ready.
#[test]
fn a_greeting_goes_to_the_first_listed_instances_of_each_other_zone() {
    let mut own = members("east-1", "east-a");
    let far = (0..8).map(|number| listed(&format!("far-{number}"), "west-a"));
    own.set_listed(far.chain([listed("near", "east-a")]));
    assert_eq!(own.recipients(at(100), 10).len(), 1);
    own.announce_to_other_zones();
    let receivers = PeerSettings::default().digest_receivers_per_zone;
    assert_eq!(own.recipients(at(200), 11).len(), 1 + receivers);
    assert_eq!(own.recipients(at(300), 12).len(), 1);
}

/// The heartbeat with which an instance told that it is ready was lost on its way to another zone. The digest
/// says so too, or callers there would go without the instance until the next heartbeat to all.
#[test]
fn a_digest_tells_that_an_instance_is_ready() {
    let mut west = members("west-1", "west-a");
    let starting = Heartbeat {
        phase: Phase::Starting,
        ..heartbeat("east-2", "east-a", 1)
    };
    west.apply_heartbeat(at(0), starting);
    assert!(!is_usable(&west, 100, "east-2"));
    let mut east = members("east-1", "east-a");
    east.apply_heartbeat(at(500), heartbeat("east-2", "east-a", 2));
    let digest = east.digest(at(600)).expect("it speaks for its zone");
    west.apply_digest(at(650), &digest);
    assert!(is_usable(&west, 700, "east-2"));
}

/// An instance is alive and heard by its own zone only. The digest of its zone keeps it known in the others:
/// without that they would send no client there.
#[test]
fn a_digest_keeps_the_instances_of_a_zone_known() {
    let mut west = members("west-1", "west-a");
    west.apply_heartbeat(at(0), heartbeat("east-1", "east-a", 1));
    west.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 1));
    let mut east = members("east-1", "east-a");
    for beat in 1..10 {
        let now_ms = beat * HEARTBEAT_MS;
        east.apply_heartbeat(at(now_ms), heartbeat("east-1", "east-a", beat + 1));
        east.apply_heartbeat(at(now_ms - 300), heartbeat("east-2", "east-a", beat + 1));
        let digest = east.digest(at(now_ms)).expect("it speaks for its zone");
        west.apply_digest(at(now_ms + 50), &digest);
    }
    assert!(is_usable(&west, 8_000, "east-2"));
    assert!(is_usable(&west, 8_000, "east-1"));
}

/// An instance loses power. Digests of its zone still come, and must not make it look alive: clients that are
/// sent there wait a second for each new connection.
#[test]
fn a_digest_does_not_keep_a_silent_instance_alive() {
    let mut west = members("west-1", "west-a");
    west.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 1));
    let mut east = members("east-1", "east-a");
    east.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 1));
    for beat in 1..6 {
        let now_ms = beat * HEARTBEAT_MS;
        east.apply_heartbeat(at(now_ms), heartbeat("east-1", "east-a", beat + 1));
        let digest = east.digest(at(now_ms)).expect("it speaks for its zone");
        west.apply_digest(at(now_ms + 50), &digest);
    }
    assert!(!is_usable(&west, 4_000, "east-2"));
}

/// The two instances that speak for a zone lose power at once. A third one takes over before the other
/// zones take all of that zone for dead.
#[test]
fn another_instance_speaks_for_a_zone_when_its_speakers_are_silent() {
    let mut third = members("east-3", "east-a");
    third.apply_heartbeat(at(0), heartbeat("east-1", "east-a", 1));
    third.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 1));
    assert!(third.digest(at(100)).is_none());
    third.apply_heartbeat(at(1_600), heartbeat("east-3", "east-a", 3));
    assert!(third.digest(at(1_600)).is_some());
}

/// A digest of before arrives after the word that an instance stops. It must not be named again.
#[test]
fn a_late_digest_does_not_revive_a_leaving_instance() {
    let mut east = members("east-1", "east-a");
    east.apply_heartbeat(at(0), heartbeat("east-2", "east-a", 5));
    let digest = east.digest(at(100)).expect("it speaks for its zone");
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

/// Digests to every instance of every zone would grow with the square of the fleet. They go to the first few of
/// each zone, and whoever speaks for a zone hands on what arrives.
#[test]
fn a_digest_goes_to_a_few_of_each_zone_and_is_handed_on_there() {
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

/// The instances of a zone that get digests lose power. The next ones must get them, or that zone would take all
/// others for dead.
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

/// A fleet of 60 instances in three zones. Heartbeats to all would grow with the square of the fleet; a round
/// takes less than half as many messages.
#[test]
fn messages_of_a_large_fleet_stay_few() {
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

/// Guards against an instance that starts in a running fleet and knows but a few instances of other zones: callers of a
/// lost zone that ask it would all be sent to those.
#[test]
fn who_speaks_for_a_zone_introduces_a_new_instance_of_it_to_the_other_zones() {
    let mut speaker = members("east-1", "east-a");
    for number in 0..20 {
        speaker.apply_heartbeat(at(0), heartbeat(&format!("west-{number}"), "west-a", 1));
    }
    let mut new = members("east-2", "east-a");
    let starting = Heartbeat {
        phase: Phase::Starting,
        ..heartbeat("east-2", "east-a", 1)
    };
    speaker.apply_heartbeat(at(100), starting.clone());
    for heartbeat in speaker.heartbeats_for_new_instance(at(100), &starting) {
        new.apply_heartbeat(at(110), heartbeat);
    }
    assert!((0..20).all(|number| is_usable(&new, 200, &format!("west-{number}"))));
    let far = heartbeat("west-21", "west-a", 1);
    assert!(
        speaker
            .heartbeats_for_new_instance(at(100), &far)
            .is_empty()
    );
}
