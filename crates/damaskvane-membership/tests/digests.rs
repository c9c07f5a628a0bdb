//! Digests (reports on zones) that arrive late, out of order or twice, and the number of bytes that heartbeats and
//! digests need.

mod common;

use std::collections::BTreeMap;

use common::{at, id, list, member, ms, record};
use damaskvane_core::{ids, time};
use damaskvane_membership::{digest, heartbeat, record, view};
use damaskvane_peer::envelope;
use serde::Serialize;

/// Body of a digest, about as large as the report of a zone on two services.
type Body = Vec<u8>;

const BODY_BYTES: usize = 60;
const STEP_MS: u64 = 200;

/// Bytes that TCP, IP and the transport add to a message.
const HEADER_BYTES: usize = 8 + 52;
/// Bytes of the TCP acknowledgement that is returned for a message.
const ACKNOWLEDGEMENT_BYTES: usize = 52;

#[derive(Serialize)]
enum Wire<'a> {
    #[serde(rename = "h")]
    Heartbeat(&'a heartbeat::Heartbeat),
    #[serde(rename = "d")]
    Digests(&'a digest::DigestBundle<Body>),
}

struct Node {
    membership: view::Membership,
    digests: digest::DigestExchange<Body>,
    region: ids::RegionId,
    topology: Option<digest::Topology>,
    bytes_out: usize,
    bytes_in: usize,
}

/// Simulated instances of several zones and regions; every message arrives one time step after it was sent.
struct Fleet {
    now: time::TimeMs,
    nodes: BTreeMap<ids::InstanceId, Node>,
    records: Vec<record::InstanceRecord>,
    digests_in_flight: Vec<(ids::InstanceId, ids::InstanceId, digest::DigestBundle<Body>)>,
    heartbeats_in_flight: Vec<(ids::InstanceId, ids::InstanceId, heartbeat::Heartbeat)>,
}

impl Fleet {
    fn new(zones_of_regions: &[usize], instances: usize) -> Self {
        let names = zones_of_regions
            .iter()
            .enumerate()
            .flat_map(|(region, zones)| {
                (0..*zones).flat_map(move |zone| {
                    (0..instances).map(move |number| format!("r{region}-z{zone}-{number}"))
                })
            });
        let records: Vec<_> = names.map(|name| record(&name, 1)).collect();
        let nodes = records
            .iter()
            .map(|record| (record.instance.clone(), Node::new(record)));
        let mut fleet = Self {
            now: at(0),
            nodes: nodes.collect(),
            digests_in_flight: Vec::new(),
            heartbeats_in_flight: Vec::new(),
            records,
        };
        fleet.read_list();
        fleet
    }

    fn read_list(&mut self) {
        let records = &self.records;
        let names: std::collections::BTreeSet<_> =
            records.iter().map(|record| &record.instance).collect();
        self.nodes.retain(|name, _| names.contains(name));
        for record in records {
            let node = self
                .nodes
                .entry(record.instance.clone())
                .or_insert_with(|| Node::new(record));
            node.membership.handle(self.now, list(records));
            node.topology = Some(node.membership.topology(&node.region));
        }
    }

    fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms / STEP_MS {
            self.now = self.now + ms(STEP_MS);
            for (from, to, bundle) in core::mem::take(&mut self.digests_in_flight) {
                self.deliver(&from, &to, bundle);
            }
            for (from, to, heartbeat) in core::mem::take(&mut self.heartbeats_in_flight) {
                self.deliver_heartbeat(from, &to, heartbeat);
            }
            let names: Vec<_> = self.nodes.keys().cloned().collect();
            for name in names {
                self.tick(&name);
            }
        }
    }

    fn tick(&mut self, name: &ids::InstanceId) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        for action in node.membership.handle(now, view::Event::Tick) {
            if let view::Action::Send { to, heartbeat, .. } = action {
                node.bytes_out += message_bytes(name, &Wire::Heartbeat(&heartbeat));
                node.bytes_in += ACKNOWLEDGEMENT_BYTES;
                self.heartbeats_in_flight
                    .push((name.clone(), to, heartbeat));
            }
        }
        let Some(topology) = &node.topology else {
            return;
        };
        if node.digests.is_due(now, topology) {
            let body = vec![7; BODY_BYTES];
            let sends = node.digests.publish(now, topology, body);
            self.send(name, sends);
        }
    }

    fn send(&mut self, from: &ids::InstanceId, sends: Vec<digest::DigestSend<Body>>) {
        for send in sends {
            if let Some(node) = self.nodes.get_mut(from) {
                node.bytes_out += message_bytes(from, &Wire::Digests(&send.bundle));
                node.bytes_in += ACKNOWLEDGEMENT_BYTES;
            }
            self.digests_in_flight
                .push((from.clone(), send.to, send.bundle));
        }
    }

    fn deliver(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        bundle: digest::DigestBundle<Body>,
    ) {
        let Some(node) = self.nodes.get_mut(to) else {
            return;
        };
        node.bytes_in += message_bytes(from, &Wire::Digests(&bundle));
        node.bytes_out += ACKNOWLEDGEMENT_BYTES;
        let Some(topology) = &node.topology else {
            return;
        };
        let sends = node.digests.receive(self.now, topology, from, bundle);
        self.send(to, sends);
    }

    fn deliver_heartbeat(
        &mut self,
        from: ids::InstanceId,
        to: &ids::InstanceId,
        heartbeat: heartbeat::Heartbeat,
    ) {
        if let Some(node) = self.nodes.get_mut(to) {
            node.bytes_in += message_bytes(&from, &Wire::Heartbeat(&heartbeat));
            node.bytes_out += ACKNOWLEDGEMENT_BYTES;
            let event = view::Event::Heartbeat {
                from,
                incarnation: ids::Incarnation::new(1),
                heartbeat,
            };
            node.membership.handle(self.now, event);
        }
    }

    fn oldest_digest_age(&self) -> time::SpanMs {
        let ages = self
            .nodes
            .values()
            .flat_map(|node| node.digests.digests(self.now).map(|digest| digest.age));
        ages.max().expect("some digest")
    }
}

