//! One connection of one backend server, exchange after exchange.

use std::io;
use std::net;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend;
use crate::backend::http::{self, Request, Response};
use crate::backend::server::Abort;
use crate::backend::{ByteStage, Execution, Faults, HealthLie, LoadLie, ResponseBody, Server};

/// How often a connection that gives no answer looks whether its caller has gone.
const SILENT_POLL: Duration = Duration::from_millis(200);
/// The longest that a silent connection is kept, so that its thread ends.
const SILENT_LIMIT: Duration = Duration::from_secs(120);
/// The largest padding of an answer.
const PADDING_LIMIT_BYTES: u64 = 16 * 1024 * 1024;

/// What becomes of the connection after an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Keep,
    Close,
}

/// Serves the connection until it ends.
pub(crate) fn serve(server: &Server, number: u64, mut stream: net::TcpStream) {
    let mut buffer = Vec::new();
    loop {
        if server.faults().die == Some(ByteStage::BeforeRead) {
            break;
        }
        let Ok(Some(request)) = http::read_request(&mut stream, &mut buffer) else {
            break;
        };
        if server.is_silent(number) {
            stay_silent(&stream);
            break;
        }
        match exchange(server, &mut stream, &request) {
            Ok(Next::Keep) if request.keep_alive => {}
            _ => break,
        }
    }
    let _ = stream.shutdown(net::Shutdown::Both);
}

fn exchange(server: &Server, stream: &mut net::TcpStream, request: &Request) -> io::Result<Next> {
    match (request.method.as_str(), request.path()) {
        ("GET", "/health") => report_health(server, stream, request),
        ("GET", "/load") => report_load(server, stream, request),
        ("POST", path) if path.starts_with("/cancel/") => {
            let found = server.cancel(&path["/cancel/".len()..]);
            let body = format!("{{\"cancelled\":{found}}}");
            answer(stream, request, if found { 200 } else { 404 }, body)
        }
        _ => run(server, stream, request),
    }
}

fn report_health(
    server: &Server,
    stream: &mut net::TcpStream,
    request: &Request,
) -> io::Result<Next> {
    server.count_report();
    let healthy = match server.faults().health {
        Some(HealthLie::Silent) => {
            stay_silent(stream);
            return Ok(Next::Close);
        }
        Some(HealthLie::Unhealthy) => false,
        Some(HealthLie::Healthy) => true,
        None => !server.faults().error,
    };
    answer(stream, request, 200, format!("{{\"healthy\":{healthy}}}"))
}

fn report_load(
    server: &Server,
    stream: &mut net::TcpStream,
    request: &Request,
) -> io::Result<Next> {
    server.count_report();
    let stats = server.stats();
    let running = match server.faults().load {
        Some(LoadLie::Idle) => 0,
        Some(LoadLie::Full) => stats.slots,
        None => stats.running,
    };
    let body = format!("{{\"running\":{running},\"slots\":{}}}", stats.slots);
    answer(stream, request, 200, body)
}

fn answer(
    stream: &mut net::TcpStream,
    request: &Request,
    status: u16,
    body: String,
) -> io::Result<Next> {
    let response = Response {
        status,
        request_id: request.header("damaskvane-request-id").to_owned(),
        body: body.into_bytes(),
        ..Response::default()
    };
    response.write(stream, request.keep_alive)?;
    Ok(Next::Keep)
}

fn refuse(server: &Server, stream: &mut net::TcpStream, request: &Request) -> io::Result<Next> {
    server.count_shed();
    let response = Response {
        status: 503,
        request_id: request.header("damaskvane-request-id").to_owned(),
        not_run: true,
        body: b"{\"error\":\"shed\"}".to_vec(),
    };
    response.write(stream, request.keep_alive)?;
    Ok(Next::Keep)
}

fn run(server: &Server, stream: &mut net::TcpStream, request: &Request) -> io::Result<Next> {
    let faults = server.faults();
    if faults.die == Some(ByteStage::AfterRead) {
        return Ok(Next::Close);
    }
    let deadline_ms = request.header("damaskvane-deadline-ms").parse::<u64>().ok();
    if faults.shed || deadline_ms == Some(0) {
        return refuse(server, stream, request);
    }
    let (number, aborted) = server.begin(execution(server, request));
    if request.path().contains("crash") {
        server.crash();
        server.end(number, true);
        return Ok(Next::Close);
    }
    if faults.error {
        server.end(number, true);
        return answer(stream, request, 500, "{\"error\":\"failed\"}".to_owned());
    }
    let outcome = work(server, request, deadline_ms, &aborted);
    server.end(number, outcome.is_err());
    conclude(server, stream, request, &faults, outcome)
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

/// Waits out the service time; fails with what ended it early.
fn work(
    server: &Server,
    request: &Request,
    deadline_ms: Option<u64>,
    aborted: &flume::Receiver<Abort>,
) -> Result<(), Abort> {
    let asked_ms = request.query_number("ms");
    let service = server.service_time(request.header("damaskvane-request-id"), asked_ms);
    let deadline = deadline_ms.map_or(Duration::MAX, Duration::from_millis);
    match aborted.recv_timeout(service.min(deadline)) {
        Ok(abort) => Err(abort),
        Err(_) if service > deadline => Err(Abort::Cancelled),
        Err(_) => Ok(()),
    }
}

fn conclude(
    server: &Server,
    stream: &mut net::TcpStream,
    request: &Request,
    faults: &Faults,
    outcome: Result<(), Abort>,
) -> io::Result<Next> {
    match outcome {
        Err(Abort::Crashed) => return Ok(Next::Close),
        Err(Abort::Cancelled) => {
            return answer(stream, request, 504, "{\"error\":\"cancelled\"}".to_owned());
        }
        Ok(()) => {}
    }
    if faults.swallow {
        stay_silent(stream);
        return Ok(Next::Close);
    }
    let response = whole_answer(server, request);
    if faults.die == Some(ByteStage::MidAnswer) {
        response.write_cut(stream)?;
        return Ok(Next::Close);
    }
    response.write(stream, request.keep_alive)?;
    Ok(Next::Keep)
}

fn whole_answer(server: &Server, request: &Request) -> Response {
    let request_id = request.header("damaskvane-request-id");
    let padding_bytes = request
        .query_number("bytes")
        .unwrap_or(0)
        .min(PADDING_LIMIT_BYTES);
    let answer = ResponseBody::new(
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
        body: serde_json::to_vec(&answer).unwrap_or_default(),
    }
}

/// Keeps the connection open without a word until its caller closes it or the limit passes.
fn stay_silent(stream: &net::TcpStream) {
    let start = Instant::now();
    let mut byte = [0; 1];
    while start.elapsed() < SILENT_LIMIT {
        let _ = stream.set_read_timeout(Some(SILENT_POLL));
        match stream.peek(&mut byte) {
            Ok(0) => return,
            Ok(_) => thread::sleep(SILENT_POLL),
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
