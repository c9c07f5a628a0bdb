//! One connection whose requests run side by side.

use core::pin::Pin;
use core::task::{Context, Poll};
use core::time::Duration;
use std::io;
use std::net;
use std::rc::Rc;

use bytes::Bytes;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::configuration::Limits;
use http_body_util::Empty;
use hyper::{Method, Request};
use tokio::io::Ready;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::time::{Instant, Sleep};

use crate::clients::listener::MIN_BUFFER_BYTES;
use crate::clients::pipeline::head::{ParsedHead, SimpleRequest};
use crate::clients::pipeline::input::Input;
use crate::clients::pipeline::output::Output;
use crate::clients::pipeline::queue::{Details, Queue};
use crate::clients::pipeline::reservation::Reservation;
use crate::clients::{dispatch, head};
use crate::node::Node;

/// How the service of a connection ends.
#[derive(Debug)]
pub(super) enum End {
    /// All responses were written, and the connection is to be closed.
    Closed,
    /// The client has left or is too slow, or the connection is broken.
    Failed,
    /// All responses were written, and these bytes begin a request that is not served here.
    HandedOver(Bytes),
}

/// What the connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Requests are at work or responses are being written.
    Busy,
    /// The next request has not begun.
    Idle,
    /// A part of the next head has arrived.
    PartialHead,
}

/// Whether reading may lead to another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Intake {
    Open,
    /// What follows is for the HTTP library, after all responses.
    Other,
    /// No further request is started.
    Ended,
}

/// A request that was read, and when its head was complete.
#[derive(Debug)]
struct Arrived {
    request: Box<SimpleRequest>,
    at: TimeMs,
}

/// A client's connection: its bytes, requests and responses.
pub(super) struct PipelinedConnection<'a> {
    node: &'a Rc<Node>,
    reader: ReadHalf<'a>,
    stream: &'a TcpStream,
    client_address: net::IpAddr,
    max_requests: usize,
    idle_timeout: Duration,
    head_timeout: Duration,
    input: Input,
    /// The next request, if it may not be started yet.
    waiting: Option<Arrived>,
    queue: Queue,
    output: Output,
    intake: Intake,
    phase: Phase,
    phase_began: Instant,
    /// Whether the operating system reports the client's close by a read.
    is_reading: bool,
    has_departed: bool,
}

impl<'a> PipelinedConnection<'a> {
    pub(super) fn new(
        node: &'a Rc<Node>,
        reader: ReadHalf<'a>,
        stream: &'a TcpStream,
        client_address: net::IpAddr,
        limits: &Limits,
    ) -> Self {
        let max_bytes = limits.header_bytes.max(MIN_BUFFER_BYTES);
        Self {
            node,
            reader,
            stream,
            client_address,
            max_requests: node.settings().max_pipelined_requests,
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
            head_timeout: Duration::from_millis(limits.header_timeout_ms),
            input: Input::new(max_bytes),
            waiting: None,
            queue: Queue::default(),
            output: Output::default(),
            intake: Intake::Open,
            phase: Phase::Idle,
            phase_began: Instant::now(),
            is_reading: false,
            has_departed: false,
        }
    }

    /// Starts no further request: the instance stops. Requests at work are answered.
    pub(super) fn stop(&mut self) {
        self.intake = Intake::Ended;
        self.waiting = None;
    }

    /// Reads, runs requests and writes as far as possible.
    ///
    /// `departure` is ready when the client has closed the connection; `sleep` is a timer for this method.
    pub(super) fn poll(
        &mut self,
        context: &mut Context<'_>,
        departure: Pin<&mut impl Future<Output = io::Result<Ready>>>,
        sleep: Pin<&mut Sleep>,
    ) -> Poll<End> {
        loop {
            self.queue.poll_all(context);
            if self.poll_output(context).is_err() {
                return Poll::Ready(End::Failed);
            }
            if let Some(end) = self.end() {
                return Poll::Ready(end);
            }
            match self.poll_input(context) {
                Ok(true) => {}
                Ok(false) => break,
                Err(end) => return Poll::Ready(end),
            }
        }
        if self.poll_departure(context, departure) || self.poll_timeout(context, sleep) {
            return Poll::Ready(End::Failed);
        }
        Poll::Pending
    }

    /// Returns whether a response is due or being written.
    fn is_busy(&self) -> bool {
        !self.queue.is_empty() || !self.output.is_empty()
    }

    /// Returns how the connection ends if there is nothing left to do.
    fn end(&mut self) -> Option<End> {
        if self.output.is_last() && self.output.is_empty() {
            return Some(End::Closed);
        }
        if self.is_busy() || self.waiting.is_some() {
            return None;
        }
        match self.intake {
            Intake::Open => None,
            Intake::Other => Some(End::HandedOver(self.input.take_all())),
            Intake::Ended => Some(End::Closed),
        }
    }

