//! An exchange while it counts as running on its server.

use std::cell::RefCell;
use std::rc::Rc;

use damaskvane_core::time::TimeMs;
use damaskvane_routing::placement::Pick;
use damaskvane_routing::pool::{ExchangeEnd, ExchangeId, ServerReport};

use crate::crashes;
use crate::node::Node;
use crate::reach;
use crate::tunnel::Path;
use crate::upstream::OutgoingRequest;

/// Guard that removes an exchange from the requests counted as running on its server when the exchange ends
/// or is dropped.
///
/// When a client disconnects, the future that handles its request is dropped. Without this guard the request
/// would count as running at the server permanently, and the server would appear full.
#[derive(Debug)]
pub(super) struct RunningExchange<'a> {
    node: Rc<Node>,
    pick: Pick,
    request: &'a OutgoingRequest,
    id: ExchangeId,
    started: TimeMs,
    /// The way of the connection, once there is one.
    pub(super) path: RefCell<Option<Path>>,
    is_open: bool,
}

impl<'a> RunningExchange<'a> {
    pub(super) fn start(node: &Rc<Node>, pick: &Pick, request: &'a OutgoingRequest) -> Self {
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
            path: RefCell::new(None),
            is_open: true,
        }
    }

    pub(super) fn end(&mut self, end: ExchangeEnd, report: ServerReport) -> Option<u64> {
        self.is_open = false;
        if matches!(end, ExchangeEnd::Silent | ExchangeEnd::Abandoned) {
            self.record_silence();
            if self.may_be_evidence() {
                let (pick, request) = (&self.pick, self.request);
                crashes::record_unanswered_exchange(&self.node, pick, request, self.started);
            }
        }
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let mut server = state.pool.server_mut(&self.pick.server)?;
        server.record_end(now, self.id, end, report)
    }
}

impl RunningExchange<'_> {
    /// Returns whether silence may be the server's: in a tunnel it may be another instance's.
    fn may_be_evidence(&self) -> bool {
        let is_direct = self.path.borrow().as_ref() == Some(&Path::Direct);
        is_direct && reach::is_direct(&self.node)
    }

    /// Records that the connection stayed silent, if it did so for longer than requests usually take.
    fn record_silence(&self) {
        let path = self.path.borrow();
        let lasted_ms = self.node.now().since(self.started).get() as f64;
        if let Some(path) = path.as_ref().filter(|_| lasted_ms > self.pick.expected_ms) {
            reach::record_unanswered(&self.node, &self.pick.server, path, self.started);
        }
    }
}

impl Drop for RunningExchange<'_> {
    fn drop(&mut self) {
        if self.is_open {
            self.end(ExchangeEnd::Abandoned, ServerReport::default());
        }
    }
}
