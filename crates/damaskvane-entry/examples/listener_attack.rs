//! Runs the same attacks on a rouille server and on the entry instance's listener and prints the threads,
//! connections and memory that each server uses.
//!
//! ```text
//! cargo run --release -p damaskvane-entry --example listener_attack
//! ```
//!
//! Produces the figures in `docs/design/listeners.md`. Both servers run in this process, one after the other,
//! and receive 500 incomplete requests and then one header line of 64 MB.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use damaskvane_entry::{http_listener, serving};
use damaskvane_telemetry::counters;
use http_body_util::Full;
use hyper::Response;

const INCOMPLETE_REQUESTS: usize = 500;
const LINE_MB: usize = 64;
const OBSERVATION_TIME: Duration = Duration::from_secs(15);
const READ_LIMIT: Duration = Duration::from_millis(1);

fn main() -> io::Result<()> {
    println!("listener  half-sent  threads  still open after 15 s  kB before  kB after 64 MB line");
    attack("hyper", start_hyper()?)?;
    attack("rouille", start_rouille()?)
}

fn start_rouille() -> io::Result<SocketAddr> {
    let server = rouille::Server::new("127.0.0.1:0", |_| rouille::Response::text("ok"))
        .map_err(|error| io::Error::other(error.to_string()))?;
    let address = server.server_addr();
    thread::spawn(move || server.run());
    Ok(address)
}

fn start_hyper() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let counts = http_listener::ConnectionCounts {
        serving: Arc::new(serving::Serving::new(counters::Counters::local(), "e-1")),
        family: "connections",
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::spawn(move || {
        let bounds = http_listener::ListenerBounds::default();
        runtime.block_on(http_listener::serve(listener, bounds, counts, |_| {
            core::future::ready(Response::new(Full::new(Bytes::from_static(b"ok"))))
        }))
    });
    Ok(address)
}

fn attack(name: &str, address: SocketAddr) -> io::Result<()> {
    let threads_before = process_status_number("Threads:")?;
    let mut open = Vec::new();
    for _ in 0..INCOMPLETE_REQUESTS {
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: x")?;
        stream.set_read_timeout(Some(READ_LIMIT))?;
        open.push(stream);
    }
    thread::sleep(Duration::from_secs(1));
    let threads = process_status_number("Threads:")? - threads_before;
    thread::sleep(OBSERVATION_TIME);
    let still_open: usize = open
        .iter_mut()
        .map(|stream| usize::from(is_open(stream)))
        .sum();
    drop(open);
    thread::sleep(Duration::from_secs(1));
    let before = process_status_number("VmRSS:")?;
    let long = send_long_line(address)?;
    let after = process_status_number("VmRSS:")?;
    drop(long);
    println!(
        "{name:8}  {INCOMPLETE_REQUESTS:9}  {threads:7}  {still_open:21}  {before:9}  {after:20}"
    );
    Ok(())
}

fn send_long_line(address: SocketAddr) -> io::Result<TcpStream> {
    let piece = vec![b'a'; 1 << 20];
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET / HTTP/1.1\r\nx-long: ")?;
    for _ in 0..LINE_MB {
        if stream.write_all(&piece).is_err() {
            break;
        }
    }
    thread::sleep(Duration::from_secs(1));
    Ok(stream)
}

fn is_open(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes);
    ended.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

fn process_status_number(key: &str) -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find(|line| line.starts_with(key));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| io::Error::other("/proc/self/status does not contain the requested number"))
}
