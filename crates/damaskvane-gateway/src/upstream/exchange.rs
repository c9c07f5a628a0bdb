//! One exchange: sending a request to one backend server and reading its response.

use core::time::Duration;
use std::io;
use std::rc::Rc;

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::placement::Pick;
use damaskvane_routing::pool::{self, ExchangeEnd, ExchangeId, ServerReport};
use hyper::header;

use crate::clients::SendRight;
use crate::costs::{Distance, Flow, OpenReason};
use crate::crashes;
use crate::http::{self, BodyReader, ReadError, ResponseHead};
use crate::node::Node;
use crate::upstream::{
    BackendResponse, ExchangeOutcome, OutgoingRequest, ResponseBody, request, streaming,
};

/// Timeout for opening a connection. The kernel retransmits a lost SYN packet only after a second, and within
/// this second another server can respond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without an acknowledgement of sent packets after which a connection fails; longer than two
/// retransmissions on a lossy link.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Response bodies up to this size are read completely before any byte is sent to the client, so that the
/// request can be retried after a truncated response.
const MAX_BUFFERED_BODY_BYTES: usize = 262_144;
/// Requests up to this size fit the socket's buffers and are written without reading at the same time.
const SHORT_REQUEST_BYTES: usize = 16_384;
/// Maximum number of responses to other requests that are skipped on a connection before the expected
/// response.
const MAX_SKIPPED_RESPONSES: usize = 3;

/// Guard that removes an exchange from the requests counted as running on its server when the exchange ends
/// or is dropped.
///
/// When a client disconnects, the future that handles its request is dropped. Without this guard the request
/// would count as running at the server permanently, and the server would appear full.
#[derive(Debug)]
struct RunningExchange<'a> {
    node: Rc<Node>,
    pick: Pick,
    request: &'a OutgoingRequest,
    id: ExchangeId,
    started: TimeMs,
    is_open: bool,
}

impl<'a> RunningExchange<'a> {
    fn start(node: &Rc<Node>, pick: &Pick, request: &'a OutgoingRequest) -> Self {
        let id = node.next_exchange_id();
        let now = node.now();
        if let Some(mut server) = node.state.borrow_mut().pool.server_mut(&pick.server) {
            server.record_sent(now, id, pick.expected_ms);
        }
        Self {
            node: Rc::clone(node),
            pick: pick.clone(),
            request,
            id,
            started: now,
            is_open: true,
        }
    }

    fn end(&mut self, end: ExchangeEnd, report: ServerReport) -> Option<u64> {
        self.is_open = false;
        if matches!(end, ExchangeEnd::Silent | ExchangeEnd::Abandoned) {
            let (pick, request) = (&self.pick, self.request);
            crashes::record_unanswered_exchange(&self.node, pick, request, self.started);
        }
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let mut server = state.pool.server_mut(&self.pick.server)?;
        server.record_end(now, self.id, end, report)
    }
}

impl Drop for RunningExchange<'_> {
    fn drop(&mut self) {
        if self.is_open {
            self.end(ExchangeEnd::Abandoned, ServerReport::default());
        }
    }
}

/// An exchange that has not started yet.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// The state shared by all tasks of this instance.
    pub node: &'a Rc<Node>,
    /// The request to send.
    pub request: &'a OutgoingRequest,
    /// The selected server, with the load and response time that were estimated at its selection.
    pub pick: &'a Pick,
    /// The deadline of the request.
    pub deadline: TimeMs,
    /// Whether an earlier exchange has sent the request to any server.
    pub is_retry: bool,
    /// The right to send the request, which is checked at the moment of sending.
    pub(crate) right: &'a SendRight<'a>,
}

