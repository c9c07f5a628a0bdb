//! Memory for responses that wait behind others of their connection.

use std::rc::Rc;

use hyper::Response;
use hyper::body::Body;

use crate::node::Node;
use crate::upstream::ResponseBody;

/// The responses that wait behind others may together fill the process's memory limit divided by this number.
const MEMORY_DIVISOR: u64 = 8;
/// Memory of a response whose length is not known yet: as much of a body as is buffered, and the pieces of a longer one.
const MAX_RESPONSE_BYTES: usize = 294_912;

/// Guard that counts the memory of one response, and the request itself, until it is dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    node: Rc<Node>,
    bytes: usize,
}

impl Reservation {
    /// Reserves memory for a response; returns `None` if too much is reserved.
    pub(super) fn take(node: &Rc<Node>) -> Option<Self> {
        let max_reserved = node.settings().memory_mb * (1 << 20) / MEMORY_DIVISOR;
        let reserved = node.pipelined_bytes.get() + MAX_RESPONSE_BYTES;
        if reserved as u64 > max_reserved {
            return None;
        }
        node.pipelined_bytes.set(reserved);
        node.metrics.pipelined_requests.inc();
        Some(Self {
            node: Rc::clone(node),
            bytes: MAX_RESPONSE_BYTES,
        })
    }

    /// Reduces the reservation to what the response holds, if its length is known.
    pub(super) fn fit(&mut self, response: &Response<ResponseBody>) {
        let exact = response.body().size_hint().exact();
        let Some(bytes) = exact.and_then(|bytes| usize::try_from(bytes).ok()) else {
            return;
        };
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.give_back(surplus);
    }

    fn give_back(&self, bytes: usize) {
        let reserved = &self.node.pipelined_bytes;
        reserved.set(reserved.get().saturating_sub(bytes));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.give_back(self.bytes);
        self.node.metrics.pipelined_requests.dec();
    }
}
