//! Tests of reading backend servers' responses from a connection, in pieces of several sizes.

use std::io::Write;
use std::net;
use std::time::Duration;

use damaskvane_gateway::http::{BodyReader, Connection, MalformedHead, ReadError};

/// Reads one response that arrives in pieces of `piece` bytes; returns its status, its body, and whether the
/// connection stays open.
fn read(bytes: &'static [u8], piece: usize) -> Result<(u16, Vec<u8>, bool), ReadError> {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let writing = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.set_nodelay(true).expect("an option");
        for piece in bytes.chunks(piece) {
            // The reader may have rejected the response and closed the connection.
            if stream.write_all(piece).is_err() {
                return;
            }
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let result = runtime.block_on(async {
        let second = Duration::from_secs(20);
        let mut connection = Connection::open(address, second, second).await?;
        let head = connection.read_head().await?;
        let mut body = BodyReader::new(head.body);
        let whole = connection.read_body(&mut body, 1 << 20).await?;
        let whole = whole.expect("a short body");
        Ok((head.status.as_u16(), whole.to_vec(), head.is_keep_alive))
    });
    writing.join().expect("the writer ends");
    result
}

const PIECES: [usize; 3] = [1, 7, 10_000];

#[test]
fn complete_responses_are_read_in_pieces_of_any_size() {
    let responses: [(&[u8], &[u8]); 5] = [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", b"hello"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: r\r\n\r\n",
            b"hello",
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nhello", b"hello"),
        (b"HTTP/1.1 204 No\r\n\r\n", b""),
        (
            b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            b"ok",
        ),
    ];
    for (bytes, body) in responses {
        for piece in PIECES {
            let (status, read_body, _) = read(bytes, piece).expect("a complete response");
            assert!(status == 200 || status == 204);
            assert_eq!(read_body, body);
        }
    }
}

/// A server closes the connection in the middle of its response. The received part must not be accepted as the
/// complete response.
#[test]
fn truncated_responses_are_errors() {
    let responses: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ];
    for bytes in responses {
        for piece in PIECES {
            assert!(
                read(bytes, piece).is_err(),
                "{}",
                String::from_utf8_lossy(bytes)
            );
        }
    }
}

/// Bytes that are not a response, or a response of ambiguous length, would let one client read the data of another
/// client.
#[test]
fn responses_of_ambiguous_length_are_malformed() {
    let responses: [&[u8]; 10] = [
        b"no answer at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n0\r\n\r\n",
    ];
    for bytes in responses {
        let result = read(bytes, 10_000);
        assert!(
            matches!(result, Err(ReadError::Head(_) | ReadError::Chunks)),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
}

#[test]
fn a_connection_that_the_server_closes_is_not_reused() {
    let closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    assert!(!read(closing, 100).expect("a response").2);
    assert!(!read(b"HTTP/1.1 200 OK\r\n\r\n", 100).expect("a response").2);
    let keeping = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assert!(read(keeping, 100).expect("a response").2);
}

/// A request is abandoned while the network delays its bytes, as in a partition between two zones. After an ordinary
/// close of the connection the operating system would still send the bytes, and a server that has left in the meantime
/// would get the request.
#[test]
fn an_abandoned_request_is_not_delivered_later() {
    const REQUEST_BYTES: usize = 64 << 20;
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let second = Duration::from_secs(20);
        let mut connection = Connection::open(address, second, second)
            .await
            .expect("a connection");
        // The listener does not read, so that the bytes fill the buffers and the write blocks.
        let request = vec![b'x'; REQUEST_BYTES];
        let writing = connection.write(&request);
        let blocked = tokio::time::timeout(Duration::from_millis(300), writing).await;
        assert!(blocked.is_err(), "the buffers took {REQUEST_BYTES} bytes");
    });
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut arrived = Vec::new();
    let end = std::io::Read::read_to_end(&mut stream, &mut arrived);
    let end = end.expect_err("the connection is reset");
    assert_eq!(end.kind(), std::io::ErrorKind::ConnectionReset);
}

/// Guards against a status that no response may have and that is taken for one.
#[test]
fn statuses_outside_100_to_599_are_malformed() {
    let responses: [&[u8]; 4] = [
        b"HTTP/1.1 000 Spoiled\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 099 Spoiled\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 600 Spoiled\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 999 Spoiled\r\nContent-Length: 0\r\n\r\n",
    ];
    for bytes in responses {
        let text = String::from_utf8_lossy(bytes);
        let result = read(bytes, 10_000);
        let is_malformed = matches!(result, Err(ReadError::Head(MalformedHead::Status(_))));
        assert!(is_malformed, "{text}");
    }
}
