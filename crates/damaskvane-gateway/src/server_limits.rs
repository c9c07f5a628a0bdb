//! Limits that backend servers name for their requests, in sum over all instances.
//!
//! From the first response on that names a limit, each request to the server needs a token (`permit`), whatever it is sent for.

mod asking;
mod holders;
mod message;
mod permit;
mod reports;
mod service;
mod tokens;

pub use message::{LeaseRequest, LimitClaim, TokenMessage, TokenOutcome, TokenReply, TokenRequest};
pub(crate) use permit::{NotAdmitted, Purpose, SendPermit};
pub(crate) use reports::apply_peer_report;
pub(crate) use service::handle_message;
pub(crate) use tokens::ServerTokens;

use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_routing::limit::RequestRate;

use crate::node::Node;

/// Returns the limit of a server, or `None` if it is not known to have one.
pub(crate) fn known(node: &Node, server: &ids::BackendServerId) -> Option<RequestRate> {
    let state = node.state.borrow();
    state.pool.server(server)?.availability.limit.rate()
}

/// Reports a limit that has just changed to all other instances.
pub(crate) fn announce(node: &Rc<Node>, server: &ids::BackendServerId) {
    tokio::task::spawn_local(reports::announce(Rc::clone(node), server.clone()));
}
