//! Dissemination when the store, the watch, peers or messages fail.

mod support;

use damaskvane_config::relay::{Action, Event, Member, Relay, RelaySettings, Source, View};
use damaskvane_core::ids::InstanceId;
use damaskvane_core::time::TimeMs;
use support::{Store, ZONES};

fn member(instance: &str) -> Member {
    let (zone, _) = instance.rsplit_once('-').expect("zone-number");
    Member {
        instance: instance.parse().expect("an id"),
        availability_zone: zone.parse().expect("an id"),
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

fn heard(from: &str, version: u64) -> Event {
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

/// A relay of sask-a with two neighbours in its zone and two other zones.
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

fn announced(actions: &[Action]) -> Vec<String> {
    let to = actions.iter().filter_map(|action| match action {
        Action::Announce { to, .. } => Some(to.to_string()),
        _ => None,
    });
    to.collect()
}

fn adopt_from(relay: &mut Relay, store: &Store, now: u64, from: &Source) -> Vec<Action> {
    let mut actions = relay.handle(at(now), head(store, from.clone()));
    actions.extend(relay.handle(at(now), chunks(store, from.clone())));
    actions
}

#[test]
fn a_head_from_the_store_is_told_to_the_zone_and_to_one_instance_of_each_other_zone() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    let actions = adopt_from(&mut relay, &store, 10, &Source::Store);
    let told = announced(&actions);
    assert_eq!(told.len(), 4, "{told:?}");
    assert!(told.contains(&"sask-a-2".to_owned()) && told.contains(&"sask-a-3".to_owned()));
    assert!(told.contains(&"ab-a-1".to_owned()));
}

#[test]
fn a_head_from_another_zone_is_told_to_the_zone_only() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    let actions = adopt_from(&mut relay, &store, 10, &peer("mb-a-1"));
    let mut told = announced(&actions);
    told.sort();
    assert_eq!(
        told,
        ["mb-a-1", "sask-a-2", "sask-a-3"],
        "the teller is told back"
    );
}

/// An announcement is lost. Without another one that instance would serve the old state until some
/// heartbeat shows it, past the promised seconds.
#[test]
fn an_announcement_is_made_again_until_the_peer_shows_that_it_knows() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    adopt_from(&mut relay, &store, 10, &Source::Store);
    relay.handle(at(20), heard("sask-a-2", 1));
    let again = announced(&relay.handle(at(400), Event::Tick));
    assert!(again.contains(&"sask-a-3".to_owned()));
    assert!(!again.contains(&"sask-a-2".to_owned()));
    let total: usize = (0..100)
        .map(|step| announced(&relay.handle(at(500 + step * 100), Event::Tick)).len())
        .sum();
    assert!(total <= 9, "a dead instance is not told for ever: {total}");
}

/// The watch went silent: the connection is open, but whatever stood between has lost it. The relay
/// would never learn of a ticket again.
#[test]
fn a_relay_with_a_silent_watch_still_reads_the_head() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    adopt_from(&mut relay, &store, 300, &Source::Store);
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

/// The watch fires, and the read is answered from before the write. The zone would keep the old head
/// until the next poll.
#[test]
fn a_stale_read_after_the_watch_fired_is_made_again() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    adopt_from(&mut relay, &store, 300, &Source::Store);
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

/// The store is down and an instance is replaced. The new one must come into service from its peers,
/// though it can read nothing itself.
#[test]
fn an_instance_that_boots_during_an_outage_takes_the_highest_head_of_its_peers() {
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
    relay.handle(at(2), heard("sask-a-2", 1));
    relay.handle(
        at(3),
        Event::FetchFailed {
            from: peer("sask-a-2"),
        },
    );
    let actions = relay.handle(at(4), heard("mb-a-1", 2));
    let from = peer("mb-a-1");
    assert!(actions.contains(&Action::FetchHead { from }));
    adopt_from(&mut relay, &store, 5, &peer("mb-a-1"));
    assert_eq!(relay.applier().version().get(), 2);
}

