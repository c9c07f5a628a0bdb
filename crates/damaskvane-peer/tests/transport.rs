//! The transport between two instances on the loopback address.

use std::time::Duration;

use damaskvane_core::{ids, time};
use damaskvane_peer::{address, error, settings, transport};
use serde::{Deserialize, Serialize};

const WAIT: Duration = Duration::from_secs(10);

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    Text(String),
    Number { value: u32 },
}

impl transport::MessageKind for Message {
    fn kind(&self) -> &'static str {
        match self {
            Self::Text(_) => "text",
            Self::Number { .. } => "number",
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum NewerMessage {
    Number { value: u32, unit: String },
    Added,
}

impl transport::MessageKind for NewerMessage {
    fn kind(&self) -> &'static str {
        "newer"
    }
}

type Listening<M> = (
    transport::Transport<M>,
    flume::Receiver<transport::Received<M>>,
);

fn instance(name: &str) -> ids::InstanceId {
    name.parse().expect("a valid name")
}

fn settings(name: &str) -> settings::PeerSettings {
    settings::PeerSettings {
        instance: instance(name),
        incarnation: ids::Incarnation::new(3),
        ..settings::PeerSettings::default()
    }
}

fn listen<M: transport::MessageKind>(settings: settings::PeerSettings) -> Listening<M> {
    transport::Transport::listen(settings).expect("a free port")
}

/// Polls the check until it holds, and panics after 10 s.
fn wait_until(mut check: impl FnMut() -> bool) {
    let deadline = std::time::Instant::now() + WAIT;
    while !check() {
        assert!(std::time::Instant::now() < deadline, "waited too long");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_message_arrives_with_its_sender_and_is_counted_on_both_sides() {
    let (a, _) = listen::<Message>(settings("a"));
    let (b, from_a) = listen::<Message>(settings("b"));
    b.set_allowed_senders([instance("a")]);
    assert!(!a.is_connected(b.local_address()));
    a.send(b.local_address(), &Message::Number { value: 7 })
        .unwrap();
    let received = from_a.recv_timeout(WAIT).unwrap();
    assert_eq!(received.from, instance("a"));
    assert_eq!(received.incarnation, ids::Incarnation::new(3));
    assert_eq!(received.message, Message::Number { value: 7 });
    assert_eq!(a.counters().sent["number"].bytes, received.bytes.get());
    wait_until(|| b.counters().received.contains_key("number"));
    // Another thread reports the connection as up, possibly after the message has arrived.
    wait_until(|| a.is_connected(b.local_address()));
}

/// A machine outside the fleet, or an instance that was removed from the list, sends valid messages. If
/// they were accepted, an unknown sender could redirect traffic and cause errors for clients.
#[test]
fn messages_of_unlisted_senders_are_dropped() {
    let (unlisted, _) = listen::<Message>(settings("unlisted"));
    let (b, received) = listen::<Message>(settings("b"));
    b.set_allowed_senders([instance("a")]);
    unlisted
        .send(b.local_address(), &Message::Text("obey".into()))
        .unwrap();
    wait_until(|| b.counters().dropped.get("unlisted") == Some(&1));
    assert!(received.is_empty());
}

/// An instance that has never read the list of instances knows no sender. If unlisted senders stayed locked out, no
/// peer could tell it the list; if they were let in without a limit, anyone could keep it busy.
#[test]
fn unlisted_senders_are_admitted_on_request_up_to_a_rate() {
    let (unlisted, _) = listen::<Message>(settings("unlisted"));
    let (b, received) = listen::<Message>(settings::PeerSettings {
        max_messages_per_second: 1,
        ..settings("b")
    });
    b.set_admits_unlisted(true);
    for value in 0..20 {
        let _ = unlisted.send(b.local_address(), &Message::Number { value });
    }
    wait_until(|| b.counters().dropped.contains_key("rate-exceeded"));
    assert!(!received.is_empty());
    assert!(received.len() < 20);
    b.set_admits_unlisted(false);
    wait_until(|| {
        let _ = unlisted.send(b.local_address(), &Message::Number { value: 20 });
        b.counters().dropped.contains_key("unlisted")
    });
}

/// A faulty peer sends in a tight loop. Without a limit, its messages would take processor time from
/// requests and slow down the responses to all clients.
#[test]
fn a_sender_over_its_rate_is_limited() {
    let (a, _) = listen::<Message>(settings("a"));
    let (b, received) = listen::<Message>(settings::PeerSettings {
        max_messages_per_second: 1,
        ..settings("b")
    });
    b.set_allowed_senders([instance("a")]);
    for value in 0..20 {
        let _ = a.send(b.local_address(), &Message::Number { value });
    }
    wait_until(|| b.counters().dropped.contains_key("rate-exceeded"));
    assert!(!received.is_empty());
    assert!(received.len() < 20);
}

/// An oversized message would take memory on every receiver, so the sender rejects it.
#[test]
fn a_message_over_the_limit_is_refused() {
    let (a, _) = listen::<Message>(settings::PeerSettings {
        max_message_bytes: 64,
        ..settings("a")
    });
    let result = a.send(a.local_address(), &Message::Text("x".repeat(100)));
    assert!(matches!(result, Err(error::PeerError::TooLarge { .. })));
    assert_eq!(a.counters().dropped["too-large"], 1);
}

/// During an upgrade a newer version sends fields and messages that this version does not know. The
/// fields are skipped and the messages counted; neither may close the connection for other messages.
#[test]
fn unknown_fields_and_messages_of_a_newer_version_are_skipped() {
    let (newer, _) = listen::<NewerMessage>(settings("a"));
    let (b, received) = listen::<Message>(settings("b"));
    b.set_allowed_senders([instance("a")]);
    let number = NewerMessage::Number {
        value: 5,
        unit: "slots".into(),
    };
    newer.send(b.local_address(), &NewerMessage::Added).unwrap();
    newer.send(b.local_address(), &number).unwrap();
    let message = received.recv_timeout(WAIT).unwrap().message;
    assert_eq!(message, Message::Number { value: 5 });
    assert_eq!(b.counters().dropped["unknown-message"], 1);
}

/// A peer is down. Sending to it must not wait, and its queued messages are dropped after the grace:
/// old heartbeats that arrive after a network partition would make a dead instance appear alive.
#[test]
fn messages_for_a_peer_that_is_down_are_dropped() {
    let (a, _) = listen::<Message>(settings::PeerSettings {
        connect_grace_ms: time::SpanMs::new(50),
        ..settings("a")
    });
    let (stopped, _) = listen::<Message>(settings("stopped"));
    let address: address::PeerAddress = *stopped.local_address();
    drop(stopped);
    a.send(&address, &Message::Number { value: 1 }).unwrap();
    assert!(!a.is_connected(&address));
    wait_until(|| {
        a.maintain();
        a.connections() == 0
    });
    assert_eq!(a.counters().dropped["not-connected"], 1);
}

/// A connection stops delivering for good while new ones work. The caller detects this by missing
/// heartbeats and calls `reconnect`; the next message must then arrive.
#[test]
fn a_message_after_reconnect_arrives_over_a_new_connection() {
    let (a, _) = listen::<Message>(settings("a"));
    let (b, received) = listen::<Message>(settings("b"));
    b.set_allowed_senders([instance("a")]);
    for value in 0..3 {
        a.send(b.local_address(), &Message::Number { value })
            .unwrap();
        let message = received.recv_timeout(WAIT).unwrap().message;
        assert_eq!(message, Message::Number { value });
        a.reconnect(b.local_address());
        assert_eq!(a.connections(), 0);
    }
}

/// A restarted peer listens at its old address again. Messages must reach it without a `reconnect`.
#[test]
fn a_restarted_peer_is_reached_again() {
    let (a, _) = listen::<Message>(settings("a"));
    let (b, received) = listen::<Message>(settings("b"));
    b.set_allowed_senders([instance("a")]);
    a.send(b.local_address(), &Message::Number { value: 1 })
        .unwrap();
    received.recv_timeout(WAIT).unwrap();
    let listen_address = *b.local_address();
    drop((b, received));
    let restarted = settings::PeerSettings {
        listen_address,
        ..settings("b")
    };
    let (b, received) = listen::<Message>(restarted);
    b.set_allowed_senders([instance("a")]);
    wait_until(|| {
        let _ = a.send(&listen_address, &Message::Number { value: 2 });
        !received.is_empty()
    });
}

/// Too many peers, or a fault that opens connections without end, must not exhaust sockets and memory.
#[test]
fn outgoing_connections_are_limited() {
    let (a, _) = listen::<Message>(settings::PeerSettings {
        connection_limit: 1,
        ..settings("a")
    });
    let (b, _) = listen::<Message>(settings("b"));
    a.send(a.local_address(), &Message::Number { value: 1 })
        .unwrap();
    let result = a.send(b.local_address(), &Message::Number { value: 1 });
    assert!(matches!(
        result,
        Err(error::PeerError::ConnectionLimit { limit: 1 })
    ));
}

/// More instances connect than the limit allows. Connections above the limit are closed and counted, and
/// messages over the other connections still arrive.
#[test]
fn incoming_connections_are_limited() {
    let (b, received) = listen::<Message>(settings::PeerSettings {
        connection_limit: 1,
        ..settings("b")
    });
    b.set_allowed_senders([instance("a"), instance("c")]);
    let (a, _) = listen::<Message>(settings("a"));
    a.send(b.local_address(), &Message::Number { value: 1 })
        .unwrap();
    received.recv_timeout(WAIT).unwrap();
    let (c, _) = listen::<Message>(settings("c"));
    c.send(b.local_address(), &Message::Number { value: 2 })
        .unwrap();
    wait_until(|| b.counters().dropped.contains_key("connection-limit"));
    a.send(b.local_address(), &Message::Number { value: 3 })
        .unwrap();
    let received_again = received.recv_timeout(WAIT).unwrap();
    assert_eq!(received_again.message, Message::Number { value: 3 });
}
