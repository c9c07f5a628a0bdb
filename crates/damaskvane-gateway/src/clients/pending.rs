//! Logging of requests that end without a backend server's response.

use std::cell::RefCell;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::clients::{reply, send_right};
use crate::decision_log::RequestOutcome;
use crate::node::Node;

/// Guard that logs a client's request if the client disconnects before the response.
///
/// When a client disconnects, the future that handles its request is dropped. Without this guard the request
/// would be missing from the log, and its missing response would look like a fault of the instance.
#[derive(Debug)]
pub(super) struct PendingRequest<'a> {
    pub(super) node: &'a Rc<Node>,
    pub(super) request_id: Option<String>,
    pub(super) started: TimeMs,
    is_answered: bool,
    /// The server to which the request was sent last.
    sent_to: RefCell<Option<ids::BackendServerId>>,
}

impl<'a> PendingRequest<'a> {
    pub(super) const fn new(
        node: &'a Rc<Node>,
        request_id: Option<String>,
        started: TimeMs,
    ) -> Self {
        Self {
            node,
            request_id,
            started,
            is_answered: false,
            sent_to: RefCell::new(None),
        }
    }

    /// Records that the response is ready, and drops the guard without logging the request.
    pub(super) fn mark_answered(mut self) {
        self.is_answered = true;
    }

    /// Records the server to which the request is about to be sent.
    pub(super) fn record_server(&self, server: &ids::BackendServerId) {
        *self.sent_to.borrow_mut() = Some(server.clone());
    }

    /// Counts and logs that the request is rejected before a server is selected.
    pub(super) fn record_rejection(&self, reason: &str) {
        reply::count_refusal(self.node, reason);
        self.log(reason);
    }

    fn log(&self, reason: &str) {
        let now = self.node.now();
        let version = self.node.configuration().map(|found| found.version().get());
        self.node
            .log
            .log_request(now, RequestOutcome::Failure, |log, left_out| {
                slog::info!(log, "request not served";
                    "request_id" => self.request_id.as_deref(), "reason" => reason,
                    "backend_server" => self.sent_to.borrow().as_ref().map(ToString::to_string),
                    "after_ms" => now.since(self.started).get(), "config_version" => version,
                    "evidence_age_ms" => send_right::evidence_age(self.node).map(SpanMs::get),
                    "store_age_ms" => self.node.store.age(now).get(), "lines_left_out" => left_out);
            });
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.node.metrics.client_disconnects.inc();
            self.log("client_left");
        }
    }
}
