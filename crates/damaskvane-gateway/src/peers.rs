//! Heartbeats between instances, digests of them between zones, and notices of crashes, as datagrams.
//!
//! A heartbeat is worth nothing once the next one comes, so a lost one needs no second sending, and a
//! peer that reads slowly can't hold a sender up. That is why datagrams carry them.

mod message;

use core::time::Duration;
use std::io;
use std::net;
use std::rc::Rc;

use damaskvane_dispatch::quarantine::Incident;
use damaskvane_routing::peers::{Digest, Heartbeat, Phase};
use tokio::net::UdpSocket;

pub use message::Message;

use crate::costs::Distance;
use crate::crashes;
use crate::node::Node;
use crate::stop::StopPhase;

/// The pause between two words on servers, for each instance that hears them: what an instance sends stays the
/// same in a zone of any size.
const TOLD_PAUSE_PER_LISTENER: Duration = Duration::from_millis(30);
/// The least pause between two words on servers.
const LEAST_TOLD_PAUSE: Duration = Duration::from_millis(250);
/// Servers in one word: a dozen bytes each.
const MOST_TOLD_SERVERS: usize = 12;
/// The least pause between two reports of what clients asked for, and the pause for each instance of the zone: those
/// that speak for it get as many in a zone of any size.
const LEAST_ASKED_PAUSE: Duration = Duration::from_millis(1_000);
const ASKED_PAUSE_PER_LISTENER: Duration = Duration::from_millis(30);
/// How often an incident is told: a datagram may be lost, and a recipient may stand still for a moment.
const INCIDENT_TOLD_TIMES: u32 = 3;
/// The pause between two tellings.
const INCIDENT_TOLD_PAUSE: Duration = Duration::from_millis(400);
/// Entries of a digest in one datagram, so that it is not split on its way: 13 bytes each.
const MOST_ENTRIES: usize = 64;
/// A digest goes out with every so many heartbeats; the other speaker of the zone sends one in between.
const BEATS_PER_DIGEST: u64 = 2;
/// The pause between two looks for news of the own zone.
const NEWS_PAUSE: Duration = Duration::from_millis(250);
/// Heartbeats in one datagram of news, so that it is not split on its way: about a hundred bytes each.
const MOST_NEWS: usize = 12;
/// The pause between two heartbeats until clients are taken: the others learn of the instance, and it
/// of them, before the first client asks.
const STARTING_PERIOD: Duration = Duration::from_millis(150);
/// Largest datagram.
const MOST_BYTES: usize = 1_400;

/// Sends and receives heartbeats until the process ends.
///
/// # Errors
///
/// Fails if the address can't be used.
pub async fn run(node: Rc<Node>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(node.settings().peer_address).await?);
    tokio::task::spawn_local(receive(Rc::clone(&node), Rc::clone(&socket)));
    tokio::task::spawn_local(tell_servers(Rc::clone(&node), Rc::clone(&socket)));
    tokio::task::spawn_local(tell_incidents(Rc::clone(&node), Rc::clone(&socket)));
    tokio::task::spawn_local(tell_news(Rc::clone(&node), Rc::clone(&socket)));
    tokio::task::spawn_local(tell_asked(Rc::clone(&node), Rc::clone(&socket)));
    let period = Duration::from_millis(node.settings().peers().heartbeat_ms);
    let mut phases = node.stop.subscribe();
    let mut serial = 0;
    let mut last_phase = None;
    loop {
        serial += 1;
        let heartbeat = own(&node, serial);
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
        if serial.is_multiple_of(BEATS_PER_DIGEST) {
            send_digest(&node, &socket).await;
        }
        tokio::select! {
            () = tokio::time::sleep(if phase == Phase::Starting { STARTING_PERIOD } else { period }) => {}
            // The others must hear of a stop at once: until then they send clients here.
            _ = phases.wait_for(|stop| *stop != StopPhase::Serving && phase != Phase::Leaving) => {}
        }
    }
}

