//! One exchange with one backend server.

use core::time::Duration;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::placement::Pick;
use damaskvane_routing::pool::{self, ExchangeEnd, ExchangeId, ServerReport};
use hyper::header;
use tokio::sync::mpsc;

use crate::costs::{Distance, Flow, Opening};
use crate::http::{self, BodyReader, ReadError, ResponseHead};
use crate::node::Node;
use crate::upstream::{Answer, OutgoingRequest, ResponseBody, request};

/// How long a connection may take to open: a lost opening packet is sent again after a second, and by then
/// another server has answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The silence after which a connection is given up: longer than two retransmissions on a lossy link.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Bodies up to this size are read whole before the client gets any of them, so that a cut answer can be
/// tried again.
const WHOLE_BODY_BYTES: usize = 262_144;
/// Requests up to this size fit the socket's buffers and are written without listening meanwhile.
const SHORT_REQUEST_BYTES: usize = 16_384;
/// Most answers to other requests that are skipped on one connection.
const MOST_SKIPPED: usize = 3;
/// Pieces of a long body that may wait for the client.
const PIECES_AHEAD: usize = 4;

/// How an exchange ended, with the answer if there is one for the client.
#[derive(Debug)]
pub struct ExchangeOutcome {
    /// What the end says of the server.
    pub end: ExchangeEnd,
    /// What the server says of itself.
    pub report: ServerReport,
    /// The server's answer; whether the client gets it is decided by the caller.
    pub answer: Option<Answer>,
    /// When the server wants to be asked again, where it turned the request away.
    pub retry_after_ms: Option<u64>,
    /// The time it took.
    pub took_ms: Option<u64>,
}

impl ExchangeOutcome {
    /// The exchange was given up while the server was at work.
    #[must_use]
    pub fn abandoned() -> Self {
        Self::without_answer(ExchangeEnd::Abandoned)
    }

    fn without_answer(end: ExchangeEnd) -> Self {
        Self {
            end,
            report: ServerReport::default(),
            answer: None,
            retry_after_ms: None,
            took_ms: None,
        }
    }
}

/// Keeps the count of requests at the server right, however the exchange ends.
///
/// A client that leaves drops the whole future; without this guard the request would count as running at
/// the server for good, and the server would look full.
#[derive(Debug)]
struct Running {
    node: Rc<Node>,
    pick: Pick,
    id: ExchangeId,
    is_open: bool,
}

impl Running {
    fn start(node: &Rc<Node>, pick: &Pick) -> Self {
        let id = node.next_exchange();
        let now = node.now();
        if let Some(mut server) = node.state.borrow_mut().pool.server_mut(&pick.server) {
            server.note_sent(now, id, pick.expected_ms);
        }
        Self {
            node: Rc::clone(node),
            pick: pick.clone(),
            id,
            is_open: true,
        }
    }

    fn end(&mut self, end: ExchangeEnd, report: ServerReport) -> Option<u64> {
        self.is_open = false;
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let mut server = state.pool.server_mut(&self.pick.server)?;
        server.note_end(now, self.id, end, report)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.is_open {
            self.end(ExchangeEnd::Abandoned, ServerReport::default());
        }
    }
}

/// An exchange that is about to start.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// What all tasks share.
    pub node: &'a Rc<Node>,
    /// The request.
    pub request: &'a OutgoingRequest,
    /// The server.
    pub pick: &'a Pick,
    /// When the time for the request ends.
    pub deadline: TimeMs,
    /// Whether the request was sent elsewhere before.
    pub is_retry: bool,
}

