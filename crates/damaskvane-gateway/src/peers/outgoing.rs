//! Sends the messages that other modules hand over, and notices about crashes.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::time::TimeMs;
use damaskvane_dispatch::quarantine::{Incident, RequestIdentity};
use rand::RngExt;
use tokio::net::UdpSocket;

use crate::crashes::{self, CrashNotice};
use crate::messages::Message;
use crate::node::Node;
use crate::peers;

/// How many times an incident (the crash of a server with requests) is sent: a datagram may be lost, and a recipient
/// may be paused for a moment.
const INCIDENT_SEND_COUNT: u32 = 3;
/// Interval between two transmissions of the same incident.
const INCIDENT_RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// Largest delay of the message that a suspect completed, in milliseconds; well below the length of a wave of crashes.
const MAX_COMPLETION_DELAY_MS: u64 = 100;

/// Sends the queued messages, until the process ends.
pub(super) async fn send_queued(node: Rc<Node>, socket: Rc<UdpSocket>) {
    while let Ok(outgoing) = node.outbox.queue().recv_async().await {
        peers::send(&node, &socket, &outgoing.message, &outgoing.recipients).await;
    }
}

/// Sends each notice about crashes to all other instances, until the process ends.
pub(super) async fn send_crash_notices(node: Rc<Node>, socket: Rc<UdpSocket>) {
    while let Ok(notice) = node.crashes.notices().recv_async().await {
        let (node, socket) = (Rc::clone(&node), Rc::clone(&socket));
        tokio::task::spawn_local(async move {
            match notice {
                CrashNotice::Incident(incident) => send_incident(&node, &socket, incident).await,
                CrashNotice::Completed {
                    request,
                    at,
                    is_urgent,
                } => {
                    if !is_urgent {
                        wait_for_other_reports().await;
                    }
                    send_completion(&node, &socket, &request, at).await;
                }
            }
        });
    }
}

async fn send_incident(node: &Node, socket: &UdpSocket, incident: Incident) {
    let crashed_at = TimeMs::new(node.now().get().saturating_sub(incident.age.get()));
    for attempt in 0..INCIDENT_SEND_COUNT {
        if attempt > 0 {
            tokio::time::sleep(INCIDENT_RESEND_INTERVAL).await;
        }
        let incident = Incident {
            age: node.now().since(crashed_at),
            ..incident.clone()
        };
        let recipients = node.state.borrow().members.others();
        let message = Message::Incident(incident);
        peers::send(node, socket, &message, &recipients).await;
    }
}

/// Waits for a random time before a suspect's completion is reported.
///
/// A request that many callers send completes at every instance within a moment; without the delay each instance would
/// send a message to each other one.
async fn wait_for_other_reports() {
    let delay_ms = rand::rng().random_range(0..=MAX_COMPLETION_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}

/// Reports that a suspect completed, unless another instance has reported it.
async fn send_completion(node: &Node, socket: &UdpSocket, request: &RequestIdentity, at: TimeMs) {
    if crashes::is_completion_known(node, request, at) {
        return;
    }
    let age = node.now().since(at);
    let recipients = node.state.borrow().members.others();
    let message = Message::Completed {
        request: *request,
        age,
    };
    peers::send(node, socket, &message, &recipients).await;
}
