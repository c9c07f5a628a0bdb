//! Distribution of heads when the store, its watch, peers or messages fail.

mod support;

use damaskvane_config::relay::{Action, Event, Member, Relay, RelaySettings, Source, View};
use damaskvane_core::ids::InstanceId;
use damaskvane_core::time::TimeMs;
use support::{Store, ZONES};

fn member(instance: &str) -> Member {
    let (zone, _) = instance
        .rsplit_once('-')
        .expect("instance id of the form zone-number");
    Member {
        instance: instance.parse().expect("valid instance id"),
        availability_zone: zone.parse().expect("valid zone id"),
    }
}

fn id(instance: &str) -> InstanceId {
    member(instance).instance
}

fn peer(instance: &str) -> Source {
    Source::Peer(id(instance))
}

fn view(instances: &[&str]) -> Event {
    Event::Membership(View {
        members: instances.iter().map(|instance| member(instance)).collect(),
    })
}

fn at(ms: u64) -> TimeMs {
    TimeMs::new(ms)
}

fn version_reported(from: &str, version: u64) -> Event {
    Event::VersionReported {
        from: id(from),
        version: damaskvane_core::ids::ConfigVersion::new(version),
        state_hash: None,
    }
}

fn head(store: &Store, from: Source) -> Event {
    let bytes = store.head().encode().into();
    Event::Head { from, bytes }
}

fn chunks(store: &Store, from: Source) -> Event {
    let chunks = store.chunks();
    Event::Chunks { from, chunks }
}

/// Returns a relay of zone sask-a with two peers in that zone and three in two other zones.
fn relay() -> Relay {
    let settings = RelaySettings {
        relays_per_zone: 9,
        ..RelaySettings::default()
    };
    let mut relay = Relay::new(member("sask-a-1"), settings, 7);
    let others = ["sask-a-2", "sask-a-3", "mb-a-1", "mb-a-2", "ab-a-1"];
    let actions = relay.handle(at(0), view(&others));
    assert!(actions.contains(&Action::WatchStore));
    relay
}

fn announced_to(actions: &[Action]) -> Vec<String> {
    let to = actions.iter().filter_map(|action| match action {
        Action::Announce { to, .. } => Some(to.to_string()),
        _ => None,
    });
    to.collect()
}

fn deliver_head_and_chunks(
    relay: &mut Relay,
    store: &Store,
    now: u64,
    from: &Source,
) -> Vec<Action> {
    let mut actions = relay.handle(at(now), head(store, from.clone()));
    actions.extend(relay.handle(at(now), chunks(store, from.clone())));
    actions
}

#[test]
fn a_head_from_the_store_is_announced_to_the_zone_and_one_instance_per_other_zone() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    let actions = deliver_head_and_chunks(&mut relay, &store, 10, &Source::Store);
    let announced = announced_to(&actions);
    assert_eq!(announced.len(), 4, "{announced:?}");
    assert!(
        announced.contains(&"sask-a-2".to_owned()) && announced.contains(&"sask-a-3".to_owned())
    );
    assert!(announced.contains(&"ab-a-1".to_owned()));
}

#[test]
fn a_head_from_another_zone_is_announced_only_to_its_sender_and_the_zone() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    let actions = deliver_head_and_chunks(&mut relay, &store, 10, &peer("mb-a-1"));
    let mut announced = announced_to(&actions);
    announced.sort();
    assert_eq!(
        announced,
        ["mb-a-1", "sask-a-2", "sask-a-3"],
        "the sender gets an announcement too"
    );
}

/// An announcement is lost. Without a repetition the peer would serve the old state until a
/// heartbeat reports the new version, later than the guaranteed number of seconds.
#[test]
fn an_announcement_is_repeated_until_the_peer_reports_the_version() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    deliver_head_and_chunks(&mut relay, &store, 10, &Source::Store);
    relay.handle(at(20), version_reported("sask-a-2", 1));
    let again = announced_to(&relay.handle(at(400), Event::Tick));
    assert!(again.contains(&"sask-a-3".to_owned()));
    assert!(!again.contains(&"sask-a-2".to_owned()));
    let total: usize = (0..100)
        .map(|step| announced_to(&relay.handle(at(500 + step * 100), Event::Tick)).len())
        .sum();
    assert!(
        total <= 9,
        "announcements to a crashed instance must end: {total}"
    );
}

