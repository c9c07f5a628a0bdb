//! Serves the requests of one connection to a backend server, one after the other.

use std::io;
use std::net;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend;
use crate::backend::http::{self, Request, Response};
use crate::backend::server::Abort;
use crate::backend::{
    DisconnectStage, Execution, Faults, HealthOverride, LoadOverride, ResponseBody, Server,
};

/// The interval at which a hanging connection checks whether its caller has closed it.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum time that a connection hangs, so that its thread ends.
const MAX_HANG: Duration = Duration::from_secs(120);
/// The maximum padding of a response body.
const MAX_PADDING_BYTES: u64 = 16 * 1024 * 1024;

/// Whether the server keeps the connection open after an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    KeepOpen,
    Close,
}

/// Serves the requests of connection `number` until either side closes it or a fault ends it.
pub(crate) fn serve(server: &Server, number: u64, mut stream: net::TcpStream) {
    let mut buffer = Vec::new();
    loop {
        if server.faults().disconnect_at == Some(DisconnectStage::BeforeRead) {
            break;
        }
        let Ok(Some(request)) = http::read_request(&mut stream, &mut buffer) else {
            break;
        };
        if server.is_frozen(number) {
            hang(&stream);
            break;
        }
        match exchange(server, &mut stream, &request) {
            Ok(ConnectionState::KeepOpen) if request.keep_alive => {}
            _ => break,
        }
    }
    let _ = stream.shutdown(net::Shutdown::Both);
}

fn exchange(
    server: &Server,
    stream: &mut net::TcpStream,
    request: &Request,
) -> io::Result<ConnectionState> {
    match (request.method.as_str(), request.path()) {
        ("GET", "/health") => report_health(server, stream, request),
        ("GET", "/load") => report_load(server, stream, request),
        ("POST", path) if path.starts_with("/cancel/") => {
            let found = server.cancel(&path["/cancel/".len()..]);
            let body = format!("{{\"cancelled\":{found}}}");
            respond(stream, request, if found { 200 } else { 404 }, body)
        }
        _ => execute(server, stream, request),
    }
}

fn report_health(
    server: &Server,
    stream: &mut net::TcpStream,
    request: &Request,
) -> io::Result<ConnectionState> {
    server.count_report();
    let healthy = match server.faults().health {
        Some(HealthOverride::Unresponsive) => {
            hang(stream);
            return Ok(ConnectionState::Close);
        }
        Some(HealthOverride::Unhealthy) => false,
        Some(HealthOverride::Healthy) => true,
        None => !server.faults().error,
    };
    respond(stream, request, 200, format!("{{\"healthy\":{healthy}}}"))
}

fn report_load(
    server: &Server,
    stream: &mut net::TcpStream,
    request: &Request,
) -> io::Result<ConnectionState> {
    server.count_report();
    let stats = server.stats();
    let running = match server.faults().load {
        Some(LoadOverride::Idle) => 0,
        Some(LoadOverride::Full) => stats.slots,
        None => stats.running,
    };
    let body = format!("{{\"running\":{running},\"slots\":{}}}", stats.slots);
    respond(stream, request, 200, body)
}

fn respond(
    stream: &mut net::TcpStream,
    request: &Request,
    status: u16,
    body: String,
) -> io::Result<ConnectionState> {
    let response = Response {
        status,
        request_id: request.header("damaskvane-request-id").to_owned(),
        body: body.into_bytes(),
        ..Response::default()
    };
    response.write(stream, request.keep_alive)?;
    Ok(ConnectionState::KeepOpen)
}

fn shed(
    server: &Server,
    stream: &mut net::TcpStream,
    request: &Request,
) -> io::Result<ConnectionState> {
    server.count_shed();
    let response = Response {
        status: 503,
        request_id: request.header("damaskvane-request-id").to_owned(),
        not_run: true,
        body: b"{\"error\":\"shed\"}".to_vec(),
    };
    response.write(stream, request.keep_alive)?;
    Ok(ConnectionState::KeepOpen)
}