impl Node {
    fn new(record: &record::InstanceRecord) -> Self {
        Self {
            membership: member(record.instance.as_str(), record.incarnation.get()),
            digests: digest::DigestExchange::new(digest::DigestSettings::default()),
            region: record.region.clone(),
            topology: None,
            bytes_out: 0,
            bytes_in: 0,
        }
    }
}

fn message_bytes(from: &ids::InstanceId, wire: &Wire<'_>) -> usize {
    let header = envelope::Header::new(from.clone(), ids::Incarnation::new(1_000));
    let message = envelope::encode(&header, wire).expect("encodes");
    message.len() + HEADER_BYTES
}

fn bundle_of(sequence: u64, author: &str, age_ms: u64) -> digest::DigestBundle<u64> {
    digest::DigestBundle(vec![digest::Digest {
        zone: "z-b".parse().expect("a valid zone"),
        author: id(author),
        sequence,
        age: ms(age_ms),
        body: sequence,
    }])
}

fn topology() -> digest::Topology {
    let mut a = member("z-a-1", 1);
    a.handle(
        at(0),
        list(&[record("z-a-1", 1), record("z-b-1", 1), record("z-b-2", 1)]),
    );
    a.topology(&"z".parse().expect("a valid region"))
}

/// Guards against an older digest that replaces a newer one, since digests are delayed, reordered and repeated in
/// flight. Weights would swing back, and clients would be sent to a zone that has become full since.
#[test]
fn an_older_digest_never_replaces_a_newer() {
    let topology = topology();
    let mut exchange = digest::DigestExchange::new(digest::DigestSettings::default());
    let arrivals = [
        (3, "z-b-1"),
        (2, "z-b-1"),
        (3, "z-b-1"),
        (5, "z-b-2"),
        (4, "z-b-1"),
    ];
    let expected = [3, 3, 3, 5, 5];
    for ((sequence, author), expected) in arrivals.into_iter().zip(expected) {
        let bundle = bundle_of(sequence, author, 0);
        exchange.receive(at(10), &topology, &id("z-b-1"), bundle);
        let held: Vec<u64> = exchange
            .digests(at(10))
            .map(|digest| *digest.body)
            .collect();
        assert_eq!(held, [expected]);
    }
}

