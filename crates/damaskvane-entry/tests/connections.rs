//! Connections of clients that exceed the limit, disconnect or never read; the test acts as the engine.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;

use damaskvane_dispatch::outcome;
use damaskvane_engine::{event, message};
use damaskvane_entry::client_api::{binding, listener};
use damaskvane_entry::settings::EntrySettings;
use damaskvane_entry::{inbox, serving};
use damaskvane_telemetry::{counters, logging};

/// Size of a response that exceeds the socket buffers of both sides, so that it can't be sent completely until
/// the client reads.
const LARGE_RESPONSE_BYTES: usize = 32 << 20;
const REQUEST: &[u8] = b"GET /v1/services/rider-desk/work HTTP/1.1\r\nhost: x\r\n\r\n";

struct Listener {
    address: String,
    serving: Arc<serving::Serving>,
    inbox: flume::Receiver<inbox::Input>,
}

fn listen(settings: EntrySettings) -> Listener {
    let bound = binding::BoundAddress::bind("127.0.0.1:0").expect("a free port");
    let address = bound.local_address().expect("bound").to_string();
    let socket = bound.listen().expect("listens");
    let serving = Arc::new(serving::Serving::new(counters::Counters::local(), "e-1"));
    let (sender, inbox) = flume::unbounded();
    let api = Arc::new(listener::ClientApi {
        serving: Arc::clone(&serving),
        inbox: sender,
        settings,
        logger: logging::discarding_logger(),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    std::thread::spawn(move || runtime.block_on(listener::serve(socket, api)));
    Listener {
        address,
        serving,
        inbox,
    }
}

fn receive_submission(listening: &Listener) -> (inbox::RequestNumber, inbox::Reply) {
    match listening
        .inbox
        .recv_timeout(common::WAIT)
        .expect("a message")
    {
        inbox::Input::Submit { number, reply, .. } => (number, reply),
        other => panic!("expected a submitted request: {other:?}"),
    }
}

fn respond(reply: &inbox::Reply, bytes: usize) {
    let response = message::BackendResponse {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; bytes],
    };
    let _ = reply.send(outcome::Outcome::Completed(Arc::new(response)));
}

fn is_accepted(address: &str) -> bool {
    let mut stream = common::connect(address);
    let sent = stream.write_all(b"GET /nothing HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    sent.is_ok() && common::read_to_close(&mut stream).starts_with("HTTP/1.1 400")
}

/// A connection above the limit is closed at once and counted. The open connections continue, and a connection
/// that closes frees capacity for another.
#[test]
fn a_connection_above_the_limit_is_closed_and_counted() {
    let listening = listen(EntrySettings {
        connection_limit: 2,
        ..EntrySettings::default()
    });
    let mut first = common::connect(&listening.address);
    first.write_all(REQUEST).expect("sent");
    let (_, reply) = receive_submission(&listening);
    let second = common::connect(&listening.address);
    assert_eq!(common::exchange(&listening.address, b""), "");
    assert_eq!(
        listening.serving.counters.get("connections", "over_limit"),
        1
    );
    respond(&reply, 5);
    let mut head = [0; 12];
    first.read_exact(&mut head).expect("a response");
    assert_eq!(&head, b"HTTP/1.1 200");
    drop(second);
    common::wait_until("a connection is accepted again", || {
        is_accepted(&listening.address)
    });
}

/// A client closes or resets its connection while its request runs. If the engine were not notified, the backend
/// server would continue to run an abandoned request on a slot that other requests need.
#[test]
fn the_engine_is_notified_when_a_client_disconnects() {
    let preparations: [fn(&TcpStream); 2] = [
        |_| {},
        |stream| {
            let socket = socket2::SockRef::from(stream);
            socket
                .set_linger(Some(std::time::Duration::ZERO))
                .expect("set");
        },
    ];
    for prepare in preparations {
        let listening = listen(EntrySettings::default());
        let mut client = common::connect(&listening.address);
        client.write_all(REQUEST).expect("sent");
        let (submitted, _reply) = receive_submission(&listening);
        prepare(&client);
        drop(client);
        match listening
            .inbox
            .recv_timeout(common::WAIT)
            .expect("a message")
        {
            inbox::Input::Event(event::Event::ClientDisconnected { number }) => {
                assert_eq!(number, submitted);
            }
            other => panic!("{other:?}"),
        }
    }
}

/// A client disconnects after half a body: the request is incomplete, and the engine receives nothing.
#[test]
fn a_client_that_disconnects_within_its_body_submits_no_request() {
    let listening = listen(EntrySettings::default());
    let mut client = common::connect(&listening.address);
    client
        .write_all(b"GET /v1/services/rider-desk/work HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf")
        .expect("sent");
    drop(client);
    let counters = &listening.serving.counters;
    common::wait_until("the truncated request is counted", || {
        counters.get("connections", "broken") + counters.get("refused", "malformed_request") > 0
    });
    assert!(listening.inbox.is_empty());
}

/// A client requests a large response and never reads it. The connection is closed at the write timeout, so that
/// its capacity and the memory of the response become available to others.
#[test]
fn a_connection_whose_client_never_reads_is_closed() {
    let listening = listen(EntrySettings {
        connection_limit: 1,
        write_timeout_ms: 300,
        ..EntrySettings::default()
    });
    let mut stalled = common::connect(&listening.address);
    stalled.write_all(REQUEST).expect("sent");
    let (_, reply) = receive_submission(&listening);
    respond(&reply, LARGE_RESPONSE_BYTES);
    common::wait_until("the capacity is available again", || {
        is_accepted(&listening.address)
    });
    drop(stalled);
}
