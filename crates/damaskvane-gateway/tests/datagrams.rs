//! Tests of the encoding and decoding of the datagrams between instances, including truncated and arbitrary bytes.

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::quarantine::{Incident, IncidentId, RequestIdentity};
use damaskvane_gateway::crashes;
use damaskvane_gateway::peers::Message;
use damaskvane_gateway::server_limits::{
    LeaseRequest, LimitClaim, TokenMessage, TokenOutcome, TokenReply, TokenRequest,
};
use damaskvane_routing::limit::RequestRate;
use damaskvane_routing::peers::{Digest, DigestEntry, Heartbeat, IncarnationKey, Phase};
use damaskvane_routing::placement::{
    ObjectMove, ObjectSample, POPULARITY_STEPS, PopularityDecision, RouteKey,
};
use damaskvane_routing::pool::{
    LoadReport, PeerHealthReport, PeerLimitReport, PeerServerReport, PeerStatement, ServerKey,
};
use proptest::prelude::*;

/// Largest datagram that an instance receives, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_400;

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
        is_forwarded: true,
        digest: Digest {
            entries: (0..entries as u64).map(entry).collect(),
        },
    }
}

fn incident() -> Message {
    let service = "desk".parse().expect("a name");
    let suspect = |number: usize| Fingerprint::of(&service, "GET", &number.to_string(), b"");
    let incident = Incident {
        id: IncidentId {
            reporter: "an-instance-with-a-rather-long-name-1/1796272099402"
                .parse()
                .expect("an incarnation"),
            serial: u64::MAX,
        },
        server: "i-7f3a91c2".parse().expect("a name"),
        suspects: (0..crashes::MAX_SUSPECTS_PER_INCIDENT)
            .map(suspect)
            .collect(),
        age: SpanMs::new(800),
    };
    Message::Incident(incident)
}

fn completed() -> Message {
    let service = "desk".parse().expect("a name");
    Message::Completed {
        request: RequestIdentity::new(Fingerprint::of(&service, "GET", "/look", b""), "10.0.0.1"),
        age: SpanMs::new(u64::MAX),
    }
}

fn server_reports() -> Message {
    let load = LoadReport {
        running: 6,
        waiting: 18,
        slots: 6,
    };
    let report = |number| PeerServerReport {
        server: ServerKey::from_wire(u32::MAX - number),
        load: Some(load),
        health: Some(PeerHealthReport {
            slowness: 9.5,
            failure_share: 0.5,
        }),
        age_ms: 250,
    };
    Message::ServerReports((0..12).map(report).collect())
}

fn membership_update() -> Message {
    let Message::Heartbeat(heartbeat) = heartbeat() else {
        panic!("a heartbeat");
    };
    Message::MembershipUpdate {
        is_forwarded: true,
        heartbeats: vec![heartbeat; 12],
    }
}

fn popularity_report() -> Message {
    let objects =
        |route: u32| (0..12).map(move |number| (u64::MAX - u64::from(number + route), 1_000));
    let sample = |route| ObjectSample::from_wire(0, objects(route));
    let report = (0..6).map(|route| (RouteKey::from_wire(u32::MAX - route), sample(route)));
    Message::PopularityReport(report.collect())
}

fn popularity_decisions() -> Message {
    let decision = |route| PopularityDecision {
        route: RouteKey::from_wire(u32::MAX - route),
        steps: POPULARITY_STEPS,
    };
    let object_move = |number| ObjectMove {
        object: u32::MAX - number,
        steps: 3,
    };
    Message::PopularityDecisions {
        aggregator: "an-instance-with-a-rather-long-name-1"
            .parse()
            .expect("a name"),
        decisions: (0..64).map(decision).collect(),
        moves: (0..128).map(object_move).collect(),
    }
}

fn server_limits() -> Message {
    let report = |number: u32| PeerLimitReport {
        server: ServerKey::from_wire(u32::MAX - number),
        rate: RequestRate::new(4.5).filter(|_| !number.is_multiple_of(3)),
        age: SpanMs::new(u64::MAX),
    };
    Message::ServerLimits((0..48).map(report).collect())
}

