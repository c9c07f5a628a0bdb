//! Heartbeats between instances, digests of them between zones, and notices of crashes, as datagrams.
//!
//! A heartbeat is worth nothing once the next one comes, so a lost one needs no second sending, and a
//! peer that reads slowly can't hold a sender up. That is why datagrams carry them.

use core::time::Duration;
use std::io;
use std::net;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_dispatch::quarantine::Incident;
use damaskvane_routing::peers::{Digest, DigestEntry, Heartbeat, Phase, StartKey};
use damaskvane_routing::pool::{LoadReport, ServerKey, ToldLoad};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::crashes;
use crate::node::Node;
use crate::stop::StopPhase;

/// Tells this message from others on the port, and its form from later ones.
const MAGIC: u32 = 0x6476_6231;
/// The same for digests.
const DIGEST_MAGIC: u32 = 0x6476_6432;
/// The same for loads.
const LOAD_MAGIC: u32 = 0x6476_6c31;
/// The pause between two words on busy servers, for each instance that hears them: a queue changes within a few
/// hundred milliseconds, and 17 listeners get 4.3 KB/s from one instance at most.
const LOAD_PAUSE_PER_LISTENER: Duration = Duration::from_millis(30);
/// The least pause between two words on busy servers.
const LEAST_LOAD_PAUSE: Duration = Duration::from_millis(250);
/// Servers in one word on busy ones: 8 bytes each.
const MOST_LOADS: usize = 12;
/// The same for incidents.
const INCIDENT_MAGIC: u32 = 0x6476_6931;
/// How often an incident is told: a datagram may be lost, and a recipient may stand still for a moment.
const INCIDENT_TOLD_TIMES: u32 = 3;
/// The pause between two tellings.
const INCIDENT_TOLD_PAUSE: Duration = Duration::from_millis(400);
/// Entries of a digest in one datagram, so that it is not split on its way: 13 bytes each.
const MOST_ENTRIES: usize = 64;
/// A digest goes out with every so many heartbeats; the other speaker of the zone sends one in between.
const BEATS_PER_DIGEST: u64 = 2;
/// The pause between two heartbeats until clients are taken: the others learn of the instance, and it
/// of them, before the first client asks.
const STARTING_PERIOD: Duration = Duration::from_millis(150);
/// Largest datagram.
const MOST_BYTES: usize = 1_400;

#[derive(Debug, Serialize, Deserialize)]
struct Message {
    magic: u32,
    instance: ids::InstanceId,
    incarnation: ids::Incarnation,
    serial: u64,
    zone: ids::AvailabilityZoneId,
    client_address: net::SocketAddr,
    peer_address: net::SocketAddr,
    phase: u8,
}

impl Message {
    fn of(heartbeat: Heartbeat) -> Self {
        Self {
            magic: MAGIC,
            instance: heartbeat.instance,
            incarnation: heartbeat.incarnation,
            serial: heartbeat.serial,
            zone: heartbeat.zone,
            client_address: heartbeat.client_address,
            peer_address: heartbeat.peer_address,
            phase: phase_number(heartbeat.phase),
        }
    }

    fn into_heartbeat(self) -> Option<Heartbeat> {
        let phase = phase_of(self.phase)?;
        (self.magic == MAGIC).then_some(Heartbeat {
            instance: self.instance,
            incarnation: self.incarnation,
            serial: self.serial,
            zone: self.zone,
            client_address: self.client_address,
            peer_address: self.peer_address,
            phase,
        })
    }
}

const fn phase_number(phase: Phase) -> u8 {
    match phase {
        Phase::Starting => 0,
        Phase::Ready => 1,
        Phase::Leaving => 2,
    }
}