fn execute(
    server: &Server,
    stream: &mut net::TcpStream,
    request: &Request,
) -> io::Result<ConnectionState> {
    let faults = server.faults();
    if faults.disconnect_at == Some(DisconnectStage::AfterRead) {
        return Ok(ConnectionState::Close);
    }
    let deadline_ms = request.header("damaskvane-deadline-ms").parse::<u64>().ok();
    if faults.shed || deadline_ms == Some(0) {
        return shed(server, stream, request);
    }
    let (number, aborted) = server.begin(execution(server, request));
    if request.path().contains("crash") {
        server.crash();
        server.end(number, true);
        return Ok(ConnectionState::Close);
    }
    if faults.error {
        server.end(number, true);
        return respond(stream, request, 500, "{\"error\":\"failed\"}".to_owned());
    }
    let outcome = simulate_work(server, request, deadline_ms, &aborted);
    server.end(number, outcome.is_err());
    finish(server, stream, request, &faults, outcome)
}

fn execution(server: &Server, request: &Request) -> Execution {
    Execution {
        server: server.name().to_owned(),
        request_id: request.header("damaskvane-request-id").to_owned(),
        idempotency_key: request.header("damaskvane-idempotency-key").to_owned(),
        method: request.method.clone(),
        started_unix_ms: backend::now_unix_ms(),
        finished_unix_ms: None,
        aborted: false,
    }
}

/// Waits for the service time of a request.
///
/// Fails with [`Abort::Cancelled`] if the request is cancelled or its deadline passes, and with
/// [`Abort::Crashed`] if the server crashes.
fn simulate_work(
    server: &Server,
    request: &Request,
    deadline_ms: Option<u64>,
    aborted: &flume::Receiver<Abort>,
) -> Result<(), Abort> {
    let requested_ms = request.query_number("ms");
    let service = server.service_time(request.header("damaskvane-request-id"), requested_ms);
    let deadline = deadline_ms.map_or(Duration::MAX, Duration::from_millis);
    match aborted.recv_timeout(service.min(deadline)) {
        Ok(abort) => Err(abort),
        Err(_) if service > deadline => Err(Abort::Cancelled),
        Err(_) => Ok(()),
    }
}

fn finish(
    server: &Server,
    stream: &mut net::TcpStream,
    request: &Request,
    faults: &Faults,
    outcome: Result<(), Abort>,
) -> io::Result<ConnectionState> {
    match outcome {
        Err(Abort::Crashed) => return Ok(ConnectionState::Close),
        Err(Abort::Cancelled) => {
            return respond(stream, request, 504, "{\"error\":\"cancelled\"}".to_owned());
        }
        Ok(()) => {}
    }
    if faults.omit_response {
        hang(stream);
        return Ok(ConnectionState::Close);
    }
    let response = complete_response(server, request);
    if faults.disconnect_at == Some(DisconnectStage::MidResponse) {
        response.write_truncated(stream)?;
        return Ok(ConnectionState::Close);
    }
    response.write(stream, request.keep_alive)?;
    Ok(ConnectionState::KeepOpen)
}

fn complete_response(server: &Server, request: &Request) -> Response {
    let request_id = request.header("damaskvane-request-id");
    let padding_bytes = request
        .query_number("bytes")
        .unwrap_or(0)
        .min(MAX_PADDING_BYTES);
    let body = ResponseBody::new(
        server.name(),
        request_id,
        request.header("damaskvane-idempotency-key"),
        &request.target,
        usize::try_from(padding_bytes).unwrap_or_default(),
    );
    Response {
        status: 200,
        request_id: request_id.to_owned(),
        not_run: false,
        body: serde_json::to_vec(&body).unwrap_or_default(),
    }
}

/// Keeps the connection open without a response until its caller closes it, or for [`MAX_HANG`].
fn hang(stream: &net::TcpStream) {
    let start = Instant::now();
    let mut byte = [0; 1];
    while start.elapsed() < MAX_HANG {
        let _ = stream.set_read_timeout(Some(HANG_POLL_INTERVAL));
        match stream.peek(&mut byte) {
            Ok(0) => return,
            Ok(_) => thread::sleep(HANG_POLL_INTERVAL),
            Err(error) if is_timeout(&error) => {}
            Err(_) => return,
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