fn server_statements() -> Message {
    let statement = |number: u32| {
        let server = ServerKey::from_wire(u32::MAX - number);
        let remaining = SpanMs::new(86_400_000);
        match number % 3 {
            0 => PeerStatement::Leaving {
                server,
                started_unix_ms: u64::MAX,
            },
            1 => PeerStatement::SenderRests { server, remaining },
            _ => PeerStatement::RecipientRests { server, remaining },
        }
    };
    Message::ServerStatements {
        sender: "an-instance-with-a-rather-long-name-1"
            .parse()
            .expect("a name"),
        statements: (0..48).map(statement).collect(),
    }
}

fn claim() -> LimitClaim {
    LimitClaim {
        server: ServerKey::from_wire(u32::MAX),
        rate: RequestRate::new(0.3).expect("a rate"),
        age: SpanMs::new(300),
    }
}

fn token_request() -> Message {
    Message::Token(TokenMessage::Request(TokenRequest {
        id: u32::MAX,
        claim: claim(),
        priority: 2,
        is_relayed: true,
    }))
}

fn lease_request() -> Message {
    Message::Token(TokenMessage::Lease(LeaseRequest {
        id: 1,
        claim: claim(),
        instance: "an-instance-with-a-rather-long-name-1"
            .parse()
            .expect("a name"),
    }))
}

fn token_reply() -> Message {
    let outcome = TokenOutcome::Lent { millitokens: 1_330 };
    Message::Token(TokenMessage::Reply(TokenReply { id: 7, outcome }))
}

fn messages() -> [Message; 13] {
    [
        server_statements(),
        heartbeat(),
        digest(64),
        incident(),
        completed(),
        server_reports(),
        membership_update(),
        popularity_report(),
        popularity_decisions(),
        server_limits(),
        token_request(),
        lease_request(),
        token_reply(),
    ]
}

#[test]
fn messages_survive_encoding_and_decoding() {
    for message in messages() {
        let bytes = message.encode().expect("bytes");
        let read = Message::decode(&bytes).expect("a message");
        assert_eq!(format!("{read:?}"), format!("{message:?}"));
    }
}

/// Guards against an instance that seems silent to all others because they can't decode its phase.
#[test]
fn each_phase_survives_encoding_and_decoding() {
    for phase in [
        Phase::Starting,
        Phase::Ready,
        Phase::Limited,
        Phase::Leaving,
    ] {
        let Message::Heartbeat(sent) = heartbeat() else {
            panic!("a heartbeat");
        };
        let bytes = Message::Heartbeat(Heartbeat { phase, ..sent }).encode();
        let read = Message::decode(&bytes.expect("bytes"));
        assert!(matches!(read, Some(Message::Heartbeat(heartbeat)) if heartbeat.phase == phase));
    }
}

/// A message longer than the largest datagram is truncated by the receiver and can't be decoded: if a large zone's
/// messages became that long, all instances of the zone would appear dead to the other instances.
#[test]
fn the_largest_messages_fit_a_datagram() {
    for message in messages() {
        assert!(message.encode().expect("bytes").len() <= MAX_DATAGRAM_BYTES);
    }
}

/// Another program, or another version of this program, sends datagrams to an instance's port. A truncated message that
/// is decoded as a complete one would make instances appear dead or alive.
#[test]
fn truncated_messages_and_other_protocols_are_rejected() {
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
    fn arbitrary_bytes_are_decoded_without_a_panic(
        which in any::<prop::sample::Index>(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        tail in prop::collection::vec(any::<u8>(), 0..8),
    ) {
        let messages = messages();
        let mut bytes = messages[which.index(messages.len())].encode().expect("bytes");
        for (at, value) in changes {
            let at = at.index(bytes.len());
            bytes[at] = value;
        }
        bytes.extend(tail);
        let _ = Message::decode(&bytes);
    }
}
