//! Exchange of heartbeats, digests, reports and crash notices between entry instances by UDP. A heartbeat reports that
//! its sender is alive. An aggregator sends a digest, the list of its zone's live instances, to other zones.
//!
//! Each heartbeat replaces the one before, so that a lost heartbeat need not be sent again. With datagrams, a peer
//! that reads slowly can't block the sender.

mod incoming;
mod outgoing;

use core::time::Duration;
use std::io;
use std::net;
use std::rc::Rc;

use damaskvane_core::time::TimeMs;
use damaskvane_routing::peers::{Digest, Heartbeat, Phase};
use damaskvane_routing::placement::ObjectMove;
use tokio::net::UdpSocket;

pub use crate::messages::Message;

use crate::costs::Distance;
use crate::node::{Node, State};
use crate::stop::StopPhase;

/// Interval between two server reports, multiplied by the number of recipients: an instance sends at the same rate in
/// a zone of any size.
const REPORT_INTERVAL_PER_RECIPIENT: Duration = Duration::from_millis(30);
/// Shortest interval between two server reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of servers in one report: about 12 bytes each.
const MAX_SERVERS_PER_REPORT: usize = 12;
/// Shortest interval between two popularity reports.
const MIN_POPULARITY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between two popularity reports, multiplied by the number of other instances in the zone: the aggregators
/// receive reports at the same rate in a zone of any size.
const POPULARITY_INTERVAL_PER_RECIPIENT: Duration = Duration::from_millis(30);
/// Largest number of digest entries in one datagram, so that the datagram is not fragmented: 13 bytes each.
const MAX_DIGEST_ENTRIES: usize = 64;
/// Number of heartbeats between two digests of an aggregator; the zone's other aggregator sends a digest in between.
const HEARTBEATS_PER_DIGEST: u64 = 2;
/// Interval between two checks for membership updates of this instance's zone.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of heartbeats in one membership update (new and changed instances), so that the datagram is not
/// fragmented: about 100 bytes each.
const MAX_HEARTBEATS_PER_UPDATE: usize = 12;
/// Interval between two heartbeats of a starting instance.
///
/// With the short interval, this instance and its peers discover each other before this instance accepts clients.
const STARTUP_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Sends heartbeats and digests and starts the other tasks of this module, until the process ends.
///
/// # Errors
///
/// Fails if the peer address can't be bound.
pub async fn run(node: Rc<Node>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(node.settings().peer_address).await?);
    tokio::task::spawn_local(incoming::receive(Rc::clone(&node), Rc::clone(&socket)));
    tokio::task::spawn_local(send_server_reports(Rc::clone(&node), Rc::clone(&socket)));
    tokio::task::spawn_local(outgoing::send_crash_notices(
        Rc::clone(&node),
        Rc::clone(&socket),
    ));
    tokio::task::spawn_local(send_membership_updates(
        Rc::clone(&node),
        Rc::clone(&socket),
    ));
    tokio::task::spawn_local(outgoing::send_queued(Rc::clone(&node), Rc::clone(&socket)));
    tokio::task::spawn_local(exchange_popularity(Rc::clone(&node), Rc::clone(&socket)));
    let period = Duration::from_millis(node.settings().peers().heartbeat_ms);
    let mut phases = node.stop.subscribe();
    let mut serial = 0;
    let mut last_phase = None;
    loop {
        serial += 1;
        let heartbeat = own_heartbeat(&node, serial);
        let phase = heartbeat.phase;
        let (now, recipients) = {
            let now = node.now();
            let mut state = node.state.borrow_mut();
            state.members.apply_heartbeat(now, heartbeat.clone());
            (now, state.members.recipients(now, serial))
        };
        if last_phase != Some(phase) {
            slog::info!(node.log.log, "own phase"; "phase" => ?phase, "at_ms" => now.get());
            last_phase = Some(phase);
        }
        send(&node, &socket, &Message::Heartbeat(heartbeat), &recipients).await;
        if serial.is_multiple_of(HEARTBEATS_PER_DIGEST) {
            send_digest(&node, &socket).await;
        }
        tokio::select! {
            () = tokio::time::sleep(if phase == Phase::Starting { STARTUP_HEARTBEAT_INTERVAL } else { period }) => {}
            // Peers' lookup responses send no clients to this instance until they receive its new phase.
            () = node.evidence.until_newer(), if phase == Phase::Limited => {}
            // Peers must be notified of a stop at once: until then their lookup responses send clients to this
            // instance.
            _ = phases.wait_for(|stop| *stop != StopPhase::Serving && phase != Phase::Leaving) => {}
        }
    }
}

