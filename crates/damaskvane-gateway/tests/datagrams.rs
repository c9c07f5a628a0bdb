//! Datagrams between instances: what was sent arrives, and whatever else arrives does no harm.

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::quarantine::{Incident, IncidentId};
use damaskvane_gateway::crashes;
use damaskvane_gateway::peers::Message;
use damaskvane_routing::peers::{Digest, DigestEntry, Heartbeat, IncarnationKey, Phase};
use damaskvane_routing::placement::{ObjectSample, POPULARITY_STEPS, PopularityDecision, RouteKey};
use damaskvane_routing::pool::{LoadReport, ServerKey, ToldHealth, ToldServer};
use proptest::prelude::*;

/// The largest datagram that an instance reads.
const MOST_BYTES: usize = 1_400;

fn heartbeat() -> Message {
    Message::Heartbeat(Heartbeat {
        instance: "east-a-1".parse().expect("a name"),
        incarnation: ids::Incarnation::new(1_796_272_099_402),
        serial: 300,
        zone: "east-a".parse().expect("a name"),
        client_address: ([10, 0, 0, 1], 8_144).into(),
        peer_address: ([10, 0, 0, 1], 7_660).into(),
        phase: Phase::Leaving,
    })
}

fn digest(entries: usize) -> Message {
    let entry = |number| DigestEntry {
        key: IncarnationKey::from_wire(u64::MAX - number),
        serial: 1 << 40,
        phase: Phase::Ready,
        age_ms: 2_599,
    };
    Message::Digest {
        is_handed_on: true,
        digest: Digest {
            entries: (0..entries as u64).map(entry).collect(),
        },
    }
}

fn incident() -> Message {
    let service = "desk".parse().expect("a name");
    let suspect = |number: usize| Fingerprint::of(&service, "GET", &number.to_string(), b"");
    Message::Incident(Incident {
        id: IncidentId {
            reporter: "an-instance-with-a-rather-long-name-1/1796272099402"
                .parse()
                .expect("a start"),
            serial: u64::MAX,
        },
        server: "i-7f3a91c2".parse().expect("a name"),
        suspects: (0..crashes::MOST_SUSPECTS).map(suspect).collect(),
        age: SpanMs::new(800),
    })
}

fn servers() -> Message {
    let load = LoadReport {
        running: 6,
        waiting: 18,
        slots: 6,
    };
    let told = |number| ToldServer {
        server: ServerKey::from_wire(u32::MAX - number),
        load: Some(load),
        health: Some(ToldHealth {
            slowness: 9.5,
            failure_share: 0.5,
        }),
        age_ms: 250,
    };
    Message::Servers((0..12).map(told).collect())
}

fn news() -> Message {
    let Message::Heartbeat(heartbeat) = heartbeat() else {
        panic!("a heartbeat");
    };
    Message::News {
        is_handed_on: true,
        heartbeats: vec![heartbeat; 12],
    }
}

fn asked() -> Message {
    let objects = |route: u32| (0..12).map(move |number| (u32::MAX - number - route, 1_000));
    let sample = |route| ObjectSample::from_wire(0, objects(route));
    let report = (0..6).map(|route| (RouteKey::from_wire(u32::MAX - route), sample(route)));
    Message::Asked(report.collect())
}

fn verdicts() -> Message {
    let verdict = |route| PopularityDecision {
        route: RouteKey::from_wire(u32::MAX - route),
        steps: POPULARITY_STEPS,
    };
    Message::Verdicts {
        by: "an-instance-with-a-rather-long-name-1"
            .parse()
            .expect("a name"),
        verdicts: (0..64).map(verdict).collect(),
    }
}

fn messages() -> [Message; 7] {
    [
        heartbeat(),
        digest(64),
        incident(),
        servers(),
        news(),
        asked(),
        verdicts(),
    ]
}

#[test]
fn what_is_sent_arrives() {
    for message in messages() {
        let bytes = message.encode().expect("bytes");
        let read = Message::decode(&bytes).expect("a message");
        assert_eq!(format!("{read:?}"), format!("{message:?}"));
    }
}

/// A message longer than the largest datagram is cut on its way and read by nobody: instances of a large zone
/// would look dead to all others.
#[test]
fn the_largest_messages_fit_a_datagram() {
    for message in messages() {
        assert!(message.encode().expect("bytes").len() <= MOST_BYTES);
    }
}

/// Another program, or another version of this one, sends to the port. Half a message taken for a whole one would
/// make instances look dead or alive.
#[test]
fn a_cut_message_and_one_of_another_protocol_are_not_read() {
    for message in messages() {
        let bytes = message.encode().expect("bytes");
        for length in 0..bytes.len() {
            assert!(Message::decode(&bytes[..length]).is_none(), "{length}");
        }
        let mut other = bytes;
        other[0] ^= 1;
        assert!(Message::decode(&other).is_none());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_read_without_a_panic(
        which in 0_usize..4,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        tail in prop::collection::vec(any::<u8>(), 0..8),
    ) {
        let mut bytes = messages()[which].encode().expect("bytes");
        for (at, value) in changes {
            let at = at.index(bytes.len());
            bytes[at] = value;
        }
        bytes.extend(tail);
        let _ = Message::decode(&bytes);
    }
}