impl Exchange<'_> {
    /// Sends the request and waits for its answer.
    pub async fn run(self) -> ExchangeOutcome {
        let mut running = Running::start(self.node, self.pick);
        let mut outcome = self.exchange().await;
        outcome.took_ms = running.end(outcome.end, outcome.report);
        outcome
    }

    async fn exchange(&self) -> ExchangeOutcome {
        let Ok((mut connection, is_kept)) = self.connect().await else {
            return ExchangeOutcome::without_answer(ExchangeEnd::Unreachable);
        };
        let names = self.node.adapter.headers();
        let bytes = self
            .request
            .to_bytes(names, &self.pick.server, self.left().get());
        self.carried(bytes.len());
        let was_written = if bytes.len() <= SHORT_REQUEST_BYTES {
            connection.write(&bytes).await.map(|()| true)
        } else {
            connection.write_while_reading(bytes).await
        };
        let is_whole = match was_written {
            Ok(is_whole) => is_whole,
            Err(error) => return ExchangeOutcome::without_answer(broken(&error)),
        };
        self.read(connection, is_whole, is_kept).await
    }

    fn carried(&self, bytes: usize) {
        let flow = Flow::of_pick(self.pick, self.is_retry);
        let distance = Distance::to_zone(self.node, &self.pick.zone);
        self.node.metrics.costs.carried(flow, distance, bytes);
    }

    fn left(&self) -> SpanMs {
        self.deadline.since(self.node.now())
    }

    async fn connect(&self) -> io::Result<(http::Connection, bool)> {
        let now = self.node.now();
        let had_kept = self.node.idle.borrow().has(&self.pick.server);
        let kept = self.node.idle.borrow_mut().take(now, &self.pick.server);
        if let Some(connection) = kept {
            return Ok((connection, true));
        }
        let reason = if had_kept {
            Opening::KeptClosed
        } else {
            Opening::NoneKept
        };
        self.node.metrics.costs.opened(reason);
        let timeout = CONNECT_TIMEOUT.min(self.left().to_duration());
        let opened = http::Connection::open(self.pick.address, timeout, SILENCE).await?;
        let took_ms = self.node.now().since(now).get() as f64;
        let mut state = self.node.state.borrow_mut();
        state.placer.round_trips.record(&self.pick.zone, took_ms);
        Ok((opened, false))
    }

    /// Reads answers until the one to this request comes.
    async fn read(
        &self,
        mut connection: http::Connection,
        is_whole: bool,
        is_kept: bool,
    ) -> ExchangeOutcome {
        let mut is_reusable = is_whole;
        for _ in 0..=MOST_SKIPPED {
            let head = match connection.read_head().await {
                Ok(head) => head,
                Err(error) => return ExchangeOutcome::without_answer(unread(&error)),
            };
            if self.is_own(&head) {
                return self.read_own(connection, head, is_reusable).await;
            }
            // A second answer to an earlier request: it is read and dropped, and the answer to this one
            // may still follow. Only a kept connection can carry one.
            self.node.metrics.foreign_answers.inc();
            is_reusable = false;
            if !is_kept || head.body == http::BodyKind::UntilClose {
                break;
            }
            let mut body = BodyReader::new(head.body);
            match connection.read_body(&mut body, WHOLE_BODY_BYTES).await {
                Ok(Ok(_)) => {}
                Ok(Err(_)) => break,
                Err(error) => return ExchangeOutcome::without_answer(unread(&error)),
            }
        }
        ExchangeOutcome::without_answer(ExchangeEnd::Malformed)
    }

    fn is_own(&self, head: &ResponseHead) -> bool {
        let names = self.node.adapter.headers();
        let answered = head.headers.get(&names.request_id);
        match (&self.request.request_id, answered) {
            (Some(own), Some(answered)) => own.as_bytes() == answered.as_bytes(),
            (Some(_), None) => false,
            (None, answered) => answered.is_none(),
        }
    }

    async fn read_own(
        &self,
        mut connection: http::Connection,
        head: ResponseHead,
        is_reusable: bool,
    ) -> ExchangeOutcome {
        let (end, report) = self.judge(&head);
        let retry_after_ms = retry_after_ms(&head);
        let has_no_body = self.request.method == hyper::Method::HEAD;
        let kind = if has_no_body {
            http::BodyKind::Length(0)
        } else {
            head.body
        };
        self.carried(head.bytes);
        let mut body = BodyReader::new(kind);
        let whole = match connection.read_body(&mut body, WHOLE_BODY_BYTES).await {
            Ok(whole) => whole,
            Err(error) => {
                let end = match end {
                    // The word that the request did not run stands in the head, which came whole.
                    ExchangeEnd::Shed | ExchangeEnd::Misdirected => end,
                    _ => unread(&error),
                };
                return ExchangeOutcome {
                    report,
                    ..ExchangeOutcome::without_answer(end)
                };
            }
        };
        let is_keep_alive = head.is_keep_alive && is_reusable;
        let idle_timeout_s = head.idle_timeout_s;
        let mut headers = head.headers;
        request::strip_connection_headers(&mut headers);
        let body = match whole {
            Ok(bytes) => {
                self.carried(bytes.len());
                if is_keep_alive && connection.is_reusable() {
                    let now = self.node.now();
                    let mut idle = self.node.idle.borrow_mut();
                    idle.keep(now, &self.pick.server, connection, idle_timeout_s);
                }
                ResponseBody::whole(bytes)
            }
            Err(start) => ResponseBody::Arriving(pump(connection, body, start)),
        };
        let answer = Answer {
            status: head.status,
            headers,
            body,
        };
        ExchangeOutcome {
            end,
            report,
            answer: Some(answer),
            retry_after_ms,
            took_ms: None,
        }
    }

    fn judge(&self, head: &ResponseHead) -> (ExchangeEnd, ServerReport) {
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
            // A success without the server's signature, or in another encoding, is not what it made.
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

fn broken(error: &io::Error) -> ExchangeEnd {
    if error.kind() == io::ErrorKind::TimedOut {
        ExchangeEnd::Silent
    } else {
        ExchangeEnd::Broken
    }
}

fn unread(error: &ReadError) -> ExchangeEnd {
    match error {
        ReadError::Io(error) => broken(error),
        ReadError::Malformed => ExchangeEnd::Malformed,
    }
}

/// Hands a long body on piece by piece; the connection closes with it.
fn pump(
    mut connection: http::Connection,
    mut body: BodyReader,
    start: Bytes,
) -> mpsc::Receiver<io::Result<Bytes>> {
    let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
    tokio::task::spawn_local(async move {
        let mut next = Some(start);
        while let Some(piece) = next {
            // A client that left takes no more; the connection is dropped, and the server's work with it.
            if sender.send(Ok(piece)).await.is_err() {
                return;
            }
            next = match connection.read_piece(&mut body).await {
                Ok(piece) => piece,
                Err(_) => {
                    let cut = io::Error::from(io::ErrorKind::UnexpectedEof);
                    let _ = sender.send(Err(cut)).await;
                    return;
                }
            };
        }
    });
    receiver
}
