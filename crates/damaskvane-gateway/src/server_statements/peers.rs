//! What instances tell each other of what servers have said.
//!
//! That a server leaves concerns all instances. A rest concerns the instance that the server has answered; others must know
//! it if their requests reach the server through that instance, and those that start treat the server with care.

use core::time::Duration;
use std::net;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_routing::pool::{PeerStatement, ServerKey, StatementSource};
use rand::RngExt;

use crate::messages::Message;
use crate::node::Node;
use crate::server_statements::{log_leaving, log_rest};
use crate::tunnel::Peer;

/// Largest delay of the report that a server leaves, in a fleet of up to [`FLEET_SIZE`] other instances.
const MAX_DELAY_MS: u64 = 100;
/// Number of other instances from which on the delay grows with the fleet.
const FLEET_SIZE: usize = 32;
/// Largest number of statements in one message, so that the datagram is not fragmented: at most 16 bytes each.
const MAX_STATEMENTS_PER_MESSAGE: usize = 48;

/// Reports to all other instances that a server leaves, unless one of them has reported it first.
pub(super) async fn announce_leaving(node: Rc<Node>, server: ids::BackendServerId) {
    let recipients = node.state.borrow().members.others();
    let max_delay_ms = MAX_DELAY_MS * (recipients.len().div_ceil(FLEET_SIZE) as u64);
    let delay_ms = rand::rng().random_range(0..=max_delay_ms);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let statement = node.state.borrow_mut().pool.report_leaving(&server);
    if let Some(statement) = statement {
        send(&node, vec![statement], recipients);
    }
}

/// Tells the instance that carried a request that the server wants no request from it.
pub(super) fn tell_carrier(
    node: &Node,
    carrier: &Peer,
    server: &ids::BackendServerId,
    remaining: SpanMs,
) {
    let server = ServerKey::of(server);
    let statement = PeerStatement::RecipientRests { server, remaining };
    send(node, vec![statement], vec![carrier.address]);
}

/// Tells the instances for which this one carries connections to a server that the server wants no request from it.
pub(super) fn tell_tunnel_users(node: &Node, server: &ids::BackendServerId, remaining: SpanMs) {
    let users = node.carried_tunnels.users(server);
    if users.is_empty() {
        return;
    }
    let others = node.state.borrow().members.others().into_iter();
    let recipients = others.filter(|address| users.contains(&address.ip()));
    let server = ServerKey::of(server);
    let statement = PeerStatement::SenderRests { server, remaining };
    send(node, vec![statement], recipients.collect());
}

/// Returns messages with all that an instance which starts needs to know.
pub(crate) fn messages_for_newcomer(node: &Node) -> Vec<Message> {
    let now = node.now();
    let statements: Vec<_> = node.state.borrow().pool.statements(now).collect();
    let chunks = statements.chunks(MAX_STATEMENTS_PER_MESSAGE);
    chunks.map(|chunk| message(node, chunk.to_vec())).collect()
}

fn send(node: &Node, statements: Vec<PeerStatement>, recipients: Vec<net::SocketAddr>) {
    node.outbox.send(message(node, statements), recipients);
}

fn message(node: &Node, statements: Vec<PeerStatement>) -> Message {
    Message::ServerStatements {
        sender: node.settings().instance.clone(),
        statements,
    }
}

/// Applies what another instance tells of a server.
pub(crate) fn apply(node: &Rc<Node>, sender: &ids::InstanceId, statement: PeerStatement) {
    match statement {
        PeerStatement::Leaving {
            server,
            started_unix_ms,
        } => apply_leaving(node, server, started_unix_ms),
        PeerStatement::SenderRests { server, remaining } => {
            let now = node.now();
            let mut state = node.state.borrow_mut();
            state
                .tunnel_peers
                .record_rest(now, sender, server, remaining);
            if node.is_starting_up() {
                state.pool.learn_rest_of_other(now, server, remaining);
            }
        }
        PeerStatement::RecipientRests { server, remaining } => {
            apply_rest(node, server, remaining);
        }
    }
}

fn apply_leaving(node: &Node, server: ServerKey, started_unix_ms: u64) {
    let now = node.now();
    let news = {
        let pool = &mut node.state.borrow_mut().pool;
        pool.apply_leaving(now, server, started_unix_ms)
    };
    if let Some(server) = news {
        node.idle.borrow_mut().drop_server(&server);
        log_leaving(node, &server, StatementSource::Peer);
    }
}

fn apply_rest(node: &Node, server: ServerKey, remaining: SpanMs) {
    let now = node.now();
    let changed = {
        let pool = &mut node.state.borrow_mut().pool;
        pool.apply_rest(now, server, remaining)
    };
    if let Some((server, change)) = changed {
        log_rest(node, &server, change, StatementSource::Peer);
        tell_tunnel_users(node, &server, change.remaining);
    }
}
