//! Tests of the notices about a renewed home: which instances get them, and which notices are accepted.
//!
//! A home is the instance and incarnation that alone may run the idempotency keys of its clients. A renewal
//! starts a new incarnation without a restart.

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

/// Returns an engine that renews its home at the next tick, because its key table can't accept any key
/// before.
fn engine_due_for_renewal() -> engine::Engine {
    let mut settings = engine::EngineSettings::default();
    settings.keys.max_tombstones = 0;
    engine::Engine::new(home_of("a-1/5"), settings)
}

fn renewals(actions: &[event::Action]) -> Vec<String> {
    actions
        .iter()
        .filter_map(|action| match action {
            event::Action::HomeRenewed { home } => Some(format!("own lookups: {home}")),
            event::Action::Send { to, message } => match &**message {
                peer::PeerMessage::Renewed(home) => Some(format!("to {to}: {home}")),
                _ => None,
            },
            _ => None,
        })
        .collect()
}

/// Guards against an instance that names another instance's old home in lookup responses after a renewal: new
/// requests of its clients would end as *unknown*. Instances that start after the renewal need the notice as
/// well.
#[test]
fn a_renewed_home_is_sent_to_peers_and_new_instances() {
    let mut engine = engine_due_for_renewal();
    let _ = engine.handle(time::TimeMs::new(1), directory_with(&["b-1/7"]));
    let actions = engine.handle(time::TimeMs::new(10), event::Event::Tick);
    assert_eq!(renewals(&actions), ["own lookups: a-1/6", "to b-1: a-1/6"]);
    assert_eq!(*engine.home(), home_of("a-1/6"));
    let at = time::TimeMs::new(20);
    let actions = engine.handle(at, directory_with(&["b-1/7", "c-1/9"]));
    assert_eq!(renewals(&actions), ["to c-1: a-1/6"]);
    let at = time::TimeMs::new(30);
    let actions = engine.handle(at, directory_with(&["b-1/8", "c-1/9"]));
    assert_eq!(renewals(&actions), ["to b-1: a-1/6"]);
}

/// Guards against a notice that names the home of an instance other than its sender, or an older incarnation
/// of the sender: it would send clients to a wrong home.
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
        assert_eq!(renewals(&actions).len(), expected, "{from} sends {renewed}");
    }
}
