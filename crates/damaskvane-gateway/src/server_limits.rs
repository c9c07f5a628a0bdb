//! Limits that backend servers name for their requests, in sum over all instances.
//!
//! From the first response on that names a limit, each request to the server needs a token (`send_permit`), whatever it is sent for.

pub(crate) mod asking;
mod holders;
mod reports;
mod service;

pub use crate::messages::{
    LeaseRequest, LimitClaim, TokenMessage, TokenOutcome, TokenReply, TokenRequest,
};
pub(crate) use reports::apply_peer_report;
pub(crate) use service::handle_message;

use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_routing::limit::RequestRate;

use crate::node::Node;

/// Returns the limit of a server, or `None` if it is not known to have one.
pub(crate) fn known(node: &Node, server: &ids::BackendServerId) -> Option<RequestRate> {
    node.state.borrow().pool.availability(server)?.limit.rate()
}

/// Reports a limit that has just changed to all other instances.
pub(crate) fn announce(node: &Rc<Node>, server: &ids::BackendServerId) {
    tokio::task::spawn_local(reports::announce(Rc::clone(node), server.clone()));
}