/// The watch's connection is open, but a network device in between has lost its state. Without
/// reads of the head the relay would miss all later tickets.
#[test]
fn a_relay_whose_watch_reports_nothing_still_reads_the_head() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    deliver_head_and_chunks(&mut relay, &store, 300, &Source::Store);
    let from = Source::Store;
    let read = Action::FetchHead { from };
    let reads = (1..=120)
        .filter(|second| {
            let actions = relay.handle(at(second * 1_000), Event::Tick);
            let is_read = actions.contains(&read);
            if is_read {
                relay.handle(at(second * 1_000), head(&store, Source::Store));
            }
            is_read
        })
        .count();
    assert!((4..=9).contains(&reads), "{reads} reads in two minutes");
}

/// The watch fires, but the read returns the head from before the write. Without another read the
/// zone would keep the old head until the next poll.
#[test]
fn a_stale_read_after_the_watch_fired_is_repeated() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    deliver_head_and_chunks(&mut relay, &store, 300, &Source::Store);
    let from = Source::Store;
    let read = Action::FetchHead { from };
    relay.handle(at(310), head(&store, Source::Store));
    assert!(relay.handle(at(1_000), Event::WatchFired).contains(&read));
    relay.handle(at(1_010), head(&store, Source::Store));
    let again = (1..=6).any(|step| {
        let actions = relay.handle(at(1_010 + step * 50), Event::Tick);
        actions.contains(&read)
    });
    assert!(again);
}

/// An instance is replaced while the store is down. The new instance must get its configuration
/// from its peers.
#[test]
fn an_instance_started_during_an_outage_applies_the_highest_head_of_its_peers() {
    let mut store = Store::default();
    store.accept(ZONES);
    store.accept("[service.logbook]\n");
    let mut relay = relay();
    relay.handle(
        at(1),
        Event::FetchFailed {
            from: Source::Store,
        },
    );
    relay.handle(at(2), version_reported("sask-a-2", 1));
    relay.handle(
        at(3),
        Event::FetchFailed {
            from: peer("sask-a-2"),
        },
    );
    let actions = relay.handle(at(4), version_reported("mb-a-1", 2));
    let from = peer("mb-a-1");
    assert!(actions.contains(&Action::FetchHead { from }));
    deliver_head_and_chunks(&mut relay, &store, 5, &peer("mb-a-1"));
    assert_eq!(relay.applier().version().get(), 2);
}

/// The store takes seconds for each response. A fetch from a peer that has the head must not wait
/// for the store.
#[test]
fn a_slow_store_does_not_delay_a_fetch_from_a_peer() {
    let mut relay = relay();
    let from = Source::Store;
    let started = (0..20).any(|step| {
        let actions = relay.handle(at(step * 100), Event::Tick);
        actions.contains(&Action::FetchHead { from: from.clone() })
    });
    assert!(started);
    let actions = relay.handle(at(2_001), version_reported("sask-a-2", 1));
    let from = peer("sask-a-2");
    assert!(actions.contains(&Action::FetchHead { from }));
}

/// The peer that sent a head is killed before it has sent the chunks.
#[test]
fn chunks_of_a_killed_peer_are_fetched_from_another() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    relay.handle(at(1), version_reported("sask-a-2", 1));
    relay.handle(at(2), head(&store, peer("sask-a-2")));
    relay.handle(at(3), version_reported("sask-a-3", 1));
    let from = peer("sask-a-3");
    let next = Action::FetchHead { from };
    let is_fetched = (1..=5).any(|step| relay.handle(at(step * 100), Event::Tick).contains(&next));
    assert!(is_fetched);
    deliver_head_and_chunks(&mut relay, &store, 600, &peer("sask-a-3"));
    assert_eq!(relay.applier().version().get(), 1);
}

