//! A request that has no answer yet: what the log tells if it never gets one.

use std::cell::RefCell;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::clients::reply;
use crate::decision_log::Matter;
use crate::node::Node;

/// A request that has no answer yet.
///
/// A client that leaves drops the future that works for it. Without this guard its request would vanish from
/// the log, and a missing answer would look like a fault of the instance.
#[derive(Debug)]
pub(super) struct PendingRequest<'a> {
    pub(super) node: &'a Rc<Node>,
    pub(super) request_id: Option<String>,
    pub(super) started: TimeMs,
    is_answered: bool,
    /// The server that it was sent to last.
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

    /// Notes that the client is about to get an answer.
    pub(super) fn answered(mut self) {
        self.is_answered = true;
    }

    /// Notes where the request is sent.
    pub(super) fn note_sent(&self, server: &ids::BackendServerId) {
        *self.sent_to.borrow_mut() = Some(server.clone());
    }

    /// Notes that the request was turned away before a server was chosen.
    pub(super) fn turned_away(&self, reason: &str) {
        reply::count_refusal(self.node, reason);
        self.log(reason);
    }

    fn log(&self, reason: &str) {
        let now = self.node.now();
        let version = self.node.configuration().map(|found| found.version().get());
        self.node
            .log
            .request(now, Matter::Failure, |log, left_out| {
                slog::info!(log, "request not served";
                    "request_id" => self.request_id.as_deref(), "reason" => reason,
                    "backend_server" => self.sent_to.borrow().as_ref().map(ToString::to_string),
                    "after_ms" => now.since(self.started).get(), "config_version" => version,
                    "store_age_ms" => self.node.store.age(now).get(), "lines_left_out" => left_out);
            });
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.node.metrics.clients_left.inc();
            self.log("client_left");
        }
    }
}
