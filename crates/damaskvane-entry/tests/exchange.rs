//! One exchange with a backend server that misbehaves in every way an answer can.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

use damaskvane_core::time;
use damaskvane_engine::event::{self, ExchangeEnd};
use damaskvane_engine::message;
use damaskvane_entry::{clock, exchange};

const HEAD: &str = "HTTP/1.1 200 OK\r\ndamaskvane-request-id: r-1\r\n";
const LIMIT_BYTES: usize = 1_000;

fn loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn exchange_with(address: SocketAddr, method: &str, deadline_ms: u64) -> event::Exchange {
    let mut request = message::ServiceRequest::get(
        "rider-desk".parse().expect("valid"),
        "/work",
        "r-1".parse().expect("valid"),
    );
    request.method = method.to_owned();
    event::Exchange {
        number: event::ExchangeNumber::new(1),
        backend_server: "s-1".parse().expect("valid"),
        address,
        request: Arc::new(request),
        deadline: time::SpanMs::new(deadline_ms),
        begin_before: time::TimeMs::new(u64::MAX),
    }
}

fn run(exchange: &event::Exchange) -> ExchangeEnd {
    let limits = exchange::ExchangeLimits {
        response_limit_bytes: LIMIT_BYTES,
        ..exchange::ExchangeLimits::default()
    };
    exchange::run(exchange, clock::MonotonicClock::start(), limits)
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|count| count == 1) {
        head.push(byte[0]);
    }
}

/// How the exchange ends with a server that reads the head and sends this, then closes.
fn end_after(method: &str, answer: &str) -> ExchangeEnd {
    let listener = loopback();
    let address = listener.local_addr().expect("bound");
    let answer = answer.to_owned();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_head(&mut stream);
        let _ = stream.write_all(answer.as_bytes());
    });
    let end = run(&exchange_with(address, method, 20_000));
    server.join().expect("no panic");
    end
}

fn body(end: &ExchangeEnd) -> Option<&[u8]> {
    match end {
        ExchangeEnd::Answered(answer) => Some(&answer.body),
        _ => None,
    }
}

/// A backend server dies after any byte of its answer. A client that was given the part as the whole
/// would show half a rider's record; only the last byte makes the answer whole.
#[test]
fn an_answer_cut_after_any_byte_is_never_whole() {
    let whole = format!("{HEAD}content-length: 5\r\n\r\nwhole");
    for length in 0..whole.len() {
        let end = end_after("GET", &whole[..length]);
        let is_cut = matches!(end, ExchangeEnd::Lost | ExchangeEnd::TruncatedResponse);
        assert!(is_cut, "cut after {length} bytes: {end:?}");
    }
    assert_eq!(body(&end_after("GET", &whole)), Some(&b"whole"[..]));
}

/// Answers that are crossed, doubled, of no stated length, or longer than allowed.
#[test]
fn only_a_whole_answer_to_this_very_request_is_taken() {
    let crossed = "HTTP/1.1 200 OK\r\ndamaskvane-request-id: r-2\r\ncontent-length: 0\r\n\r\n";
    let nameless = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let two_names = format!("{HEAD}damaskvane-request-id: r-2\r\ncontent-length: 0\r\n\r\n");
    let early = format!("HTTP/1.1 103 Early Hints\r\n\r\n{HEAD}content-length: 0\r\n\r\n");
    let no_length = format!("{HEAD}\r\nperhaps whole");
    let two_lengths = format!("{HEAD}content-length: 5\r\ncontent-length: 6\r\n\r\nwhole!");
    let other_coding = format!("{HEAD}transfer-encoding: gzip\r\n\r\nperhaps whole");
    let long = "x".repeat(LIMIT_BYTES + 1);
    let too_long = format!("{HEAD}content-length: {}\r\n\r\n{long}", long.len());
    let refused = "HTTP/1.1 503 Busy\r\ndamaskvane-request-id: r-1\r\ndamaskvane-not-run: true\r\ncontent-length: 0\r\n\r\n";
    let crossed_refusal = refused.replace("r-1", "r-2");
    let cases = [
        ("crossed", crossed, ExchangeEnd::MismatchedResponse),
        ("without a name", nameless, ExchangeEnd::MismatchedResponse),
        (
            "with two names",
            &two_names,
            ExchangeEnd::MismatchedResponse,
        ),
        (
            "after an interim answer",
            &early,
            ExchangeEnd::MismatchedResponse,
        ),
        (
            "without a length",
            &no_length,
            ExchangeEnd::TruncatedResponse,
        ),
        (
            "with two lengths",
            &two_lengths,
            ExchangeEnd::TruncatedResponse,
        ),
        (
            "in another coding",
            &other_coding,
            ExchangeEnd::TruncatedResponse,
        ),
        ("too long", &too_long, ExchangeEnd::TruncatedResponse),
        (
            "no HTTP",
            "220 mail.example ESMTP\r\n\r\n",
            ExchangeEnd::TruncatedResponse,
        ),
        ("refused", refused, ExchangeEnd::Refused),
        (
            "a refusal of another request",
            &crossed_refusal,
            ExchangeEnd::MismatchedResponse,
        ),
    ];
    for (name, answer, expected) in cases {
        assert_eq!(end_after("GET", answer), expected, "{name}");
    }
    let doubled = format!("{HEAD}content-length: 3\r\n\r\none{HEAD}content-length: 3\r\n\r\ntwo");
    assert_eq!(body(&end_after("GET", &doubled)), Some(&b"one"[..]));
}