/// All chunks together exceed one message, so a peer sends some of them at a time. If an incomplete
/// response counted as a failure, a large configuration could never be fetched from a peer.
#[test]
fn remaining_chunks_are_fetched_from_the_same_peer() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    relay.handle(at(1), version_reported("sask-a-2", 1));
    relay.handle(at(2), head(&store, peer("sask-a-2")));
    let all = store.chunks();
    let mut further_fetches = 0;
    for (index, chunk) in all.iter().enumerate() {
        let chunks = vec![chunk.clone()];
        let from = peer("sask-a-2");
        let actions = relay.handle(at(3), Event::Chunks { from, chunks });
        let remaining = all.len() - index - 1;
        let is_further_fetch = |action: &Action| matches!(action, Action::FetchChunks { from, hashes } if *from == peer("sask-a-2") && hashes.len() == remaining);
        further_fetches += usize::from(actions.iter().any(is_further_fetch));
    }
    assert_eq!(further_fetches, all.len() - 1);
    assert_eq!(relay.applier().version().get(), 1);
    let chunks = vec![all[0].clone(), all[0].clone()];
    let from = peer("sask-a-2");
    let actions = relay.handle(at(4), Event::Chunks { from, chunks });
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::FetchChunks { .. }))
    );
}

/// An instance resumes after a pause and reports an old version.
#[test]
fn an_instance_that_reports_an_old_version_gets_an_announcement() {
    let mut store = Store::default();
    store.accept(ZONES);
    store.accept("[service.logbook]\n");
    let mut relay = relay();
    deliver_head_and_chunks(&mut relay, &store, 10, &Source::Store);
    for step in 1..100 {
        relay.handle(at(step * 100), Event::Tick);
    }
    let announced = announced_to(&relay.handle(at(11_000), version_reported("ab-a-1", 1)));
    assert_eq!(announced, ["ab-a-1"]);
}

/// A peer reports a version whose head it can't send. If each report led to a fetch, the fetches
/// would never end.
#[test]
fn a_reported_version_without_its_head_is_not_fetched_again() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    deliver_head_and_chunks(&mut relay, &store, 10, &Source::Store);
    relay.handle(at(20), version_reported("mb-a-1", 1_000_000));
    relay.handle(at(30), head(&store, peer("mb-a-1")));
    let from = peer("mb-a-1");
    let fetch = Action::FetchHead { from };
    let fetches = (1..100)
        .filter(|step| relay.handle(at(step * 100), Event::Tick).contains(&fetch))
        .count();
    assert_eq!(fetches, 0);
}

/// The number of store reads must not grow with the fleet: without changes only relays read, for
/// any number of instances in a zone.
#[test]
fn store_reads_of_an_idle_zone_do_not_grow_with_its_instances() {
    let reads = [2, 4, 20].map(idle_store_reads);
    assert!(reads[0] > 0);
    assert_eq!(reads[1].abs_diff(reads[0]), 0, "{reads:?}");
    assert!(reads[2] <= reads[0] + reads[0] / 10, "{reads:?}");
}

fn idle_store_reads(instances: usize) -> usize {
    let mut store = Store::default();
    store.accept(ZONES);
    let names: Vec<String> = (0..instances).map(|number| format!("z-{number}")).collect();
    let mut reads = 0;
    for name in &names {
        let others = names.iter().filter(|other| *other != name);
        let others: Vec<&str> = others.map(String::as_str).collect();
        let mut relay = Relay::new(member(name), RelaySettings::default(), 7);
        relay.handle(at(0), view(&others));
        deliver_head_and_chunks(&mut relay, &store, 1, &Source::Store);
        for second in 1..600 {
            let mut actions = relay.handle(at(second * 1_000), version_reported(others[0], 1));
            actions.extend(relay.handle(at(second * 1_000), Event::Tick));
            let from = Source::Store;
            if actions.contains(&Action::FetchHead { from }) {
                reads += 1;
                relay.handle(at(second * 1_000), head(&store, Source::Store));
            }
        }
    }
    reads
}

#[test]
fn a_zone_has_the_configured_number_of_relays_and_replaces_a_lost_one() {
    let names = ["z-1", "z-2", "z-3", "z-4", "z-5"];
    let relays = |live: &[&str]| -> Vec<String> {
        let is_relay = |name: &&&str| {
            let others: Vec<&str> = live
                .iter()
                .filter(|other| *other != *name)
                .copied()
                .collect();
            let mut relay = Relay::new(member(name), RelaySettings::default(), 7);
            relay.handle(at(0), view(&others));
            relay.is_watching()
        };
        live.iter()
            .filter(is_relay)
            .map(ToString::to_string)
            .collect()
    };
    let first = relays(&names);
    assert_eq!(first.len(), 2);
    let without: Vec<&str> = names.into_iter().filter(|name| *name != first[0]).collect();
    let second = relays(&without);
    assert_eq!(second.len(), 2);
    assert!(second.contains(&first[1]));
}
