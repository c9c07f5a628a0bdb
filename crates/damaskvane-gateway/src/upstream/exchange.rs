//! One exchange: sending a request to one backend server and reading its response.

use core::time::Duration;
use std::cell::RefCell;
use std::rc::Rc;

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::configuration::RegionSet;
use damaskvane_routing::placement::Pick;
use damaskvane_routing::pool::{ExchangeEnd, ServerReport, StatementSource};

use crate::clients::SendRight;
use crate::costs::{Distance, Flow, OpenReason};
use crate::crashes::{self, RequestCopy};
use crate::http::{self, BodyReader, ResponseHead};
use crate::node::Node;
use crate::reach;
use crate::send_permit::SendPermit;
use crate::server_statements;
use crate::tunnel::{Endpoint, Path};
use crate::upstream::body_limits::BodyLimits;
use crate::upstream::classify::{classify_io_error, classify_response, retry_after_ms};
use crate::upstream::running::RunningExchange;
use crate::upstream::{
    self, BackendResponse, ExchangeOutcome, OpenError, OutgoingRequest, ResponseBody,
    ResponseFault, Sending, TunnelUse, streaming,
};

/// Timeout for opening a connection. The kernel retransmits a lost SYN packet only after a second, and within
/// this second another server can respond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Requests up to this size fit the socket's buffers and are written without reading at the same time.
const SHORT_REQUEST_BYTES: usize = 16_384;
/// Maximum number of responses to other requests that are skipped on a connection before the expected
/// response.
const MAX_SKIPPED_RESPONSES: usize = 3;

/// What becomes of a connection after its exchange.
#[derive(Debug, Clone, Copy)]
struct Reuse {
    /// Whether the connection may carry further requests.
    may_keep: bool,
    /// Whether it has carried other requests.
    is_reused: bool,
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
    /// The regions through which the request may pass.
    pub allowed_regions: &'a RegionSet,
    /// The right to send the request, which is checked at the moment of sending.
    pub(crate) right: &'a SendRight<'a>,
    /// The permission to send a request to the server, which is used at the moment of sending.
    pub(crate) permit: &'a SendPermit,
    /// The client's call, by which the request may be withdrawn; `None` if the request may not be sent again.
    pub withdrawable: Option<&'a RequestCopy<'a>>,
}