const fn phase_of(number: u8) -> Option<Phase> {
    match number {
        0 => Some(Phase::Starting),
        1 => Some(Phase::Ready),
        2 => Some(Phase::Leaving),
        _ => None,
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct DigestMessage {
    magic: u32,
    /// Whether an instance of the recipient's zone hands it on.
    is_handed_on: bool,
    entries: Vec<EntryMessage>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct EntryMessage {
    key: [u8; 8],
    serial: u64,
    phase: u8,
    age_ms: u64,
}

impl DigestMessage {
    fn of(entries: &[DigestEntry]) -> Self {
        let entries = entries.iter().map(|entry| EntryMessage {
            key: entry.key.get().to_le_bytes(),
            serial: entry.serial,
            phase: phase_number(entry.phase),
            age_ms: entry.age_ms,
        });
        Self {
            magic: DIGEST_MAGIC,
            is_handed_on: false,
            entries: entries.collect(),
        }
    }

    fn into_digest(self) -> Option<Digest> {
        let entries = self.entries.into_iter().filter_map(|entry| {
            Some(DigestEntry {
                key: StartKey::from_wire(u64::from_le_bytes(entry.key)),
                serial: entry.serial,
                phase: phase_of(entry.phase)?,
                age_ms: entry.age_ms,
            })
        });
        (self.magic == DIGEST_MAGIC).then(|| Digest {
            entries: entries.collect(),
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct IncidentMessage {
    magic: u32,
    incident: Incident,
}

#[derive(Debug, Serialize, Deserialize)]
struct LoadMessage {
    magic: u32,
    loads: Vec<LoadEntry>,
}

#[derive(Debug, Serialize, Deserialize)]
struct LoadEntry {
    server: u32,
    running: u32,
    waiting: u32,
    slots: u32,
    age_ms: u64,
}

impl LoadMessage {
    fn of(told: &[ToldLoad]) -> Self {
        let loads = told.iter().map(|told| LoadEntry {
            server: told.server.get(),
            running: told.load.running,
            waiting: told.load.waiting,
            slots: told.load.slots,
            age_ms: told.age_ms,
        });
        Self {
            magic: LOAD_MAGIC,
            loads: loads.collect(),
        }
    }

    fn into_told(self) -> Option<Vec<ToldLoad>> {
        let loads = self.loads.into_iter().map(|entry| ToldLoad {
            server: ServerKey::from_wire(entry.server),
            load: LoadReport {
                running: entry.running,
                waiting: entry.waiting,
                slots: entry.slots,
            },
            age_ms: entry.age_ms,
        });
        (self.magic == LOAD_MAGIC).then(|| loads.collect())
    }
}

/// Sends and receives heartbeats until the process ends.
///
/// # Errors
///
/// Fails if the address can't be used.
pub async fn run(node: Rc<Node>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(node.settings().peer_address).await?);
    tokio::task::spawn_local(receive(Rc::clone(&node), Rc::clone(&socket)));
    tokio::task::spawn_local(tell_loads(Rc::clone(&node), Rc::clone(&socket)));
    tokio::task::spawn_local(tell_incidents(Rc::clone(&node), Rc::clone(&socket)));
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
            state.members.note(now, heartbeat.clone());
            (now, state.members.recipients(now, serial))
        };
        if last_phase != Some(phase) {
            slog::info!(node.log.log, "own phase"; "phase" => ?phase, "at_ms" => now.get());
            last_phase = Some(phase);
        }
        send(&node, &socket, &Message::of(heartbeat), &recipients).await;
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
        send(node, socket, &DigestMessage::of(entries), &recipients).await;
    }
}

/// Tells the zone's other instances of busy servers, until the process ends.
async fn tell_loads(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut pause = LEAST_LOAD_PAUSE;
    loop {
        tokio::time::sleep(pause).await;
        let now = node.now();
        let (told, neighbours) = {
            let mut state = node.state.borrow_mut();
            let told = state.pool.tell_loads(now, MOST_LOADS);
            (told, state.members.neighbours(now))
        };
        let listeners = u32::try_from(neighbours.len()).unwrap_or(u32::MAX);
        pause = LEAST_LOAD_PAUSE.max(LOAD_PAUSE_PER_LISTENER.saturating_mul(listeners));
        if !told.is_empty() {
            send(&node, &socket, &LoadMessage::of(&told), &neighbours).await;
        }
    }
}

fn take_loads(node: &Node, bytes: &[u8]) {
    let message: Result<LoadMessage, _> = postcard::from_bytes(bytes);
    if let Some(told) = message.ok().and_then(LoadMessage::into_told) {
        let now = node.now();
        let mut state = node.state.borrow_mut();
        state.pool.note_told_loads(now, &told);
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
    let mut message = IncidentMessage {
        magic: INCIDENT_MAGIC,
        incident,
    };
    for time in 0..INCIDENT_TOLD_TIMES {
        if time > 0 {
            tokio::time::sleep(INCIDENT_TOLD_PAUSE).await;
        }
        message.incident.age = node.now().since(seen_at);
        let recipients = node.state.borrow().members.others();
        send(&node, &socket, &message, &recipients).await;
    }
}

fn take_incident(node: &Node, bytes: &[u8]) {
    let message: Result<IncidentMessage, _> = postcard::from_bytes(bytes);
    if let Ok(message) = message
        && message.magic == INCIDENT_MAGIC
    {
        crashes::take_told(node, &message.incident);
    }
}

async fn send(
    node: &Node,
    socket: &UdpSocket,
    message: &impl Serialize,
    recipients: &[net::SocketAddr],
) {
    let bytes = match postcard::to_allocvec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            slog::error!(node.log.log, "a message to other instances can't be encoded"; "error" => %error);
            return;
        }
    };
    for recipient in recipients {
        // A recipient that can't be reached now is told by the next heartbeat.
        let _ = socket.send_to(&bytes, recipient).await;
    }
}

async fn take_digest(node: &Node, socket: &UdpSocket, bytes: &[u8]) {
    let message: Result<DigestMessage, _> = postcard::from_bytes(bytes);
    let Some(message) = message.ok().filter(|one| one.magic == DIGEST_MAGIC) else {
        return;
    };
    let now = node.now();
    let listeners = node.state.borrow().members.digest_listeners(now);
    if !message.is_handed_on && !listeners.is_empty() {
        let handed_on = DigestMessage {
            is_handed_on: true,
            ..message.clone()
        };
        send(node, socket, &handed_on, &listeners).await;
    }
    if let Some(digest) = message.into_digest() {
        node.state.borrow_mut().members.note_digest(now, &digest);
    }
}

async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MOST_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            // An earlier datagram found nobody; the socket goes on working.
            continue;
        };
        take_digest(&node, &socket, &buffer[..length]).await;
        take_incident(&node, &buffer[..length]);
        take_loads(&node, &buffer[..length]);
        let message: Result<Message, _> = postcard::from_bytes(&buffer[..length]);
        let heartbeat = message.ok().and_then(Message::into_heartbeat);
        if let Some(heartbeat) = heartbeat {
            let instance = heartbeat.instance.clone();
            let phase = heartbeat.phase;
            let now = node.now();
            let is_new = node.state.borrow_mut().members.note(now, heartbeat);
            if is_new {
                slog::info!(node.log.log, "instance started";
                    "peer" => %instance, "phase" => ?phase);
            }
        }
    }
}
