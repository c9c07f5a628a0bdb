//! Measures the transport over loopback: round trip, messages a second, memory for each connected peer.
//!
//! `cargo run --release -p damaskvane-peer --example measure_transport`

use std::time::{Duration, Instant};

use damaskvane_core::ids;
use damaskvane_peer::{envelope, settings, transport};
use serde::{Deserialize, Serialize};

const WARM_UP: usize = 1_000;
const ROUND_TRIPS: usize = 20_000;
const MESSAGES: u32 = 200_000;
const PEERS: usize = 200;
const PAGE_KB: usize = 4;

#[derive(Debug, Serialize, Deserialize)]
struct Ping {
    number: u32,
}

impl transport::MessageKind for Ping {
    fn kind(&self) -> &'static str {
        "ping"
    }
}

type Node = (
    transport::Transport<Ping>,
    flume::Receiver<transport::Received<Ping>>,
);

fn node(name: &str) -> Node {
    let instance: ids::InstanceId = name.parse().expect("a valid name");
    let all = ["a", "b"].map(|name| name.parse().expect("a valid name"));
    let settings = settings::PeerSettings {
        instance,
        max_messages_per_second: u32::MAX,
        received_messages: 1_000_000,
        queue_messages: 8_000,
        ..settings::PeerSettings::default()
    };
    let (transport, received) = transport::Transport::listen(settings).expect("a free port");
    transport.set_allowed_senders(all);
    (transport, received)
}

fn resident_kb() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<usize>().ok())
        .unwrap_or(0)
        * PAGE_KB
}

fn round_trips(a: &Node, b: &Node) {
    let mut nanos = Vec::with_capacity(ROUND_TRIPS);
    for number in 0..WARM_UP + ROUND_TRIPS {
        let started = Instant::now();
        let ping = Ping { number: 1 };
        a.0.send(b.0.local_address(), &ping)
            .expect("room in the queue");
        b.1.recv().expect("arrives");
        b.0.send(a.0.local_address(), &ping)
            .expect("room in the queue");
        a.1.recv().expect("arrives");
        if number >= WARM_UP {
            nanos.push(started.elapsed().as_nanos());
        }
    }
    nanos.sort_unstable();
    let at = |permille: usize| nanos[nanos.len() * permille / 1_000] / 1_000;
    println!("round trip: p50 {} us, p99 {} us", at(500), at(990));
}

fn throughput(a: &Node, b: &Node) {
    let started = Instant::now();
    let mut refused = 0_u32;
    let mut number = 0;
    while number < MESSAGES {
        match a.0.send(b.0.local_address(), &Ping { number }) {
            Ok(()) => number += 1,
            Err(_) => {
                refused += 1;
                std::thread::sleep(Duration::from_micros(50));
            }
        }
    }
    for _ in 0..MESSAGES {
        b.1.recv().expect("arrives");
    }
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "{:.0} messages a second, queue full {refused} times",
        f64::from(MESSAGES) / seconds
    );
}

fn memory() {
    let (hub, _received) = node("a");
    let peers: Vec<Node> = (0..PEERS).map(|_| node("b")).collect();
    std::thread::sleep(Duration::from_millis(500));
    let before = resident_kb();
    for (peer, _) in &peers {
        hub.send(peer.local_address(), &Ping { number: 1 })
            .expect("room");
        peer.send(hub.local_address(), &Ping { number: 1 })
            .expect("room");
    }
    std::thread::sleep(Duration::from_millis(1_000));
    let after = resident_kb();
    // Both ends of both connections are in this process: four ends for each peer.
    let each = after.saturating_sub(before) / PEERS;
    println!("{each} KB for each peer connected both ways, both ends included");
}

fn main() {
    let header = envelope::Header::new(
        "sask-a-1".parse().expect("a valid name"),
        ids::Incarnation::new(1_000),
    );
    let size = envelope::encode(&header, &Ping { number: 1 })
        .expect("encodes")
        .len();
    println!("a ping has {size} bytes");
    let (a, b) = (node("a"), node("b"));
    round_trips(&a, &b);
    throughput(&a, &b);
    memory();
}
