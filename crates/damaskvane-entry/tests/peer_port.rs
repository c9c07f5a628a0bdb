//! Attacks on the listener of a real entry instance for other instances.

mod common;

use std::io::Write;

use common::Entry;

/// The first bytes that a push socket sends: the transport's greeting with the protocol number of push.
const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
const IDLE_CONNECTIONS: usize = 300;
const ABORTED_CONNECTIONS: usize = 400;
const MAX_NEW_THREADS: u64 = 16;
const MAX_GROWTH_KB: u64 = 16_384;
const DECLARED_BYTES: [u64; 3] = [64 << 20, 1 << 40, u64::MAX];

/// A port scan or a browser sends other bytes than a greeting: the connection is closed.
#[test]
fn an_invalid_greeting_closes_the_connection() {
    let entry = Entry::start("peer-garbage", "");
    let cases: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
        &[0xff; 4_096],
        &[0, b'S', b'P', 0, 0, 0x10, 0, 0],
        &[0, b'S', b'P', 9, 0, 0x50, 0, 0],
    ];
    for sent in cases {
        common::exchange(entry.address("peer"), sent);
    }
    assert!(
        entry.status()["control"]["received"]
            .as_object()
            .expect("an object")
            .is_empty()
    );
}

/// A message declares a length above the limit. If the instance allocated the declared length, any sender could
/// exhaust the instance's memory with the eight bytes of the length.
#[test]
fn an_oversized_message_closes_its_connection_and_allocates_no_memory() {
    let entry = Entry::start("peer-large", "");
    let before = entry.thread_count_and_memory_kb().1;
    for declared in DECLARED_BYTES {
        let mut stream = common::connect(entry.address("peer"));
        let head = [GREETING.as_slice(), &declared.to_be_bytes()].concat();
        let _ = stream.write_all(&head);
        let piece = vec![b'x'; 1 << 20];
        for _ in 0..64 {
            if stream.write_all(&piece).is_err() {
                break;
            }
        }
        common::read_to_close(&mut stream);
    }
    let after = entry.thread_count_and_memory_kb().1;
    assert!(after <= before + MAX_GROWTH_KB, "{before} to {after} kB");
}

/// A client repeatedly connects and disconnects within the first message. The instance has to keep running and to
/// release each connection; otherwise the connection limit would be reached and peers would be rejected.
#[test]
fn aborted_connections_neither_stop_the_instance_nor_reach_the_connection_limit() {
    let entry = Entry::start("peer-broken", "");
    let head = [GREETING.as_slice(), &u64::MAX.to_be_bytes()].concat();
    for _ in 0..ABORTED_CONNECTIONS {
        let mut stream = common::connect(entry.address("peer"));
        let _ = stream.write_all(&head);
    }
    let dropped = &entry.status()["control"]["dropped"];
    assert_eq!(dropped["connection-limit"], serde_json::Value::Null);
}

/// Messages of a valid length with malformed content are dropped and counted, and the instance keeps running.
#[test]
fn a_malformed_message_is_dropped_and_counted() {
    let entry = Entry::start("peer-malformed", "");
    let contents: [&[u8]; 4] = [b"", b"hello", &[0xff; 100], &[0; 1_000]];
    let mut stream = common::connect(entry.address("peer"));
    stream.write_all(&GREETING).expect("sent");
    for content in contents {
        let length = (content.len() as u64).to_be_bytes();
        stream
            .write_all(&[length.as_slice(), content].concat())
            .expect("sent");
    }
    common::wait_until("all malformed messages are counted", || {
        entry.status()["control"]["dropped"]["malformed"] == contents.len()
    });
}

/// Hundreds of connections that send nothing hold no threads and are eventually closed.
#[test]
fn connections_that_send_no_greeting_are_closed() {
    let entry = Entry::start("peer-silent", "");
    let threads = entry.thread_count_and_memory_kb().0;
    let mut open: Vec<_> = (0..IDLE_CONNECTIONS)
        .map(|_| common::connect(entry.address("peer")))
        .collect();
    let held = entry.thread_count_and_memory_kb().0;
    assert!(
        held <= threads + MAX_NEW_THREADS,
        "{threads} to {held} threads"
    );
    for stream in &mut open {
        common::read_to_close(stream);
    }
}
