//! What other instances are told of a home, and who is believed.

use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::home;
use damaskvane_engine::{directory, engine, event, peer};

fn home_of(text: &str) -> home::Home {
    text.parse().expect("a home")
}

fn directory_with(peers: &[&str]) -> event::Event {
    let instances = peers.iter().map(|text| {
        let home = home_of(text);
        let peer = directory::PeerInstance {
            incarnation: home.incarnation,
            availability_zone: "a".parse().expect("a zone"),
            region: "a".parse().expect("a region"),
            reachability: directory::Reachability::Live,
        };
        (home.instance, peer)
    });
    event::Event::Directory(Arc::new(directory::Directory {
        version: ids::ConfigVersion::new(1),
        instances: instances.collect(),
        ..directory::Directory::default()
    }))
}

/// An engine whose table takes no key before it wants a new incarnation.
fn engine_due_for_renewal() -> engine::Engine {
    let mut settings = engine::EngineSettings::default();
    settings.keys.max_tombstones = 0;
    engine::Engine::new(home_of("a-1/5"), settings)
}

fn renewals(actions: &[event::Action]) -> Vec<String> {
    actions
        .iter()
        .filter_map(|action| match action {
            event::Action::HomeRenewed { home } => Some(format!("own look-ups: {home}")),
            event::Action::Send { to, message } => match &**message {
                peer::PeerMessage::Renewed(home) => Some(format!("to {to}: {home}")),
                _ => None,
            },
            _ => None,
        })
        .collect()
}

/// An instance takes a new incarnation for its keys. If another went on naming the old one in look-ups,
/// its clients' new bookings would be answered *unknown*; so would those of one that starts later.
#[test]
fn a_renewed_home_is_sent_to_peers_and_new_instances() {
    let mut engine = engine_due_for_renewal();
    let _ = engine.handle(time::TimeMs::new(1), directory_with(&["b-1/7"]));
    let actions = engine.handle(time::TimeMs::new(10), event::Event::Tick);
    assert_eq!(renewals(&actions), ["own look-ups: a-1/6", "to b-1: a-1/6"]);
    assert_eq!(*engine.home(), home_of("a-1/6"));
    let at = time::TimeMs::new(20);
    let actions = engine.handle(at, directory_with(&["b-1/7", "c-1/9"]));
    assert_eq!(renewals(&actions), ["to c-1: a-1/6"]);
    let at = time::TimeMs::new(30);
    let actions = engine.handle(at, directory_with(&["b-1/8", "c-1/9"]));
    assert_eq!(renewals(&actions), ["to b-1: a-1/6"]);
}

/// A message that names another sender's home, or an older one, would send clients astray.
#[test]
fn a_renewal_is_accepted_only_from_the_instance_itself() {
    let mut engine = engine::Engine::new(home_of("a-1/5"), engine::EngineSettings::default());
    let cases = [
        ("b-1/7", "b-1/8", 1),
        ("b-1/7", "c-1/8", 0),
        ("b-1/7", "b-1/6", 0),
    ];
    for (from, renewed, expected) in cases {
        let message = event::Event::Peer {
            from: home_of(from),
            message: Box::new(peer::PeerMessage::Renewed(home_of(renewed))),
        };
        let actions = engine.handle(time::TimeMs::new(1), message);
        assert_eq!(renewals(&actions).len(), expected, "{from} says {renewed}");
    }
}
