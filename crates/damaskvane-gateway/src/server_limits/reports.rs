//! Reports of servers' limits between instances.

use core::time::Duration;
use std::net;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::pool::{PeerLimitReport, ServerKey, StatementSource};
use rand::RngExt;

use crate::messages::LimitClaim;
use crate::messages::Message;
use crate::node::Node;
use crate::server_statements;

/// Largest delay of the report of a limit, in a fleet of up to [`FLEET_SIZE`] other instances.
const MAX_DELAY_MS: u64 = 100;
/// Number of other instances from which on the delay grows with the fleet.
const FLEET_SIZE: usize = 32;

/// Reports a limit to all other instances, unless one of them has reported it first.
///
/// All instances that use a server learn of its limit within a moment; without a random delay each would send a message to
/// each other one.
pub(super) async fn announce(node: Rc<Node>, server: ids::BackendServerId) {
    let recipients = node.state.borrow().members.others();
    let max_delay_ms = MAX_DELAY_MS * (recipients.len().div_ceil(FLEET_SIZE) as u64);
    let delay_ms = rand::rng().random_range(0..=max_delay_ms);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let report = {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        let Some(mut server) = state.pool.server_mut(&server) else {
            return;
        };
        if !server.availability.limit.is_news() {
            return;
        }
        server.availability.limit.record_reported();
        server.limit_report(now)
    };
    let message = Message::ServerLimits(vec![report]);
    node.outbox.send(message, recipients);
}

/// Sends what this instance knows of a server's limit to another instance.
fn send_report(node: &Node, server: ServerKey, recipient: net::SocketAddr) {
    let now = node.now();
    let report = {
        let state = node.state.borrow();
        let server = state.pool.by_key(server);
        server.map(|server| server.limit_report(now))
    };
    if let Some(report) = report {
        let message = Message::ServerLimits(vec![report]);
        node.outbox.send(message, vec![recipient]);
    }
}

/// Applies another instance's report of a limit.
pub(crate) fn apply_peer_report(node: &Node, report: PeerLimitReport) {
    let now = node.now();
    let changed = node.state.borrow_mut().pool.apply_limit_report(now, report);
    if let Some((server, change)) = changed {
        let as_of = TimeMs::new(now.get().saturating_sub(report.age.get()));
        server_statements::log_limit(node, &server, as_of, change, StatementSource::Peer);
    }
}

/// Applies what the sender of a message on tokens knows of a server's limit; returns `false` if this instance knows that the
/// limit has ended since, and tells the sender.
pub(super) fn apply_claim(node: &Node, from: net::SocketAddr, claim: LimitClaim) -> bool {
    let report = PeerLimitReport {
        server: claim.server,
        rate: Some(claim.rate),
        age: claim.age,
    };
    apply_peer_report(node, report);
    let has_ended = {
        let state = node.state.borrow();
        let server = state.pool.by_key(claim.server);
        server.is_some_and(|server| server.availability.limit.has_ended())
    };
    if has_ended {
        send_report(node, claim.server, from);
    }
    !has_ended
}
