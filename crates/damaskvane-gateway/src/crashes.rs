//! Requests that crash what runs them: noticed here, told to all instances, recorded in the store, refused.
//!
//! A request whose connection breaks is a suspect once its server is found dead. Two such deaths make it
//! refused everywhere, for a while. All instances hear of each death by datagram, and the store keeps the
//! record of a refused request, so that instances which were cut off or restarted learn of it too.

mod record;

use core::time::Duration;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::home::Home;
use damaskvane_dispatch::quarantine::{
    BrokenExchanges, Incident, IncidentId, Quarantine, QuarantineSettings,
};
use tokio::sync::Notify;

use crate::node::Node;

pub use record::keep as keep_records;

/// How long a request that broke twice waits for proof: a probe's time-out would be 0.8 s, and by then most
/// callers have left; a connection within a region is refused in 30 ms.
const PROOF_PATIENCE: Duration = Duration::from_millis(300);
/// Suspects in one notice, so that it fits a datagram: 66 bytes each.
pub const MOST_SUSPECTS: usize = 16;

/// A request that this instance has come to refuse, to be recorded in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Finding {
    fingerprint: Fingerprint,
    /// Whether the last incident was seen here; otherwise whoever saw it records it first.
    is_own: bool,
}

/// What this instance knows of requests that crash what runs them.
#[derive(Debug)]
pub struct Crashes {
    list: RefCell<Quarantine>,
    broken: RefCell<BrokenExchanges>,
    /// Requests of which the store has a record.
    recorded: RefCell<BTreeSet<Fingerprint>>,
    serial: Cell<u64>,
    /// Tells that a server was found dead or alive.
    proof: Notify,
    notices: (flume::Sender<Incident>, flume::Receiver<Incident>),
    findings: (flume::Sender<Finding>, flume::Receiver<Finding>),
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            list: RefCell::new(Quarantine::new(QuarantineSettings::default())),
            broken: RefCell::default(),
            recorded: RefCell::default(),
            serial: Cell::new(0),
            proof: Notify::new(),
            notices: flume::unbounded(),
            findings: flume::unbounded(),
        }
    }
}

impl Crashes {
    /// Whether no request needs to be judged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.borrow().is_empty() && self.broken.borrow().is_empty()
    }

    /// Notices for the other instances, in order.
    #[must_use]
    pub const fn notices(&self) -> &flume::Receiver<Incident> {
        &self.notices.1
    }
}

/// How much longer a request is refused, once it is known whether the servers where it broke have died.
///
/// A caller that sends a request again at once would take one server after the other before the first death is
/// proven. A request that broke twice waits for the proof, which takes a probe's way there and back.
pub async fn resolve_refusal(node: &Node, fingerprint: Fingerprint) -> Option<SpanMs> {
    let proven = async {
        while is_in_doubt(node, fingerprint) {
            node.crashes.proof.notified().await;
        }
    };
    // Without a proof in time the request runs: most broken connections are harmless.
    let _ = tokio::time::timeout(PROOF_PATIENCE, proven).await;
    refusal(node, fingerprint)
}

fn is_in_doubt(node: &Node, fingerprint: Fingerprint) -> bool {
    let broken = node.crashes.broken.borrow();
    let unproven = broken.in_doubt(node.now(), fingerprint);
    let list = node.crashes.list.borrow();
    list.may_be_refused(fingerprint, unproven)
}

/// How much longer a request is refused; none if it may run.
#[must_use]
pub fn refusal(node: &Node, fingerprint: Fingerprint) -> Option<SpanMs> {
    let list = node.crashes.list.borrow();
    list.refusal(node.now(), fingerprint)
}

/// Notes that the connection of an exchange broke after its request was written.
pub fn record_broken_exchange(node: &Node, server: &ids::BackendServerId, fingerprint: Fingerprint) {
    let mut broken = node.crashes.broken.borrow_mut();
    broken.note(node.now(), server, fingerprint);
    node.probe_wanted.notify_one();
}

