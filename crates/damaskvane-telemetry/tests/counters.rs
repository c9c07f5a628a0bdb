//! Sending of counters to a statsd server.

use std::net::UdpSocket;
use std::time::Duration;

use damaskvane_telemetry::counters;

/// An instance with little traffic refuses one request. If the counter were buffered until a datagram is full, the
/// operator's page would show the refusal hours later or never.
#[test]
fn a_single_count_is_sent_without_further_counts() {
    let statsd = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    statsd
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("set read timeout");
    let address = statsd.local_addr().expect("bound");
    let counters = counters::Counters::to_statsd(address).expect("a socket");
    counters.increment("refused", "queue_full");
    let mut datagram = [0; 2_048];
    let length = statsd.recv(&mut datagram).expect("a datagram in time");
    let text = String::from_utf8_lossy(&datagram[..length]);
    assert_eq!(text.trim_end(), "damaskvane.refused.queue_full:1|c");
}

/// No statsd server is listening. The counters that the status page shows must stay exact.
#[test]
fn counts_stay_exact_without_a_statsd_server() {
    let closed = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = closed.local_addr().expect("bound");
    drop(closed);
    let counters = counters::Counters::to_statsd(address).expect("a socket");
    for _ in 0..10_000 {
        counters.increment("refused", "queue_full");
    }
    assert_eq!(counters.get("refused", "queue_full"), 10_000);
}