/// The store takes seconds for each answer. A head that a peer already holds must not wait for it.
#[test]
fn a_slow_store_does_not_hold_up_a_fetch_from_a_peer() {
    let mut relay = relay();
    let from = Source::Store;
    let started = (0..20).any(|step| {
        let actions = relay.handle(at(step * 100), Event::Tick);
        actions.contains(&Action::FetchHead { from: from.clone() })
    });
    assert!(started);
    let actions = relay.handle(at(2_001), heard("sask-a-2", 1));
    let from = peer("sask-a-2");
    assert!(actions.contains(&Action::FetchHead { from }));
}

/// The peer that a head comes from is killed before it has sent the chunks.
#[test]
fn chunks_of_a_killed_peer_are_fetched_from_another() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    relay.handle(at(1), heard("sask-a-2", 1));
    relay.handle(at(2), head(&store, peer("sask-a-2")));
    relay.handle(at(3), heard("sask-a-3", 1));
    let from = peer("sask-a-3");
    let next = Action::FetchHead { from };
    let is_tried = (1..=5).any(|step| relay.handle(at(step * 100), Event::Tick).contains(&next));
    assert!(is_tried);
    adopt_from(&mut relay, &store, 600, &peer("sask-a-3"));
    assert_eq!(relay.applier().version().get(), 1);
}

/// All chunks together are larger than one message, so a peer sends some of them. If that counted as a
/// failure, a large configuration would never come whole from any peer.
#[test]
fn chunks_that_come_in_parts_are_asked_for_on_from_the_same_peer() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    relay.handle(at(1), heard("sask-a-2", 1));
    relay.handle(at(2), head(&store, peer("sask-a-2")));
    let all = store.chunks();
    let mut asked_on = 0;
    for (index, chunk) in all.iter().enumerate() {
        let chunks = vec![chunk.clone()];
        let from = peer("sask-a-2");
        let actions = relay.handle(at(3), Event::Chunks { from, chunks });
        let left = all.len() - index - 1;
        let is_on = |action: &Action| matches!(action, Action::FetchChunks { from, hashes } if *from == peer("sask-a-2") && hashes.len() == left);
        asked_on += usize::from(actions.iter().any(is_on));
    }
    assert_eq!(asked_on, all.len() - 1);
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

/// An instance was paused and comes back with an old head.
#[test]
fn an_instance_that_shows_an_old_version_is_told() {
    let mut store = Store::default();
    store.accept(ZONES);
    store.accept("[service.logbook]\n");
    let mut relay = relay();
    adopt_from(&mut relay, &store, 10, &Source::Store);
    for step in 1..100 {
        relay.handle(at(step * 100), Event::Tick);
    }
    let told = announced(&relay.handle(at(11_000), heard("ab-a-1", 1)));
    assert_eq!(told, ["ab-a-1"]);
}

/// A peer claims a version that it can't show. Believing it again and again would fetch without end.
#[test]
fn a_claim_without_a_head_is_not_believed_twice() {
    let mut store = Store::default();
    store.accept(ZONES);
    let mut relay = relay();
    adopt_from(&mut relay, &store, 10, &Source::Store);
    relay.handle(at(20), heard("mb-a-1", 1_000_000));
    relay.handle(at(30), head(&store, peer("mb-a-1")));
    let from = peer("mb-a-1");
    let fetch = Action::FetchHead { from };
    let fetches = (1..100)
        .filter(|step| relay.handle(at(step * 100), Event::Tick).contains(&fetch))
        .count();
    assert_eq!(fetches, 0);
}

/// Reads of the store must not grow with the fleet: in an idle hour only relays read, whatever the
/// number of instances in a zone.
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
        adopt_from(&mut relay, &store, 1, &Source::Store);
        for second in 1..600 {
            let mut actions = relay.handle(at(second * 1_000), heard(others[0], 1));
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
fn a_zone_has_as_many_relays_as_set_and_another_takes_over() {
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
