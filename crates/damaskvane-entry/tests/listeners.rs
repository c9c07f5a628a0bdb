//! Attacks on the addresses where a real entry instance listens to clients and operators.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use common::Entry;

const BOUNDS: &str = "head_timeout_ms = 400\nbody_timeout_ms = 400\nbody_limit_bytes = 1024\n";
const HALF_SENT: usize = 300;
/// More threads than this above the start would be threads that connections hold.
const MOST_NEW_THREADS: u64 = 16;
const MOST_GROWTH_KB: u64 = 16_384;
/// What is sent of one header line.
const LONG_LINE_MB: usize = 64;

const LISTENERS: [(&str, &str); 2] = [
    ("client", "GET /v1/lookup?service=s&client=c HTTP/1.1"),
    ("operator", "GET /v1/status HTTP/1.1"),
];

fn answers(entry: &Entry, listener: &str, line: &str) -> bool {
    let request = format!("{line}\r\nhost: x\r\nconnection: close\r\n\r\n");
    common::exchange(entry.address(listener), request.as_bytes()).starts_with("HTTP/1.1")
}

/// Somebody opens hundreds of connections, sends half a request on each and waits. If each held a
/// thread or stayed open, the instance would run out of both; callers would see it go deaf.
#[test]
fn half_sent_requests_are_closed_hold_no_thread_and_others_are_answered() {
    let entry = Entry::start("half-sent", BOUNDS);
    for (listener, line) in LISTENERS {
        let (threads, kilobytes) = entry.cost();
        let mut open: Vec<TcpStream> = (0..HALF_SENT)
            .map(|_| {
                let mut stream = common::connect(entry.address(listener));
                stream.write_all(line.as_bytes()).expect("sent");
                stream
            })
            .collect();
        assert!(answers(&entry, listener, line), "{listener} is deaf");
        let (threads_held, kilobytes_held) = entry.cost();
        assert!(
            threads_held <= threads + MOST_NEW_THREADS,
            "{listener}: {threads} to {threads_held} threads"
        );
        assert!(
            kilobytes_held <= kilobytes + MOST_GROWTH_KB,
            "{listener}: {kilobytes} to {kilobytes_held} kB"
        );
        for stream in &mut open {
            let said = common::read_to_close(stream);
            assert!(!said.contains(" 200 "), "{listener}: {said}");
        }
    }
}

/// One header byte at a time keeps a connection busy without ever sending a request. A time-out on
/// single reads never fires; the head as a whole must have one.
#[test]
fn a_head_that_drips_in_is_closed_within_the_time_for_a_head() {
    let entry = Entry::start("drip", BOUNDS);
    for (listener, line) in LISTENERS {
        let mut stream = common::connect(entry.address(listener));
        stream
            .write_all(format!("{line}\r\nx-slow: ").as_bytes())
            .expect("sent");
        common::wait_until("the dripping connection is closed", || {
            std::thread::sleep(Duration::from_millis(20));
            stream.write_all(b"a").is_err()
        });
    }
}

/// A header line without an end. Taken whole, it costs the instance as much memory as the sender likes.
#[test]
fn a_header_line_of_64_mb_is_never_taken_into_memory() {
    let entry = Entry::start("long-line", BOUNDS);
    let piece = vec![b'a'; 1 << 20];
    for (listener, line) in LISTENERS {
        let before = entry.cost().1;
        let mut stream = common::connect(entry.address(listener));
        stream
            .write_all(format!("{line}\r\nx-long: ").as_bytes())
            .expect("sent");
        for _ in 0..LONG_LINE_MB {
            if stream.write_all(&piece).is_err() {
                break;
            }
        }
        let after = entry.cost().1;
        assert!(
            after <= before + MOST_GROWTH_KB,
            "{listener}: {before} to {after} kB"
        );
        let said = common::read_to_close(&mut stream);
        assert!(
            said.is_empty() || said.starts_with("HTTP/1.1 4"),
            "{listener}: {said}"
        );
        assert!(answers(&entry, listener, line), "{listener} is deaf");
    }
}

/// Bytes that are no request, or too much of one. The sender gets an error or a closed connection.
#[test]
fn what_is_no_request_gets_an_error_and_a_closed_connection() {
    let entry = Entry::start("garbage", BOUNDS);
    let many: String = (0..200)
        .map(|number| format!("x-{number}: 1\r\n"))
        .collect();
    for (listener, line) in LISTENERS {
        let cases = [
            ("no request line", "\x01\x02\x03 garbage\r\n\r\n".to_owned()),
            ("nothing at all", String::new()),
            ("no version", "GET /v1/status\r\n\r\n".to_owned()),
            (
                "another protocol",
                "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
            ),
            ("a header without a name", format!("{line}\r\n: x\r\n\r\n")),
            (
                "too many headers",
                format!("{line}\r\nhost: x\r\n{many}\r\n"),
            ),
            (
                "two lengths",
                format!("{line}\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"),
            ),
        ];
        for (name, sent) in cases {
            let said = common::exchange(entry.address(listener), sent.as_bytes());
            assert!(
                said.is_empty() || said.starts_with("HTTP/1.1 4"),
                "{listener}, {name}: {said}"
            );
        }
        let pipelined = format!("{line}\r\nhost: x\r\n\r\n\x00\x01garbage\r\n\r\n");
        let said = common::exchange(entry.address(listener), pipelined.as_bytes());
        assert_eq!(
            said.matches("HTTP/1.1 200").count() + said.matches("HTTP/1.1 503").count(),
            1,
            "{listener}: {said}"
        );
        assert!(answers(&entry, listener, line), "{listener} is deaf");
    }
}