impl Exchange<'_> {
    /// Sends the request and waits for the response.
    pub async fn run(self) -> ExchangeOutcome {
        let mut running = RunningExchange::start(self.node, self.pick, self.request);
        let mut outcome = tokio::select! {
            biased;
            () = self.until_withdrawn() => ExchangeOutcome::no_response(ExchangeEnd::Withdrawn),
            outcome = self.exchange(&running.path) => outcome,
        };
        outcome.path = running.path.take();
        outcome.took_ms = running.end(outcome.end, outcome.report);
        if outcome.end == ExchangeEnd::Unreachable {
            crashes::request_proof(self.node, &self.pick.server);
        }
        outcome
    }

    async fn until_withdrawn(&self) {
        match self.withdrawable {
            Some(copy) => copy.until_withdrawn().await,
            None => core::future::pending().await,
        }
    }

    async fn exchange(&self, running_path: &RefCell<Option<Path>>) -> ExchangeOutcome {
        let (connection, path, is_reused) = match self.connect().await {
            Ok(connected) => connected,
            Err(error) => {
                let rest = error.rest();
                let end = rest.map_or(ExchangeEnd::Unreachable, |_| ExchangeEnd::Unavailable);
                server_statements::record_rest_of_carriers(self.node, &self.pick.server, rest);
                return ExchangeOutcome::no_response(end);
            }
        };
        running_path.replace(Some(path.clone()));
        let token = match self.right.redeem().await {
            Ok(token) => token,
            Err(withheld) => {
                return ExchangeOutcome {
                    withheld: Some(withheld),
                    ..self.unsent(connection, &path, is_reused, ExchangeEnd::Withheld)
                };
            }
        };
        if let Err(reason) = self.permit.redeem(&path) {
            self.right.restore(token);
            return self.unsent(connection, &path, is_reused, reason.exchange_end());
        }
        let sending = self.sending();
        let outcome = ExchangeOutcome {
            sending,
            ..self.send(connection, &path, is_reused).await
        };
        if matches!(outcome.end, ExchangeEnd::Shed | ExchangeEnd::Misdirected) {
            self.right.restore(token);
        }
        outcome
    }

    fn sending(&self) -> Option<Sending> {
        let known = server_statements::known(self.node, &self.pick.server)?;
        let at = self.node.now();
        Some(Sending { at, known })
    }

    /// Returns the outcome of an exchange in which nothing was written; a new connection is kept for other requests.
    fn unsent(
        &self,
        connection: http::Connection,
        path: &Path,
        is_reused: bool,
        end: ExchangeEnd,
    ) -> ExchangeOutcome {
        if !is_reused {
            self.keep(connection, None, path);
        }
        ExchangeOutcome::no_response(end)
    }

    async fn send(
        &self,
        mut connection: http::Connection,
        path: &Path,
        is_reused: bool,
    ) -> ExchangeOutcome {
        let names = self.node.adapter.headers();
        let sent_at = self.node.now();
        let bytes = self
            .request
            .to_bytes(names, &self.pick.server, self.remaining().get());
        let sent_bytes = bytes.len();
        self.count_bytes(path, sent_bytes);
        let written = if bytes.len() <= SHORT_REQUEST_BYTES {
            connection.write(&bytes).await.map(|()| true)
        } else {
            connection.write_while_reading(bytes).await
        };
        let is_written = match written {
            Ok(is_written) => is_written,
            Err(error) => return ExchangeOutcome::no_response(classify_io_error(&error)),
        };
        let reused = Reuse {
            may_keep: is_written,
            is_reused,
        };
        let mut outcome = self.read_response(connection, path, sent_at, reused).await;
        outcome.bytes += sent_bytes;
        outcome
    }

    /// Keeps a connection without an outstanding response for the next request.
    fn keep(&self, connection: http::Connection, idle_timeout_s: Option<u64>, path: &Path) {
        let server = &self.pick.server;
        let mut idle = self.node.idle.borrow_mut();
        if !connection.is_reusable() {
            idle.record_unusable(server, &connection);
        } else if reach::may_keep(self.node, server, path) {
            let now = self.node.now();
            idle.keep(now, server, connection, idle_timeout_s, path.clone());
        }
    }

    fn count_bytes(&self, path: &Path, bytes: usize) {
        let flow = Flow::for_pick(self.pick, self.is_retry);
        let next_zone = path.peer().map_or(&self.pick.zone, |peer| &peer.zone);
        let distance = Distance::to_zone(self.node, next_zone);
        self.node.metrics.costs.record_bytes(flow, distance, bytes);
    }

    fn remaining(&self) -> SpanMs {
        self.deadline.since(self.node.now())
    }

    /// Returns a connection, its way, and whether it has carried other requests.
    async fn connect(&self) -> Result<(http::Connection, Path, bool), OpenError> {
        let now = self.node.now();
        let server = &self.pick.server;
        let had_idle = self.node.idle.borrow().has(server);
        let may_use = |path: &Path| reach::may_reuse(self.node, server, path, self.allowed_regions);
        let kept = self.node.idle.borrow_mut().take(now, server, may_use);
        if let Some((connection, path)) = kept {
            return Ok((connection, path, true));
        }
        let reason = if had_idle {
            OpenReason::IdleConnectionsClosed
        } else {
            OpenReason::NoIdleConnection
        };
        self.node.metrics.costs.record_connection(reason);
        let timeout = CONNECT_TIMEOUT.min(self.remaining().to_duration());
        let endpoint = Endpoint {
            server,
            address: self.pick.address,
            zone: &self.pick.zone,
        };
        let regions = self.allowed_regions;
        let opening = upstream::open(self.node, endpoint, regions, TunnelUse::IfDoubtful, timeout);
        let (opened, path) = opening.await?;
        if path == Path::Direct {
            let took_ms = self.node.now().since(now).get() as f64;
            let mut state = self.node.state.borrow_mut();
            state.placer.round_trips.record(&self.pick.zone, took_ms);
        }
        Ok((opened, path, false))
    }

    /// Reads responses until the one to this request arrives.
    async fn read_response(
        &self,
        mut connection: http::Connection,
        path: &Path,
        sent_at: TimeMs,
        Reuse {
            mut may_keep,
            is_reused,
        }: Reuse,
    ) -> ExchangeOutcome {
        for _ in 0..=MAX_SKIPPED_RESPONSES {
            let head = match connection.read_head().await {
                Ok(head) => head,
                Err(error) => return ExchangeOutcome::faulty(error),
            };
            reach::record_answered(self.node, path);
            if self.matches_request(&head) {
                let server = &self.pick.server;
                let report = server_statements::decode(self.node.adapter.headers(), server, &head);
                let source = StatementSource::Response;
                server_statements::record(self.node, server, path, sent_at, &report, source);
                return self
                    .finish_response(connection, path, head, report, may_keep)
                    .await;
            }
            // A duplicate response to an earlier request is read and dropped, since the response to this
            // request may still follow. Duplicates occur only on reused connections.
            self.node.metrics.mismatched_responses.inc();
            may_keep = false;
            if !is_reused || head.body == http::BodyKind::UntilClose {
                break;
            }
            let mut body = BodyReader::new(head.body);
            let limits = BodyLimits::of(ExchangeEnd::Failed);
            let reading = connection.read_body(&mut body, limits.max_bytes);
            match limits.apply(reading).await {
                Ok(Ok(_)) => {}
                Ok(Err(_)) => break,
                Err(error) => return ExchangeOutcome::faulty(error),
            }
        }
        ExchangeOutcome::faulty(ResponseFault::OtherRequests)
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
        path: &Path,
        head: ResponseHead,
        report: ServerReport,
        may_keep: bool,
    ) -> ExchangeOutcome {
        let (end, fault) = match classify_response(&head, &report) {
            Ok(end) => (end, None),
            Err(fault) => (fault.exchange_end(), Some(fault)),
        };
        let retry_after_ms = retry_after_ms(&head);
        let has_no_body = self.request.method == hyper::Method::HEAD;
        let kind = if has_no_body {
            http::BodyKind::Length(0)
        } else {
            head.body
        };
        self.count_bytes(path, head.bytes);
        let mut read_bytes = head.bytes;
        let mut body = BodyReader::new(kind);
        let limits = BodyLimits::of(end);
        let reading = connection.read_body(&mut body, limits.max_bytes);
        let whole = match limits.apply(reading).await {
            Ok(whole) => whole,
            Err(error) => {
                let outcome = match end {
                    // The head was received completely, and it states that the request did not run.
                    ExchangeEnd::Shed | ExchangeEnd::Misdirected => {
                        ExchangeOutcome::no_response(end)
                    }
                    _ => ExchangeOutcome::faulty(error),
                };
                return ExchangeOutcome {
                    report,
                    retry_after_ms,
                    ..outcome
                };
            }
        };
        let is_keep_alive = head.is_keep_alive && may_keep;
        let idle_timeout_s = head.idle_timeout_s;
        let mut headers = head.headers;
        http::strip_connection_headers(&mut headers);
        let body = match whole {
            Ok(bytes) => {
                self.count_bytes(path, bytes.len());
                read_bytes += bytes.len();
                if is_keep_alive {
                    self.keep(connection, idle_timeout_s, path);
                }
                ResponseBody::whole(bytes)
            }
            Err(first) => ResponseBody::Streaming(streaming::stream_body(
                connection,
                body,
                first,
                self.remaining().to_duration(),
                kind.length(),
            )),
        };
        let response = BackendResponse {
            status: head.status,
            headers,
            body,
        };
        ExchangeOutcome {
            end,
            report,
            sending: None,
            fault,
            response: Some(response),
            retry_after_ms,
            took_ms: None,
            bytes: read_bytes,
            path: None,
            withheld: None,
        }
    }
}