impl Exchange<'_> {
    /// Sends the request and waits for the response.
    pub async fn run(self) -> ExchangeOutcome {
        let mut running = RunningExchange::start(self.node, self.pick, self.request);
        let mut outcome = self.exchange().await;
        outcome.took_ms = running.end(outcome.end, outcome.report);
        outcome
    }

    async fn exchange(&self) -> ExchangeOutcome {
        let (connection, is_reused) = match self.connect().await {
            Ok(connected) => connected,
            Err(error) => {
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    crashes::record_server_death(self.node, &self.pick.server, "refused");
                }
                return ExchangeOutcome::no_response(ExchangeEnd::Unreachable);
            }
        };
        let token = match self.right.redeem().await {
            Ok(token) => token,
            Err(withheld) => {
                if !is_reused {
                    self.keep_unused(connection);
                }
                return ExchangeOutcome {
                    withheld: Some(withheld),
                    ..ExchangeOutcome::no_response(ExchangeEnd::Withheld)
                };
            }
        };
        let outcome = self.send(connection, is_reused).await;
        if matches!(outcome.end, ExchangeEnd::Shed | ExchangeEnd::Misdirected) {
            self.right.restore(token);
        }
        outcome
    }

    async fn send(&self, mut connection: http::Connection, is_reused: bool) -> ExchangeOutcome {
        let names = self.node.adapter.headers();
        let bytes = self
            .request
            .to_bytes(names, &self.pick.server, self.remaining().get());
        let sent_bytes = bytes.len();
        self.count_bytes(sent_bytes);
        let written = if bytes.len() <= SHORT_REQUEST_BYTES {
            connection.write(&bytes).await.map(|()| true)
        } else {
            connection.write_while_reading(bytes).await
        };
        let is_written = match written {
            Ok(is_written) => is_written,
            Err(error) => return ExchangeOutcome::no_response(classify_io_error(&error)),
        };
        let mut outcome = self.read_response(connection, is_written, is_reused).await;
        outcome.bytes += sent_bytes;
        outcome
    }

    /// Keeps a new connection on which nothing was sent.
    fn keep_unused(&self, connection: http::Connection) {
        if connection.is_reusable() {
            let now = self.node.now();
            let mut idle = self.node.idle.borrow_mut();
            idle.keep(now, &self.pick.server, connection, None);
        }
    }

    fn count_bytes(&self, bytes: usize) {
        let flow = Flow::for_pick(self.pick, self.is_retry);
        let distance = Distance::to_zone(self.node, &self.pick.zone);
        self.node.metrics.costs.record_bytes(flow, distance, bytes);
    }

    fn remaining(&self) -> SpanMs {
        self.deadline.since(self.node.now())
    }

    async fn connect(&self) -> io::Result<(http::Connection, bool)> {
        let now = self.node.now();
        let had_idle = self.node.idle.borrow().has(&self.pick.server);
        let idle_connection = self.node.idle.borrow_mut().take(now, &self.pick.server);
        if let Some(connection) = idle_connection {
            return Ok((connection, true));
        }
        let reason = if had_idle {
            OpenReason::IdleConnectionsClosed
        } else {
            OpenReason::NoIdleConnection
        };
        self.node.metrics.costs.record_connection(reason);
        let timeout = CONNECT_TIMEOUT.min(self.remaining().to_duration());
        let opened = http::Connection::open(self.pick.address, timeout, SILENCE_TIMEOUT).await?;
        let took_ms = self.node.now().since(now).get() as f64;
        let mut state = self.node.state.borrow_mut();
        state.placer.round_trips.record(&self.pick.zone, took_ms);
        Ok((opened, false))
    }

    /// Reads responses until the one to this request arrives.
    async fn read_response(
        &self,
        mut connection: http::Connection,
        is_written: bool,
        is_reused: bool,
    ) -> ExchangeOutcome {
        let mut may_reuse = is_written;
        for _ in 0..=MAX_SKIPPED_RESPONSES {
            let head = match connection.read_head().await {
                Ok(head) => head,
                Err(error) => return ExchangeOutcome::no_response(classify_read_error(&error)),
            };
            if self.matches_request(&head) {
                return self.finish_response(connection, head, may_reuse).await;
            }
            // A duplicate response to an earlier request is read and dropped, since the response to this
            // request may still follow. Duplicates occur only on reused connections.
            self.node.metrics.mismatched_responses.inc();
            may_reuse = false;
            if !is_reused || head.body == http::BodyKind::UntilClose {
                break;
            }
            let mut body = BodyReader::new(head.body);
            match connection
                .read_body(&mut body, MAX_BUFFERED_BODY_BYTES)
                .await
            {
                Ok(Ok(_)) => {}
                Ok(Err(_)) => break,
                Err(error) => return ExchangeOutcome::no_response(classify_read_error(&error)),
            }
        }
        ExchangeOutcome::no_response(ExchangeEnd::Malformed)
    }

    fn matches_request(&self, head: &ResponseHead) -> bool {
        let names = self.node.adapter.headers();
        let received = head.headers.get(&names.request_id);
        match (&self.request.request_id, received) {
            (Some(sent), Some(received)) => sent.as_bytes() == received.as_bytes(),
            (Some(_), None) => false,
            (None, received) => received.is_none(),
        }
    }

    async fn finish_response(
        &self,
        mut connection: http::Connection,
        head: ResponseHead,
        may_reuse: bool,
    ) -> ExchangeOutcome {
        let (end, report) = self.classify_response(&head);
        let retry_after_ms = retry_after_ms(&head);
        let has_no_body = self.request.method == hyper::Method::HEAD;
        let kind = if has_no_body {
            http::BodyKind::Length(0)
        } else {
            head.body
        };
        self.count_bytes(head.bytes);
        let mut read_bytes = head.bytes;
        let mut body = BodyReader::new(kind);
        let whole = match connection
            .read_body(&mut body, MAX_BUFFERED_BODY_BYTES)
            .await
        {
            Ok(whole) => whole,
            Err(error) => {
                let end = match end {
                    // The head was received completely, and it states that the request did not run.
                    ExchangeEnd::Shed | ExchangeEnd::Misdirected => end,
                    _ => classify_read_error(&error),
                };
                return ExchangeOutcome {
                    report,
                    ..ExchangeOutcome::no_response(end)
                };
            }
        };
        let is_keep_alive = head.is_keep_alive && may_reuse;
        let idle_timeout_s = head.idle_timeout_s;
        let mut headers = head.headers;
        request::strip_connection_headers(&mut headers);
        let body = match whole {
            Ok(bytes) => {
                self.count_bytes(bytes.len());
                read_bytes += bytes.len();
                if is_keep_alive && connection.is_reusable() {
                    let now = self.node.now();
                    let mut idle = self.node.idle.borrow_mut();
                    idle.keep(now, &self.pick.server, connection, idle_timeout_s);
                }
                ResponseBody::whole(bytes)
            }
            Err(first) => ResponseBody::Streaming(streaming::stream_body(connection, body, first)),
        };
        let response = BackendResponse {
            status: head.status,
            headers,
            body,
        };
        ExchangeOutcome {
            end,
            report,
            response: Some(response),
            retry_after_ms,
            took_ms: None,
            bytes: read_bytes,
            withheld: None,
        }
    }

    fn classify_response(&self, head: &ResponseHead) -> (ExchangeEnd, ServerReport) {
        let names = self.node.adapter.headers();
        let load = head.headers.get(&names.load);
        let report = ServerReport {
            load: load.and_then(|value| parse_load(value.to_str().ok()?)),
        };
        let is_signed = head.headers.contains_key(&names.signature);
        let end = if head.status == 421 {
            ExchangeEnd::Misdirected
        } else if head.headers.contains_key(&names.not_run) {
            ExchangeEnd::Shed
        } else if (200..300).contains(&head.status) {
            // A success without the server's signature, or with a content encoding, isn't the server's unchanged
            // response.
            let is_encoded = head.headers.contains_key(header::CONTENT_ENCODING);
            if is_signed && !is_encoded {
                ExchangeEnd::Answered
            } else {
                ExchangeEnd::Malformed
            }
        } else if head.status >= 500 {
            ExchangeEnd::Failed
        } else {
            ExchangeEnd::Answered
        };
        (end, report)
    }
}

fn parse_load(text: &str) -> Option<pool::LoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    Some(pool::LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}

fn retry_after_ms(head: &ResponseHead) -> Option<u64> {
    let text = head.headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1_000.0) as u64)
}

fn classify_io_error(error: &io::Error) -> ExchangeEnd {
    if error.kind() == io::ErrorKind::TimedOut {
        ExchangeEnd::Silent
    } else {
        ExchangeEnd::Broken
    }
}

fn classify_read_error(error: &ReadError) -> ExchangeEnd {
    match error {
        ReadError::Io(error) => classify_io_error(error),
        ReadError::Malformed => ExchangeEnd::Malformed,
    }
}