/// A backend server that does not know the length beforehand sends its answer in chunks. A cut between two
/// chunks looks like an end; only the last, empty chunk is one.
#[test]
fn a_chunked_answer_is_whole_with_its_last_chunk_only() {
    let whole = format!("{HEAD}transfer-encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n");
    assert_eq!(body(&end_after("GET", &whole)), Some(&b"whole"[..]));
    let head = whole.find("\r\n\r\n").expect("a head") + 4;
    for length in head..whole.len() - 2 {
        let end = end_after("GET", &whole[..length]);
        assert_eq!(
            end,
            ExchangeEnd::TruncatedResponse,
            "cut after {length} bytes"
        );
    }
}

/// `HEAD`, 204 and 304 state a length, or none, and send nothing. Waiting for the bytes would hold the
/// request until its deadline on a server that keeps the connection open.
#[test]
fn answers_without_a_body_are_whole_at_once_on_a_kept_connection() {
    let head_answer = format!("{HEAD}content-length: 500\r\n\r\n");
    let no_content = HEAD.replace("200 OK", "204 No Content") + "\r\n";
    let not_modified = HEAD.replace("200 OK", "304 Not Modified") + "content-length: 9\r\n\r\n";
    let cases = [
        ("HEAD", head_answer),
        ("GET", no_content),
        ("GET", not_modified),
    ];
    for (method, answer) in cases {
        let listener = loopback();
        let address = listener.local_addr().expect("bound");
        let (done, kept) = flume::bounded::<()>(1);
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            read_head(&mut stream);
            stream.write_all(answer.as_bytes()).expect("sent");
            let _ = kept.recv();
        });
        let end = run(&exchange_with(address, method, 5_000));
        drop(done);
        server.join().expect("no panic");
        assert_eq!(body(&end), Some(&b""[..]), "{method}: {end:?}");
    }
}

/// A server takes the request and says nothing, or stops in the middle. The exchange ends by its deadline and
/// is not called unsent.
#[test]
fn a_silent_server_is_given_up_at_the_deadline() {
    for (said, expected) in [
        (String::new(), ExchangeEnd::Timeout),
        (
            format!("{HEAD}content-length: 5\r\n\r\nwh"),
            ExchangeEnd::Timeout,
        ),
    ] {
        let listener = loopback();
        let address = listener.local_addr().expect("bound");
        let (done, kept) = flume::bounded::<()>(1);
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            read_head(&mut stream);
            stream.write_all(said.as_bytes()).expect("sent");
            let _ = kept.recv();
        });
        let end = run(&exchange_with(address, "GET", 100));
        drop(done);
        server.join().expect("no panic");
        assert_eq!(end, expected);
    }
}

/// Nobody listens: nothing was sent, and saying so lets the request run elsewhere.
#[test]
fn a_refused_connection_is_not_sent() {
    let listener = loopback();
    let address = listener.local_addr().expect("bound");
    drop(listener);
    assert_eq!(
        run(&exchange_with(address, "POST", 1_000)),
        ExchangeEnd::NotSent
    );
}

/// The process was paused between the decision and the sending, past the lease of the slot. Sending now
/// would put more onto the server than it has slots; nothing may even connect.
#[test]
fn nothing_connects_once_the_lease_has_lapsed() {
    let listener = loopback();
    listener.set_nonblocking(true).expect("set");
    let mut exchange = exchange_with(listener.local_addr().expect("bound"), "POST", 1_000);
    exchange.begin_before = time::TimeMs::new(0);
    assert_eq!(run(&exchange), ExchangeEnd::NotSent);
    assert!(listener.accept().is_err(), "something connected");
}
