//! Connections of clients that flood, go away or never read; the test plays the engine.

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

/// More than the buffers of both ends take, so that an answer of it stays unsent until it is read.
const LARGE_BYTES: usize = 32 << 20;
const REQUEST: &[u8] = b"GET /v1/services/rider-desk/work HTTP/1.1\r\nhost: x\r\n\r\n";

struct Listening {
    address: String,
    serving: Arc<serving::Serving>,
    inbox: flume::Receiver<inbox::Input>,
}

fn listen(settings: EntrySettings) -> Listening {
    let bound = binding::BoundAddress::bind("127.0.0.1:0").expect("a free port");
    let address = bound.local_address().expect("bound").to_string();
    let socket = bound.listen().expect("listens");
    let serving = Arc::new(serving::Serving::new(counters::Counters::local(), "e-1"));
    let (sender, inbox) = flume::unbounded();
    let api = Arc::new(listener::ClientApi {
        serving: Arc::clone(&serving),
        inbox: sender,
        settings,
        logger: logging::silent(),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    std::thread::spawn(move || runtime.block_on(listener::serve(socket, api)));
    Listening {
        address,
        serving,
        inbox,
    }
}

fn submitted(listening: &Listening) -> (inbox::RequestNumber, inbox::Reply) {
    match listening
        .inbox
        .recv_timeout(common::WAIT)
        .expect("a message")
    {
        inbox::Input::Submit { number, reply, .. } => (number, reply),
        other => panic!("not submitted: {other:?}"),
    }
}

fn answer(reply: &inbox::Reply, bytes: usize) {
    let answer = message::BackendResponse {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; bytes],
    };
    let _ = reply.send(outcome::Outcome::Completed(Arc::new(answer)));
}

fn is_let_in(address: &str) -> bool {
    let mut stream = common::connect(address);
    let sent = stream.write_all(b"GET /nothing HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    sent.is_ok() && common::read_to_close(&mut stream).starts_with("HTTP/1.1 400")
}

/// More connections come than the instance takes. The one too many is closed at once and counted, those that
/// are in go on, and a place that is given back is used again.
#[test]
fn a_connection_above_the_limit_is_closed_and_counted() {
    let listening = listen(EntrySettings {
        connection_limit: 2,
        ..EntrySettings::default()
    });
    let mut first = common::connect(&listening.address);
    first.write_all(REQUEST).expect("sent");
    let (_, reply) = submitted(&listening);
    let second = common::connect(&listening.address);
    assert_eq!(common::exchange(&listening.address, b""), "");
    assert_eq!(
        listening.serving.counters.get("connections", "over_limit"),
        1
    );
    answer(&reply, 5);
    let mut head = [0; 12];
    first.read_exact(&mut head).expect("an answer");
    assert_eq!(&head, b"HTTP/1.1 200");
    drop(second);
    common::wait_until("a free place is used", || is_let_in(&listening.address));
}

/// A client goes away while its request runs. Unless the engine hears of it, the backend server works on for
/// nobody and its slot is lost to others.
#[test]
fn the_engine_hears_of_a_client_that_goes_away() {
    let leave: [fn(&TcpStream); 2] = [
        |_| {},
        |stream| {
            let socket = socket2::SockRef::from(stream);
            socket
                .set_linger(Some(std::time::Duration::ZERO))
                .expect("set");
        },
    ];
    for prepare in leave {
        let listening = listen(EntrySettings::default());
        let mut client = common::connect(&listening.address);
        client.write_all(REQUEST).expect("sent");
        let (submitted, _reply) = submitted(&listening);
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

/// A client sends half a body and goes away: there is no request, and the engine hears of none.
#[test]
fn a_client_that_goes_away_within_its_body_leaves_nothing() {
    let listening = listen(EntrySettings::default());
    let mut client = common::connect(&listening.address);
    client
        .write_all(b"GET /v1/services/rider-desk/work HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf")
        .expect("sent");
    drop(client);
    let counters = &listening.serving.counters;
    common::wait_until("the cut connection is counted", || {
        counters.get("connections", "broken") + counters.get("refused", "malformed_request") > 0
    });
    assert!(listening.inbox.is_empty());
}

/// A client asks for much and reads nothing. It gets its connection closed, so that its place and the
/// answer's memory go to others.
#[test]
fn a_client_that_never_reads_loses_its_connection() {
    let listening = listen(EntrySettings {
        connection_limit: 1,
        write_timeout_ms: 300,
        ..EntrySettings::default()
    });
    let mut deaf = common::connect(&listening.address);
    deaf.write_all(REQUEST).expect("sent");
    let (_, reply) = submitted(&listening);
    answer(&reply, LARGE_BYTES);
    common::wait_until("its place is free", || is_let_in(&listening.address));
    drop(deaf);
}
