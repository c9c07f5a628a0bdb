//! Counters on their way to a statsd server.

use std::net::UdpSocket;
use std::time::Duration;

use damaskvane_telemetry::counters;

/// A quiet instance refuses one request. Buffered until a datagram is full, the refusal would show hours
/// later, or never, on the operator's page.
#[test]
fn a_single_count_arrives_without_others_behind_it() {
    let statsd = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    statsd
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("set");
    let address = statsd.local_addr().expect("bound");
    let counters = counters::Counters::to_statsd(address).expect("a socket");
    counters.increment("refused", "queue_full");
    let mut datagram = [0; 2_048];
    let length = statsd.recv(&mut datagram).expect("a datagram in time");
    let text = String::from_utf8_lossy(&datagram[..length]);
    assert_eq!(text.trim_end(), "damaskvane.refused.queue_full:1|c");
}

/// The statsd server is gone. Counting goes on, and the counts that the status shows stay exact.
#[test]
fn counts_stay_exact_while_nobody_listens() {
    let gone = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = gone.local_addr().expect("bound");
    drop(gone);
    let counters = counters::Counters::to_statsd(address).expect("a socket");
    for _ in 0..10_000 {
        counters.increment("refused", "queue_full");
    }
    assert_eq!(counters.get("refused", "queue_full"), 10_000);
}