    /// Writes responses in the order of their requests.
    fn poll_output(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        loop {
            self.output.poll_write(self.stream, context)?;
            if !self.output.may_begin() {
                return Ok(());
            }
            let Some((response, details)) = self.queue.pop_answered() else {
                return Ok(());
            };
            let ends = details.closes || self.is_stopping();
            let is_last = ends && self.queue.is_empty();
            if is_last {
                self.stop();
            }
            self.output.begin(response, details, is_last);
        }
    }

    fn is_stopping(&self) -> bool {
        self.intake == Intake::Ended || self.node.stop.is_leaving()
    }

    /// Starts a request or reads once; returns whether anything was done.
    fn poll_input(&mut self, context: &mut Context<'_>) -> Result<bool, End> {
        self.is_reading = false;
        if let Some(arrived) = self.waiting.take() {
            return Ok(self.start_if_allowed(arrived));
        }
        if !self.may_read() {
            return Ok(false);
        }
        match self.input.next_head() {
            ParsedHead::Simple(request) => {
                let at = self.node.now();
                self.waiting = Some(Arrived { request, at });
                Ok(true)
            }
            ParsedHead::Other => {
                self.intake = Intake::Other;
                Ok(true)
            }
            ParsedHead::Partial => self.poll_read(context),
        }
    }

    fn poll_read(&mut self, context: &mut Context<'_>) -> Result<bool, End> {
        self.is_reading = true;
        match self.input.poll_read(&mut self.reader, context) {
            Poll::Pending => Ok(false),
            Poll::Ready(Ok(0)) if self.is_busy() => Err(End::Failed),
            Poll::Ready(Ok(0)) => {
                self.intake = if self.input.is_empty() {
                    Intake::Ended
                } else {
                    Intake::Other
                };
                Ok(true)
            }
            Poll::Ready(Ok(_)) => Ok(true),
            Poll::Ready(Err(_)) => Err(End::Failed),
        }
    }

    fn may_read(&self) -> bool {
        let unwritten = self.queue.len() + usize::from(!self.output.is_empty());
        self.intake == Intake::Open
            && unwritten < self.max_requests
            && !self.output.is_blocked()
            && !self.output.is_last()
    }

    /// Starts the request, or lets it wait; returns whether it was started.
    fn start_if_allowed(&mut self, arrived: Arrived) -> bool {
        let may_run_ahead = may_run_ahead(self.node, &arrived.request.request);
        let reservation = if self.is_busy() {
            let is_allowed = may_run_ahead
                && !self.queue.blocks_later()
                && !self.output.is_blocked()
                && !self.output.is_last()
                && !self.node.stop.is_leaving();
            let reservation = is_allowed.then(|| Reservation::take(self.node)).flatten();
            if reservation.is_none() {
                self.waiting = Some(arrived);
                return false;
            }
            reservation
        } else {
            None
        };
        let SimpleRequest { request, closes } = *arrived.request;
        let details = Details {
            is_head: request.method() == Method::HEAD,
            closes,
            blocks_later: !may_run_ahead,
            reservation,
        };
        if closes {
            self.intake = Intake::Ended;
        }
        self.phase = Phase::Busy;
        let node = Rc::clone(self.node);
        let client_address = self.client_address;
        let handling =
            Box::pin(
                async move { dispatch::respond(&node, client_address, request, arrived.at).await },
            );
        self.queue.push(handling, details);
        true
    }

    /// Returns whether the client has left while requests are at work and nothing is read.
    fn poll_departure(
        &mut self,
        context: &mut Context<'_>,
        departure: Pin<&mut impl Future<Output = io::Result<Ready>>>,
    ) -> bool {
        if !self.is_busy() || self.is_reading {
            return false;
        }
        self.has_departed = self.has_departed || departure.poll(context).is_ready();
        self.has_departed
    }

    /// Returns whether the connection was idle or a head incomplete for too long.
    fn poll_timeout(&mut self, context: &mut Context<'_>, mut sleep: Pin<&mut Sleep>) -> bool {
        let phase = if self.is_busy() {
            Phase::Busy
        } else if self.input.is_empty() {
            Phase::Idle
        } else {
            Phase::PartialHead
        };
        if phase != self.phase {
            self.phase = phase;
            self.phase_began = Instant::now();
        }
        let timeout = match phase {
            Phase::Busy => return false,
            Phase::Idle => self.idle_timeout,
            Phase::PartialHead => self.head_timeout,
        };
        let deadline = self.phase_began + timeout;
        // A timer that is due too early is set anew when it is due, and not for each request.
        if sleep.deadline() > deadline {
            sleep.as_mut().reset(deadline);
        }
        while sleep.as_mut().poll(context).is_ready() {
            if Instant::now() >= deadline {
                return true;
            }
            sleep.as_mut().reset(deadline);
        }
        false
    }
}

/// Returns whether a request may run while others of its connection do: a second run of it would do no harm.
fn may_run_ahead(node: &Rc<Node>, request: &Request<Empty<Bytes>>) -> bool {
    let host = head::host_of(request.headers(), request.uri());
    node.configuration().is_some_and(|configuration| {
        let route = configuration.route(&host, request.uri().path());
        route.is_some_and(|route| route.kind.may_run_again())
    })
}