fn own_heartbeat(node: &Node, serial: u64) -> Heartbeat {
    let settings = node.settings();
    Heartbeat {
        instance: settings.instance.clone(),
        incarnation: node.incarnation,
        serial,
        zone: settings.zone.clone(),
        client_address: settings.client_address,
        peer_address: settings.peer_address,
        phase: node.phase(),
    }
}

async fn send_digest(node: &Node, socket: &UdpSocket) {
    let now = node.now();
    let (digest, recipients) = {
        let members = &node.state.borrow().members;
        (members.digest(now), members.digest_recipients(now))
    };
    let entries = digest.map(|digest| digest.entries).unwrap_or_default();
    for entries in entries.chunks(MAX_DIGEST_ENTRIES) {
        let message = Message::Digest {
            is_forwarded: false,
            digest: Digest {
                entries: entries.to_vec(),
            },
        };
        send(node, socket, &message, &recipients).await;
    }
}

/// Sends other zones the heartbeats of this zone's new instances and changes of phase, until the process ends.
async fn send_membership_updates(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        loop {
            let now = node.now();
            let (heartbeats, recipients) = {
                let members = &mut node.state.borrow_mut().members;
                (
                    members.take_membership_updates(now, MAX_HEARTBEATS_PER_UPDATE),
                    members.digest_recipients(now),
                )
            };
            if heartbeats.is_empty() {
                break;
            }
            let message = Message::MembershipUpdate {
                is_forwarded: false,
                heartbeats,
            };
            send(&node, &socket, &message, &recipients).await;
        }
    }
}

/// Sends reports of busy and unhealthy servers to the zone's other instances, until the process ends.
async fn send_server_reports(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut interval = MIN_REPORT_INTERVAL;
    loop {
        tokio::time::sleep(interval).await;
        let now = node.now();
        let (reports, neighbours) = {
            let mut state = node.state.borrow_mut();
            let contact_at = state.reach.blame_until();
            let reports = state
                .pool
                .take_server_reports(now, MAX_SERVERS_PER_REPORT, contact_at);
            (reports, state.members.neighbours(now))
        };
        let recipient_count = u32::try_from(neighbours.len()).unwrap_or(u32::MAX);
        interval =
            MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_RECIPIENT.saturating_mul(recipient_count));
        if !reports.is_empty() {
            send(
                &node,
                &socket,
                &Message::ServerReports(reports),
                &neighbours,
            )
            .await;
        }
    }
}

/// Sends the counts of requested objects to the zone's aggregators, until the process ends.
///
/// An aggregator applies its own report, decides which objects are popular, and sends the decisions to its zone.
async fn exchange_popularity(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut interval = MIN_POPULARITY_INTERVAL;
    loop {
        tokio::time::sleep(interval).await;
        let now = node.now();
        let (message, recipients) = {
            let mut state = node.state.borrow_mut();
            let state = &mut *state;
            let report = state.placer.take_popularity_report();
            let neighbours = state.members.neighbours(now);
            let recipient_count = u32::try_from(neighbours.len()).unwrap_or(u32::MAX);
            interval = MIN_POPULARITY_INTERVAL
                .max(POPULARITY_INTERVAL_PER_RECIPIENT.saturating_mul(recipient_count));
            if state.members.is_aggregator(now) {
                state.placer.apply_popularity_report(now, &report);
                let decisions = state.placer.decide_popularity(now, state.pool.topology());
                let moves = decide_object_moves(now, state);
                let aggregator = node.settings().instance.clone();
                state
                    .placer
                    .apply_popularity_decisions(now, &aggregator, &decisions, &moves);
                (
                    Message::PopularityDecisions {
                        aggregator,
                        decisions,
                        moves,
                    },
                    neighbours,
                )
            } else {
                (
                    Message::PopularityReport(report),
                    state.members.other_aggregators(now),
                )
            }
        };
        send(&node, &socket, &message, &recipients).await;
    }
}

fn decide_object_moves(now: TimeMs, state: &mut State) -> Vec<ObjectMove> {
    let Some(configuration) = &state.configuration else {
        return Vec::new();
    };
    state
        .placer
        .decide_object_moves(now, &state.pool, configuration)
}

async fn send(node: &Node, socket: &UdpSocket, message: &Message, recipients: &[net::SocketAddr]) {
    let bytes = match message.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            slog::error!(node.log.log, "message to peers can't be encoded"; "error" => %error);
            return;
        }
    };
    for recipient in recipients {
        let distance = Distance::to_instance(node, recipient.ip());
        let costs = &node.metrics.costs;
        costs.record_bytes(message.flow(), distance, bytes.len());
        // Failures are ignored: a recipient that can't be reached now receives a later message.
        let _ = socket.send_to(&bytes, recipient).await;
    }
}
