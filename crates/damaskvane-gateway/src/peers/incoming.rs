//! Receives the messages of other instances.

use std::net;
use std::rc::Rc;

use damaskvane_routing::peers::Heartbeat;
use tokio::net::UdpSocket;

use crate::crashes;
use crate::messages::Message;
use crate::node::Node;
use crate::peers::{MAX_HEARTBEATS_PER_UPDATE, send};
use crate::quota;
use crate::server_limits;
use crate::server_statements;

/// Largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Largest number of servers' limits in one message, so that the datagram is not fragmented: at most 24 bytes each.
const MAX_LIMITS_PER_MESSAGE: usize = 48;

/// Applies the messages of other instances, until the process ends.
pub(super) async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // The error means that an earlier datagram had no receiver; the socket remains usable.
            continue;
        };
        match Message::decode(&buffer[..length]) {
            Some(Message::Heartbeat(heartbeat)) => {
                reply_to_heartbeat(&node, &socket, &heartbeat).await;
                if apply_heartbeat(&node, heartbeat.clone()) {
                    send_server_statements(&node, &socket, heartbeat.peer_address).await;
                    send_introduction(&node, &socket, &heartbeat).await;
                }
            }
            Some(Message::Digest {
                is_forwarded,
                digest,
            }) => {
                if !is_forwarded {
                    let message = Message::Digest {
                        is_forwarded: true,
                        digest: digest.clone(),
                    };
                    forward_in_zone(&node, &socket, &message).await;
                }
                let now = node.now();
                node.state.borrow_mut().members.apply_digest(now, &digest);
            }
            Some(Message::MembershipUpdate {
                is_forwarded,
                heartbeats,
            }) => {
                if !is_forwarded {
                    let message = Message::MembershipUpdate {
                        is_forwarded: true,
                        heartbeats: heartbeats.clone(),
                    };
                    forward_in_zone(&node, &socket, &message).await;
                }
                for heartbeat in heartbeats {
                    apply_heartbeat(&node, heartbeat);
                }
            }
            Some(Message::Incident(incident)) => crashes::apply_peer_incident(&node, &incident),
            Some(Message::Completed { request, age }) => {
                crashes::apply_peer_completion(&node, &request, age);
            }
            Some(Message::ServerReports(reports)) => {
                let now = node.now();
                node.state
                    .borrow_mut()
                    .pool
                    .apply_server_reports(now, &reports);
            }
            Some(Message::PopularityReport(report)) => {
                let now = node.now();
                let mut state = node.state.borrow_mut();
                if state.members.is_aggregator(now) {
                    state.placer.apply_popularity_report(now, &report);
                }
            }
            Some(Message::PopularityDecisions {
                aggregator,
                decisions,
                moves,
            }) => {
                let now = node.now();
                let placer = &mut node.state.borrow_mut().placer;
                placer.apply_popularity_decisions(now, &aggregator, &decisions, &moves);
            }
            Some(Message::ServerLimits(reports)) => {
                for report in reports {
                    server_limits::apply_peer_report(&node, report);
                }
            }
            Some(Message::ServerStatements { sender, statements }) => {
                for statement in statements {
                    server_statements::apply_peer_statement(&node, &sender, statement);
                }
            }
            Some(Message::Quota(message)) => quota::handle_message(&node, from, message),
            Some(Message::Token(message)) => {
                server_limits::handle_message(&node, from, message);
            }
            None => node.metrics.invalid_datagrams.inc(),
        }
    }
}

/// Replies with this instance's heartbeat to a starting instance, which may know no other instance.
async fn reply_to_heartbeat(node: &Node, socket: &UdpSocket, heartbeat: &Heartbeat) {
    let own = node
        .state
        .borrow()
        .members
        .reply_to_heartbeat(heartbeat)
        .cloned();
    if let Some(own) = own {
        let recipients = [heartbeat.peer_address];
        send_server_statements(node, socket, heartbeat.peer_address).await;
        send(node, socket, &Message::Heartbeat(own), &recipients).await;
    }
}

/// Sends the heartbeats of other zones' instances to an instance of this zone that has just started.
async fn send_introduction(node: &Node, socket: &UdpSocket, heartbeat: &Heartbeat) {
    let now = node.now();
    let introduction = node
        .state
        .borrow()
        .members
        .heartbeats_for_new_instance(now, heartbeat);
    for heartbeats in introduction.chunks(MAX_HEARTBEATS_PER_UPDATE) {
        let message = Message::MembershipUpdate {
            is_forwarded: true,
            heartbeats: heartbeats.to_vec(),
        };
        send(node, socket, &message, &[heartbeat.peer_address]).await;
    }
}

/// Sends what servers have said to an instance that starts, before its first request.
async fn send_server_statements(node: &Node, socket: &UdpSocket, recipient: net::SocketAddr) {
    let now = node.now();
    let reports: Vec<_> = node.state.borrow().pool.limit_reports(now).collect();
    for reports in reports.chunks(MAX_LIMITS_PER_MESSAGE) {
        let message = Message::ServerLimits(reports.to_vec());
        send(node, socket, &message, &[recipient]).await;
    }
    for message in server_statements::messages_for_newcomer(node) {
        send(node, socket, &message, &[recipient]).await;
    }
}

/// Applies a heartbeat; returns whether the instance is new or was started again.
fn apply_heartbeat(node: &Node, heartbeat: Heartbeat) -> bool {
    let instance = heartbeat.instance.clone();
    let phase = heartbeat.phase;
    let now = node.now();
    let is_new = node
        .state
        .borrow_mut()
        .members
        .apply_heartbeat(now, heartbeat);
    if is_new {
        slog::info!(node.log.log, "instance started";
            "peer" => %instance, "phase" => ?phase);
    }
    is_new
}

/// Forwards a message from another zone to the instances of this zone, if this instance is an aggregator.
async fn forward_in_zone(node: &Node, socket: &UdpSocket, message: &Message) {
    let now = node.now();
    let recipients = node.state.borrow().members.digest_forward_recipients(now);
    if !recipients.is_empty() {
        send(node, socket, message, &recipients).await;
    }
}