fn own(node: &Node, serial: u64) -> Heartbeat {
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
    for entries in entries.chunks(MOST_ENTRIES) {
        let message = Message::Digest {
            is_handed_on: false,
            digest: Digest {
                entries: entries.to_vec(),
            },
        };
        send(node, socket, &message, &recipients).await;
    }
}

/// Tells other zones of instances of the own one that have started or changed their phase, until the process ends.
async fn tell_news(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(NEWS_PAUSE).await;
        loop {
            let now = node.now();
            let (heartbeats, recipients) = {
                let members = &mut node.state.borrow_mut().members;
                (
                    members.take_membership_updates(now, MOST_NEWS),
                    members.digest_recipients(now),
                )
            };
            if heartbeats.is_empty() {
                break;
            }
            let message = Message::News {
                is_handed_on: false,
                heartbeats,
            };
            send(&node, &socket, &message, &recipients).await;
        }
    }
}

/// Tells the zone's other instances of busy and unwell servers, until the process ends.
async fn tell_servers(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut pause = LEAST_TOLD_PAUSE;
    loop {
        tokio::time::sleep(pause).await;
        let now = node.now();
        let (told, neighbours) = {
            let mut state = node.state.borrow_mut();
            let told = state.pool.tell_servers(now, MOST_TOLD_SERVERS);
            (told, state.members.neighbours(now))
        };
        let listeners = u32::try_from(neighbours.len()).unwrap_or(u32::MAX);
        pause = LEAST_TOLD_PAUSE.max(TOLD_PAUSE_PER_LISTENER.saturating_mul(listeners));
        if !told.is_empty() {
            send(&node, &socket, &Message::Servers(told), &neighbours).await;
        }
    }
}

/// Reports what clients asked for to those that speak for the zone, or judges as one of them, until the process ends.
async fn tell_asked(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut pause = LEAST_ASKED_PAUSE;
    loop {
        tokio::time::sleep(pause).await;
        let now = node.now();
        let (message, recipients) = {
            let mut state = node.state.borrow_mut();
            let report = state.placer.take_popularity_report();
            let neighbours = state.members.neighbours(now);
            let listeners = u32::try_from(neighbours.len()).unwrap_or(u32::MAX);
            pause = LEAST_ASKED_PAUSE.max(ASKED_PAUSE_PER_LISTENER.saturating_mul(listeners));
            if state.members.is_aggregator(now) {
                state.placer.apply_popularity_report(now, &report);
                let verdicts = state.placer.decide_popularity(now);
                let by = node.settings().instance.clone();
                state.placer.apply_popularity_decisions(now, &by, &verdicts);
                (Message::Verdicts { by, verdicts }, neighbours)
            } else {
                (Message::Asked(report), state.members.other_aggregators(now))
            }
        };
        send(&node, &socket, &message, &recipients).await;
    }
}

/// Tells the other instances of each incident, until the process ends.
async fn tell_incidents(node: Rc<Node>, socket: Rc<UdpSocket>) {
    while let Ok(incident) = node.crashes.notices().recv_async().await {
        let telling = tell(Rc::clone(&node), Rc::clone(&socket), incident);
        tokio::task::spawn_local(telling);
    }
}

async fn tell(node: Rc<Node>, socket: Rc<UdpSocket>, incident: Incident) {
    let seen_at = node.now();
    for time in 0..INCIDENT_TOLD_TIMES {
        if time > 0 {
            tokio::time::sleep(INCIDENT_TOLD_PAUSE).await;
        }
        let incident = Incident {
            age: node.now().since(seen_at),
            ..incident.clone()
        };
        let recipients = node.state.borrow().members.others();
        send(&node, &socket, &Message::Incident(incident), &recipients).await;
    }
}

