//! Measures the transport over loopback: round trip, messages per second and memory per connected peer.
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

type Endpoint = (
    transport::Transport<Ping>,
    flume::Receiver<transport::Received<Ping>>,
);

fn listen(name: &str) -> Endpoint {
    let instance: ids::InstanceId = name.parse().expect("a valid name");
    let allowed = ["a", "b"].map(|name| name.parse().expect("a valid name"));
    let settings = settings::PeerSettings {
        instance,
        max_messages_per_second: u32::MAX,
        receive_queue_messages: 1_000_000,
        send_queue_messages: 8_000,
        ..settings::PeerSettings::default()
    };
    let (transport, received) = transport::Transport::listen(settings).expect("a free port");
    transport.set_allowed_senders(allowed);
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

fn round_trips(a: &Endpoint, b: &Endpoint) {
    let mut nanos = Vec::with_capacity(ROUND_TRIPS);
    for number in 0..WARM_UP + ROUND_TRIPS {
        let started = Instant::now();
        let ping = Ping { number: 1 };
        a.0.send(b.0.local_address(), &ping)
            .expect("capacity in the queue");
        b.1.recv().expect("arrives");
        b.0.send(a.0.local_address(), &ping)
            .expect("capacity in the queue");
        a.1.recv().expect("arrives");
        if number >= WARM_UP {
            nanos.push(started.elapsed().as_nanos());
        }
    }
    nanos.sort_unstable();
    let percentile_us = |permille: usize| nanos[nanos.len() * permille / 1_000] / 1_000;
    println!(
        "round trip: p50 {} us, p99 {} us",
        percentile_us(500),
        percentile_us(990)
    );
}

fn throughput(a: &Endpoint, b: &Endpoint) {
    let started = Instant::now();
    let mut queue_full = 0_u32;
    let mut number = 0;
    while number < MESSAGES {
        match a.0.send(b.0.local_address(), &Ping { number }) {
            Ok(()) => number += 1,
            Err(_) => {
                queue_full += 1;
                std::thread::sleep(Duration::from_micros(50));
            }
        }
    }
    for _ in 0..MESSAGES {
        b.1.recv().expect("arrives");
    }
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "{:.0} messages a second, queue full {queue_full} times",
        f64::from(MESSAGES) / seconds
    );
}

fn memory() {
    let (hub, _received) = listen("a");
    let peers: Vec<Endpoint> = (0..PEERS).map(|_| listen("b")).collect();
    std::thread::sleep(Duration::from_millis(500));
    let before = resident_kb();
    for (peer, _) in &peers {
        hub.send(peer.local_address(), &Ping { number: 1 })
            .expect("capacity in the queue");
        peer.send(hub.local_address(), &Ping { number: 1 })
            .expect("capacity in the queue");
    }
    std::thread::sleep(Duration::from_millis(1_000));
    let after = resident_kb();
    // This process holds both sockets of both connections: four sockets for each peer.
    let kb_per_peer = after.saturating_sub(before) / PEERS;
    println!("{kb_per_peer} KB for each peer connected both ways, both ends included");
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
    let (a, b) = (listen("a"), listen("b"));
    round_trips(&a, &b);
    throughput(&a, &b);
    memory();
}
