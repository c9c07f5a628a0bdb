//! Sends the messages that other modules hand over: incidents, and tokens of quotas.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_dispatch::quarantine::Incident;
use tokio::net::UdpSocket;

use crate::node::Node;
use crate::peers::{self, Message};

/// How many times an incident (the crash of a server with requests) is sent: a datagram may be lost, and a recipient
/// may be paused for a moment.
const INCIDENT_SEND_COUNT: u32 = 3;
/// Interval between two transmissions of the same incident.
const INCIDENT_RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Sends requests for tokens of quotas and the replies to them, until the process ends.
pub(super) async fn send_quota_messages(node: Rc<Node>, socket: Rc<UdpSocket>) {
    while let Ok(outgoing) = node.quotas.outgoing().recv_async().await {
        let message = Message::Quota(outgoing.message);
        peers::send(&node, &socket, &message, &[outgoing.recipient]).await;
    }
}

/// Sends each incident that this instance detects to all other instances, until the process ends.
pub(super) async fn send_incidents(node: Rc<Node>, socket: Rc<UdpSocket>) {
    while let Ok(incident) = node.crashes.notices().recv_async().await {
        let sending = send_incident(Rc::clone(&node), Rc::clone(&socket), incident);
        tokio::task::spawn_local(sending);
    }
}

async fn send_incident(node: Rc<Node>, socket: Rc<UdpSocket>, incident: Incident) {
    let detected_at = node.now();
    for attempt in 0..INCIDENT_SEND_COUNT {
        if attempt > 0 {
            tokio::time::sleep(INCIDENT_RESEND_INTERVAL).await;
        }
        let incident = Incident {
            age: node.now().since(detected_at),
            ..incident.clone()
        };
        let recipients = node.state.borrow().members.others();
        peers::send(&node, &socket, &Message::Incident(incident), &recipients).await;
    }
}