async fn send(node: &Node, socket: &UdpSocket, message: &Message, recipients: &[net::SocketAddr]) {
    let bytes = match message.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            slog::error!(node.log.log, "a message to other instances can't be encoded"; "error" => %error);
            return;
        }
    };
    for recipient in recipients {
        let distance = Distance::to_instance(node, recipient.ip());
        let costs = &node.metrics.costs;
        costs.record_bytes(message.flow(), distance, bytes.len());
        // A recipient that can't be reached now is told by the next message.
        let _ = socket.send_to(&bytes, recipient).await;
    }
}

async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MOST_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // An earlier datagram found nobody; the socket goes on working.
            continue;
        };
        match Message::decode(&buffer[..length]) {
            Some(Message::Heartbeat(heartbeat)) => {
                answer(&node, &socket, &heartbeat).await;
                if take_heartbeat(&node, heartbeat.clone()) {
                    introduce(&node, &socket, &heartbeat).await;
                }
            }
            Some(Message::Digest {
                is_handed_on,
                digest,
            }) => {
                if !is_handed_on {
                    let message = Message::Digest {
                        is_handed_on: true,
                        digest: digest.clone(),
                    };
                    hand_on(&node, &socket, &message).await;
                }
                let now = node.now();
                node.state.borrow_mut().members.apply_digest(now, &digest);
            }
            Some(Message::News {
                is_handed_on,
                heartbeats,
            }) => {
                if !is_handed_on {
                    let message = Message::News {
                        is_handed_on: true,
                        heartbeats: heartbeats.clone(),
                    };
                    hand_on(&node, &socket, &message).await;
                }
                for heartbeat in heartbeats {
                    take_heartbeat(&node, heartbeat);
                }
            }
            Some(Message::Incident(incident)) => crashes::take_told(&node, &incident),
            Some(Message::Servers(told)) => {
                let now = node.now();
                node.state.borrow_mut().pool.note_told(now, &told);
            }
            Some(Message::Asked(report)) => {
                let now = node.now();
                let mut state = node.state.borrow_mut();
                if state.members.is_aggregator(now) {
                    state.placer.apply_popularity_report(now, &report);
                }
            }
            Some(Message::Verdicts { by, verdicts }) => {
                let now = node.now();
                let placer = &mut node.state.borrow_mut().placer;
                placer.apply_popularity_decisions(now, &by, &verdicts);
            }
            None => node.metrics.unread_datagrams.inc(),
        }
    }
}

/// Answers an instance that is looking for others.
async fn answer(node: &Node, socket: &UdpSocket, heartbeat: &Heartbeat) {
    let own = node
        .state
        .borrow()
        .members
        .reply_to_heartbeat(heartbeat)
        .cloned();
    if let Some(own) = own {
        let recipients = [heartbeat.peer_address];
        send(node, socket, &Message::Heartbeat(own), &recipients).await;
    }
}

/// Tells an instance of the own zone that has just started of those of other zones.
async fn introduce(node: &Node, socket: &UdpSocket, heartbeat: &Heartbeat) {
    let now = node.now();
    let introduction = node
        .state
        .borrow()
        .members
        .heartbeats_for_new_instance(now, heartbeat);
    for heartbeats in introduction.chunks(MOST_NEWS) {
        let message = Message::News {
            is_handed_on: true,
            heartbeats: heartbeats.to_vec(),
        };
        send(node, socket, &message, &[heartbeat.peer_address]).await;
    }
}

/// Takes in a heartbeat; returns whether the instance is new, or back under a new start.
fn take_heartbeat(node: &Node, heartbeat: Heartbeat) -> bool {
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

/// Tells the own zone what another one says, if this instance speaks for its zone.
async fn hand_on(node: &Node, socket: &UdpSocket, message: &Message) {
    let now = node.now();
    let listeners = node.state.borrow().members.digest_forward_recipients(now);
    if !listeners.is_empty() {
        send(node, socket, message, &listeners).await;
    }
}
