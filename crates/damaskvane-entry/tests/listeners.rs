//! Attacks on the listeners of a real entry instance for clients and operators.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use common::Entry;

const SETTINGS: &str = "head_timeout_ms = 400\nbody_timeout_ms = 400\nbody_limit_bytes = 1024\n";
const INCOMPLETE_REQUESTS: usize = 300;
/// Limit on additional threads; a larger increase means that connections hold threads.
const MAX_NEW_THREADS: u64 = 16;
const MAX_GROWTH_KB: u64 = 16_384;
/// Size of a header line that is never terminated.
const LONG_LINE_MB: usize = 64;

const LISTENERS: [(&str, &str); 2] = [
    ("client", "GET /v1/lookup?service=s&client=c HTTP/1.1"),
    ("operator", "GET /v1/status HTTP/1.1"),
];

fn responds(entry: &Entry, listener: &str, line: &str) -> bool {
    let request = format!("{line}\r\nhost: x\r\nconnection: close\r\n\r\n");
    common::exchange(entry.address(listener), request.as_bytes()).starts_with("HTTP/1.1")
}

/// An attacker opens hundreds of connections and sends half a request on each. If each connection held a thread
/// or stayed open, the instance would run out of threads or connections and stop responding.
#[test]
fn incomplete_requests_are_closed_hold_no_thread_and_do_not_block_others() {
    let entry = Entry::start("half-sent", SETTINGS);
    for (listener, line) in LISTENERS {
        let (threads, kilobytes) = entry.thread_count_and_memory_kb();
        let mut open: Vec<TcpStream> = (0..INCOMPLETE_REQUESTS)
            .map(|_| {
                let mut stream = common::connect(entry.address(listener));
                stream.write_all(line.as_bytes()).expect("sent");
                stream
            })
            .collect();
        assert!(
            responds(&entry, listener, line),
            "{listener} does not respond"
        );
        let (threads_held, kilobytes_held) = entry.thread_count_and_memory_kb();
        assert!(
            threads_held <= threads + MAX_NEW_THREADS,
            "{listener}: {threads} to {threads_held} threads"
        );
        assert!(
            kilobytes_held <= kilobytes + MAX_GROWTH_KB,
            "{listener}: {kilobytes} to {kilobytes_held} kB"
        );
        for stream in &mut open {
            let response = common::read_to_close(stream);
            assert!(!response.contains(" 200 "), "{listener}: {response}");
        }
    }
}

/// A client sends the head one byte at a time and never completes a request. A timeout for each read never
/// expires, so the complete head needs a timeout.
#[test]
fn a_head_sent_byte_by_byte_is_closed_at_the_head_timeout() {
    let entry = Entry::start("drip", SETTINGS);
    for (listener, line) in LISTENERS {
        let mut stream = common::connect(entry.address(listener));
        stream
            .write_all(format!("{line}\r\nx-slow: ").as_bytes())
            .expect("sent");
        common::wait_until("the slow connection is closed", || {
            std::thread::sleep(Duration::from_millis(20));
            stream.write_all(b"a").is_err()
        });
    }
}

/// A header line without an end. If the instance buffered the line, the sender would control how much memory
/// the instance uses.
#[test]
fn a_header_line_of_64_mb_is_not_buffered() {
    let entry = Entry::start("long-line", SETTINGS);
    let piece = vec![b'a'; 1 << 20];
    for (listener, line) in LISTENERS {
        let before = entry.thread_count_and_memory_kb().1;
        let mut stream = common::connect(entry.address(listener));
        stream
            .write_all(format!("{line}\r\nx-long: ").as_bytes())
            .expect("sent");
        for _ in 0..LONG_LINE_MB {
            if stream.write_all(&piece).is_err() {
                break;
            }
        }
        let after = entry.thread_count_and_memory_kb().1;
        assert!(
            after <= before + MAX_GROWTH_KB,
            "{listener}: {before} to {after} kB"
        );
        let response = common::read_to_close(&mut stream);
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 4"),
            "{listener}: {response}"
        );
        assert!(
            responds(&entry, listener, line),
            "{listener} does not respond"
        );
    }
}

/// Malformed requests and requests with too many headers get an error response or a closed connection.
#[test]
fn a_malformed_request_gets_an_error_and_a_closed_connection() {
    let entry = Entry::start("garbage", SETTINGS);
    let many: String = (0..200)
        .map(|number| format!("x-{number}: 1\r\n"))
        .collect();
    for (listener, line) in LISTENERS {
        let cases = [
            (
                "an invalid request line",
                "\x01\x02\x03 garbage\r\n\r\n".to_owned(),
            ),
            ("no bytes", String::new()),
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
            let response = common::exchange(entry.address(listener), sent.as_bytes());
            assert!(
                response.is_empty() || response.starts_with("HTTP/1.1 4"),
                "{listener}, {name}: {response}"
            );
        }
        let pipelined = format!("{line}\r\nhost: x\r\n\r\n\x00\x01garbage\r\n\r\n");
        let response = common::exchange(entry.address(listener), pipelined.as_bytes());
        assert_eq!(
            response.matches("HTTP/1.1 200").count() + response.matches("HTTP/1.1 503").count(),
            1,
            "{listener}: {response}"
        );
        assert!(
            responds(&entry, listener, line),
            "{listener} does not respond"
        );
    }
}
