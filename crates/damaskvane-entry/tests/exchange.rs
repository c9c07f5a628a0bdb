//! Exchanges with backend servers that send invalid, truncated or no responses.

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

/// Runs an exchange with a server that reads the request's head, sends `response` and closes the connection.
fn end_after(method: &str, response: &str) -> ExchangeEnd {
    let listener = loopback();
    let address = listener.local_addr().expect("bound");
    let response = response.to_owned();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_head(&mut stream);
        let _ = stream.write_all(response.as_bytes());
    });
    let end = run(&exchange_with(address, method, 20_000));
    server.join().expect("no panic");
    end
}

fn body(end: &ExchangeEnd) -> Option<&[u8]> {
    match end {
        ExchangeEnd::Answered(response) => Some(&response.body),
        _ => None,
    }
}

/// A backend server crashes after any byte of its response. A client must not receive the truncated response as
/// a complete one: it would show half a rider's record.
#[test]
fn a_response_truncated_after_any_byte_is_never_complete() {
    let complete = format!("{HEAD}content-length: 5\r\n\r\nwhole");
    for length in 0..complete.len() {
        let end = end_after("GET", &complete[..length]);
        let is_truncated = matches!(end, ExchangeEnd::Lost | ExchangeEnd::TruncatedResponse);
        assert!(is_truncated, "truncated after {length} bytes: {end:?}");
    }
    assert_eq!(body(&end_after("GET", &complete)), Some(&b"whole"[..]));
}

/// Responses to another request, duplicated, without a declared length, or longer than allowed.
#[test]
fn only_a_complete_response_to_this_request_is_accepted() {
    let mismatched = "HTTP/1.1 200 OK\r\ndamaskvane-request-id: r-2\r\ncontent-length: 0\r\n\r\n";
    let without_id = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let two_ids = format!("{HEAD}damaskvane-request-id: r-2\r\ncontent-length: 0\r\n\r\n");
    let interim = format!("HTTP/1.1 103 Early Hints\r\n\r\n{HEAD}content-length: 0\r\n\r\n");
    let no_length = format!("{HEAD}\r\nperhaps whole");
    let two_lengths = format!("{HEAD}content-length: 5\r\ncontent-length: 6\r\n\r\nwhole!");
    let other_coding = format!("{HEAD}transfer-encoding: gzip\r\n\r\nperhaps whole");
    let long = "x".repeat(LIMIT_BYTES + 1);
    let too_long = format!("{HEAD}content-length: {}\r\n\r\n{long}", long.len());
    let refused = "HTTP/1.1 503 Busy\r\ndamaskvane-request-id: r-1\r\ndamaskvane-not-run: true\r\ncontent-length: 0\r\n\r\n";
    let mismatched_refusal = refused.replace("r-1", "r-2");
    let cases = [
        (
            "for another request",
            mismatched,
            ExchangeEnd::MismatchedResponse,
        ),
        (
            "without a request id",
            without_id,
            ExchangeEnd::MismatchedResponse,
        ),
        (
            "with two request ids",
            &two_ids,
            ExchangeEnd::MismatchedResponse,
        ),
        (
            "after an interim response",
            &interim,
            ExchangeEnd::MismatchedResponse,
        ),
        (
            "without a declared length",
            &no_length,
            ExchangeEnd::TruncatedResponse,
        ),
        (
            "with two declared lengths",
            &two_lengths,
            ExchangeEnd::TruncatedResponse,
        ),
        (
            "with another transfer coding",
            &other_coding,
            ExchangeEnd::TruncatedResponse,
        ),
        ("too long", &too_long, ExchangeEnd::TruncatedResponse),
        (
            "not HTTP",
            "220 mail.example ESMTP\r\n\r\n",
            ExchangeEnd::TruncatedResponse,
        ),
        ("refused", refused, ExchangeEnd::Refused),
        (
            "a refusal of another request",
            &mismatched_refusal,
            ExchangeEnd::MismatchedResponse,
        ),
    ];
    for (name, response, expected) in cases {
        assert_eq!(end_after("GET", response), expected, "{name}");
    }
    let doubled = format!("{HEAD}content-length: 3\r\n\r\none{HEAD}content-length: 3\r\n\r\ntwo");
    assert_eq!(body(&end_after("GET", &doubled)), Some(&b"one"[..]));
}

/// A backend server that does not know the length in advance sends its response in chunks. If the connection
/// closes between two chunks, the body looks complete; only the last, empty chunk marks the end.
#[test]
fn a_chunked_response_is_complete_only_with_its_last_chunk() {
    let complete =
        format!("{HEAD}transfer-encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n");
    assert_eq!(body(&end_after("GET", &complete)), Some(&b"whole"[..]));
    let head = complete.find("\r\n\r\n").expect("a head") + 4;
    for length in head..complete.len() - 2 {
        let end = end_after("GET", &complete[..length]);
        assert_eq!(
            end,
            ExchangeEnd::TruncatedResponse,
            "truncated after {length} bytes"
        );
    }
}

/// Responses to `HEAD` and with status 204 or 304 have no body, even with a declared length. Waiting for a body
/// would delay the request until its deadline if the server keeps the connection open.
#[test]
fn responses_without_a_body_complete_at_once_on_an_open_connection() {
    let head_response = format!("{HEAD}content-length: 500\r\n\r\n");
    let no_content = HEAD.replace("200 OK", "204 No Content") + "\r\n";
    let not_modified = HEAD.replace("200 OK", "304 Not Modified") + "content-length: 9\r\n\r\n";
    let cases = [
        ("HEAD", head_response),
        ("GET", no_content),
        ("GET", not_modified),
    ];
    for (method, response) in cases {
        let listener = loopback();
        let address = listener.local_addr().expect("bound");
        let (done, kept) = flume::bounded::<()>(1);
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            read_head(&mut stream);
            stream.write_all(response.as_bytes()).expect("sent");
            let _ = kept.recv();
        });
        let end = run(&exchange_with(address, method, 5_000));
        drop(done);
        server.join().expect("no panic");
        assert_eq!(body(&end), Some(&b""[..]), "{method}: {end:?}");
    }
}

/// A server reads the request and sends nothing, or half a response. The exchange times out at its deadline and
/// does not end as not sent, since the server may have run the request.
#[test]
fn an_unresponsive_server_times_out_at_the_deadline() {
    for (sent, expected) in [
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
            stream.write_all(sent.as_bytes()).expect("sent");
            let _ = kept.recv();
        });
        let end = run(&exchange_with(address, "GET", 100));
        drop(done);
        server.join().expect("no panic");
        assert_eq!(end, expected);
    }
}

/// No process listens at the address: ending as not sent allows the request to run on another server.
#[test]
fn a_refused_connection_ends_as_not_sent() {
    let listener = loopback();
    let address = listener.local_addr().expect("bound");
    drop(listener);
    assert_eq!(
        run(&exchange_with(address, "POST", 1_000)),
        ExchangeEnd::NotSent
    );
}

/// The process was paused between the decision to send and the sending until the lease of the slot had expired.
/// Sending the request would exceed the server's slots, so no connection is opened.
#[test]
fn no_connection_is_opened_after_the_lease_expired() {
    let listener = loopback();
    listener.set_nonblocking(true).expect("set");
    let mut exchange = exchange_with(listener.local_addr().expect("bound"), "POST", 1_000);
    exchange.begin_before = time::TimeMs::new(0);
    assert_eq!(run(&exchange), ExchangeEnd::NotSent);
    assert!(listener.accept().is_err(), "a connection was opened");
}