/// Guards against a digest whose age is too low. The age is sent as a time span and grows while an instance holds
/// the digest, also while that instance is paused.
#[test]
fn the_age_of_a_digest_includes_the_time_at_every_holder() {
    let topology = topology();
    let mut exchange = digest::DigestExchange::new(digest::DigestSettings::default());
    exchange.receive(
        at(1_000),
        &topology,
        &id("z-b-1"),
        bundle_of(1, "z-b-1", 400),
    );
    let age = exchange.digests(at(31_000)).next().map(|digest| digest.age);
    assert_eq!(age, Some(ms(30_400)));
}

/// Guards against a zone whose digests are ignored after all its instances were replaced, because the new aggregator
/// (the instance that creates the zone's digests) numbers them from one. The aggregator receives the higher number
/// and continues from there; otherwise all other zones would hold an old digest.
#[test]
fn digests_of_a_fully_replaced_zone_are_accepted_at_once() {
    let mut fleet = Fleet::new(&[2], 2);
    fleet.run(60_000);
    fleet
        .records
        .retain(|record| record.zone.as_str() != "r0-z1");
    fleet
        .records
        .extend([record("r0-z1-8", 1), record("r0-z1-9", 1)]);
    fleet.read_list();
    fleet.run(5_000);
    for node in fleet.nodes.values() {
        let seen: Vec<_> = node.digests.digests(fleet.now).collect();
        assert_eq!(seen.len(), 2);
        assert!(seen.iter().all(|digest| digest.age < ms(2_500)), "{seen:?}");
    }
}

/// Guards against a zone without digests after its aggregator died: the next instance by rank becomes the aggregator
/// as soon as it counts the old one as dead.
#[test]
fn a_dead_aggregator_is_replaced() {
    let mut fleet = Fleet::new(&[2], 3);
    fleet.run(5_000);
    let zone = fleet.records[0].zone.clone();
    let topology = fleet
        .nodes
        .values()
        .find_map(|node| node.topology.clone())
        .unwrap();
    let aggregator = topology.zones[&zone].ranked[0].clone();
    fleet.nodes.remove(&aggregator);
    fleet.run(4_000);
    for node in fleet.nodes.values_mut() {
        node.topology = Some(node.membership.topology(&node.region));
    }
    fleet.run(3_000);
    let other_zone = fleet
        .nodes
        .values()
        .find(|node| node.membership.own().zone != zone);
    let seen = other_zone.unwrap().digests.digests(fleet.now);
    let age = seen
        .filter(|digest| *digest.zone == zone)
        .map(|digest| digest.age)
        .next();
    assert!(age.unwrap() < ms(2_500));
}

/// Guards against control traffic above its budget at the planned size: 9 regions, 23 zones, 18 instances each.
/// Every instance has digests of all zones, none older than the slow exchange between regions allows. Control
/// traffic stays within 5 KB a second for each instance, in and out, including the headers of TCP and IP and all
/// acknowledgements.
#[test]
fn control_stays_within_its_budget_at_full_size() {
    const WARM_UP_MS: u64 = 21_000;
    const MEASURED_MS: u64 = 10_000;
    const BUDGET_BYTES_PER_SECOND: usize = 5_000;
    let mut fleet = Fleet::new(&[3, 3, 3, 3, 3, 2, 2, 2, 2], 18);
    fleet.run(WARM_UP_MS);
    for node in fleet.nodes.values_mut() {
        (node.bytes_in, node.bytes_out) = (0, 0);
    }
    fleet.run(MEASURED_MS);
    let seconds = MEASURED_MS as usize / 1_000;
    let mut rates: Vec<usize> = fleet
        .nodes
        .values()
        .map(|node| (node.bytes_in + node.bytes_out) / seconds)
        .collect();
    rates.sort_unstable();
    let mean = rates.iter().sum::<usize>() / rates.len();
    let (median, max) = (rates[rates.len() / 2], rates[rates.len() - 1]);
    println!(
        "bytes a second: mean {mean}, median {median}, max {max}, oldest {}",
        fleet.oldest_digest_age()
    );
    for node in fleet.nodes.values() {
        assert_eq!(node.digests.digests(fleet.now).count(), 23);
    }
    assert!(fleet.oldest_digest_age() < ms(14_000));
    assert!(mean < BUDGET_BYTES_PER_SECOND, "mean {mean}");
    assert!(max < BUDGET_BYTES_PER_SECOND, "max {max}");
}
