//! Attacks on the address where a real entry instance listens to other instances.

mod common;

use std::io::Write;

use common::Entry;

/// What a pushing socket says first: the transport's greeting and the protocol number of push.
const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
const SILENT: usize = 300;
const MOST_NEW_THREADS: u64 = 16;
const MOST_GROWTH_KB: u64 = 16_384;
const ANNOUNCED: [u64; 3] = [64 << 20, 1 << 40, u64::MAX];

/// Bytes that are no greeting, as a port scan or a browser sends them: the connection is closed.
#[test]
fn what_is_no_greeting_is_closed() {
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

/// A message that announces more than any may have. Making room for it would take as much memory as the
/// sender likes to write into eight bytes.
#[test]
fn a_message_over_the_limit_ends_its_connection_and_takes_no_memory() {
    let entry = Entry::start("peer-large", "");
    let before = entry.cost().1;
    for announced in ANNOUNCED {
        let mut stream = common::connect(entry.address("peer"));
        let head = [GREETING.as_slice(), &announced.to_be_bytes()].concat();
        let _ = stream.write_all(&head);
        let piece = vec![b'x'; 1 << 20];
        for _ in 0..64 {
            if stream.write_all(&piece).is_err() {
                break;
            }
        }
        common::read_to_close(&mut stream);
    }
    let after = entry.cost().1;
    assert!(after <= before + MOST_GROWTH_KB, "{before} to {after} kB");
}

/// Messages of a sound length whose content is none. Each is dropped and counted, and the instance lives.
#[test]
fn a_message_that_is_none_is_dropped_and_counted() {
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
    common::wait_until("all are counted", || {
        entry.status()["control"]["dropped"]["malformed"] == contents.len()
    });
}

/// Hundreds connect and say nothing. None may hold a thread, and all are closed in the end.
#[test]
fn connections_that_never_greet_are_closed() {
    let entry = Entry::start("peer-silent", "");
    let threads = entry.cost().0;
    let mut open: Vec<_> = (0..SILENT)
        .map(|_| common::connect(entry.address("peer")))
        .collect();
    let held = entry.cost().0;
    assert!(
        held <= threads + MOST_NEW_THREADS,
        "{threads} to {held} threads"
    );
    for stream in &mut open {
        common::read_to_close(stream);
    }
}