/// Notes that a server where exchanges broke is alive.
pub fn record_server_alive(node: &Node, server: &ids::BackendServerId) {
    node.crashes.broken.borrow_mut().note_alive(server);
    node.crashes.proof.notify_waiters();
}

/// Notes that a request was run to its end, which clears it.
pub fn record_completed(node: &Node, fingerprint: Fingerprint) {
    let mut list = node.crashes.list.borrow_mut();
    list.note_completed(node.now(), fingerprint);
}

/// Notes that a server was found dead; whatever broke there a moment ago is suspect.
pub fn record_server_death(node: &Node, server: &ids::BackendServerId, proof: &str) {
    let now = node.now();
    let suspects = node.crashes.broken.borrow_mut().take_dead(now, server);
    for suspects in suspects.chunks(MOST_SUSPECTS) {
        let serial = node.crashes.serial.get() + 1;
        node.crashes.serial.set(serial);
        let reporter = Home::new(node.settings().instance.clone(), node.incarnation);
        let incident = Incident {
            id: IncidentId { reporter, serial },
            server: server.clone(),
            suspects: suspects.to_vec(),
            age: SpanMs::ZERO,
        };
        node.metrics.crash_incidents.inc();
        slog::warn!(node.log.log, "backend server died with requests on it";
            "backend_server" => %server, "proof" => proof, "suspects" => names(suspects));
        take_in(node, &incident, true);
        // The receiver lives as long as the node.
        let _ = node.crashes.notices.0.send(incident);
    }
    node.crashes.proof.notify_waiters();
}

/// Forgets what is over: as long as anything is kept, each request is judged.
fn expire(node: &Node) {
    let now = node.now();
    node.crashes.list.borrow_mut().expire(now);
    node.crashes.broken.borrow_mut().expire(now);
}

/// Takes in an incident that another instance tells of.
pub fn take_told(node: &Node, incident: &Incident) {
    take_in(node, incident, false);
}

fn take_in(node: &Node, incident: &Incident, is_own: bool) {
    let mut list = node.crashes.list.borrow_mut();
    let refused = list.note_incident(node.now(), incident);
    drop(list);
    for fingerprint in refused {
        slog::warn!(node.log.log, "request is quarantined";
            "fingerprint" => %fingerprint, "last_server" => %incident.server,
            "told_by" => %incident.id.reporter);
        let finding = Finding {
            fingerprint,
            is_own,
        };
        let _ = node.crashes.findings.0.send(finding);
    }
}

/// Takes in that the store has a record of a request.
pub fn apply_stored_quarantine(node: &Node, fingerprint: Fingerprint) {
    node.crashes.recorded.borrow_mut().insert(fingerprint);
    let mut list = node.crashes.list.borrow_mut();
    if list.note_recorded(node.now(), fingerprint) {
        slog::warn!(node.log.log, "request is quarantined";
            "fingerprint" => %fingerprint, "told_by" => "store");
    }
}

/// Takes in that a record was removed: its time is over, or an operator lets the request go.
pub fn apply_removed_quarantine(node: &Node, fingerprint: Fingerprint) {
    if node.crashes.recorded.borrow_mut().remove(&fingerprint) {
        let mut list = node.crashes.list.borrow_mut();
        list.clear(node.now(), fingerprint);
        slog::info!(node.log.log, "quarantine is lifted"; "fingerprint" => %fingerprint);
    }
}

/// Takes in all records of the store.
pub fn replace_stored_quarantines(node: &Node, recorded: &BTreeSet<Fingerprint>) {
    let before = node.crashes.recorded.borrow().clone();
    for fingerprint in before.difference(recorded) {
        apply_removed_quarantine(node, *fingerprint);
    }
    for fingerprint in recorded {
        apply_stored_quarantine(node, *fingerprint);
    }
}

fn names(fingerprints: &[Fingerprint]) -> String {
    let names: Vec<String> = fingerprints.iter().map(ToString::to_string).collect();
    names.join(" ")
}
