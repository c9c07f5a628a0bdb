//! Quarantine of requests that crash backend servers: instances refuse such requests for a limited time.
//!
//! A request whose connection broke, or that got no answer, becomes a suspect when its server is found to have crashed.
//! After two such crashes all instances refuse the request to its caller, and after two waves of crashes to everyone.
//! An incident is one crash with its suspects; instances notify each other of incidents by datagram. An exchange is one
//! request to a server with its response. A request has two fingerprints (hashes): of its team, host, method, path and
//! body, and of these with the client's address. The store keeps a record of each refused request, so that instances
//! that were partitioned or restarted refuse it too. After two crashes under a request, and until it is known whether it
//! causes them, one instance runs one copy of it at a time ([`RequestCopy`]).

mod copy;
mod evidence;
mod notice;
mod record;
mod refusal;
mod write_queue;

use core::time::Duration;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::home::Home;
use damaskvane_dispatch::quarantine::{
    BrokenExchanges, Incident, IncidentId, Quarantine, QuarantineSettings, RequestIdentity, Scope,
};
use tokio::sync::Notify;

use crate::node::Node;

pub use copy::RequestCopy;
pub use evidence::{
    awaits_proof, forget_unproven, record_broken_exchange, record_server_alive,
    record_server_joined, record_server_silent, record_unanswered_exchange, request_proof,
};
pub use notice::CrashNotice;
pub use record::maintain as maintain_records;
pub use refusal::{Refusal, RefusalReason};
pub use write_queue::WriteQueue;

/// Maximum time for which a request that would be refused after one more crash waits for the results of health probes.
///
/// A connection within a region is refused in 30 ms. The timeout of a probe, 0.8 s, would be too long for this wait:
/// most clients have disconnected by then.
const PROBE_RESULT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a suspect is refused whose probes gave no result in time: the next probe has one by then.
const UNRESOLVED_REFUSAL: SpanMs = SpanMs::new(500);
/// Largest number of suspects in one incident, so that the message fits a datagram: 66 bytes each.
pub const MAX_SUSPECTS_PER_INCIDENT: usize = 16;
/// Time for which a report that a suspect completed suppresses this instance's own report.
const COMPLETION_RETENTION: SpanMs = SpanMs::new(1_000);

/// A refused request whose quarantine record is to be written to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingRecord {
    fingerprint: Fingerprint,
    /// Whether this instance detected the last incident of the request. If not, the instance that detected the incident
    /// is given time to write the record first.
    is_own: bool,
}

/// Refused requests, exchanges whose connection broke, and incidents that this instance has not sent to others yet.
#[derive(Debug)]
pub struct CrashTracker {
    list: RefCell<Quarantine>,
    broken: RefCell<BrokenExchanges<RequestIdentity>>,
    /// Addresses of the servers in `broken`; a server's entry may be removed before the proof of its crash comes.
    addresses: RefCell<BTreeMap<ids::BackendServerId, net::SocketAddr>>,
    /// Requests that have a quarantine record in the store.
    stored: RefCell<BTreeSet<Fingerprint>>,
    last_serial: Cell<u64>,
    /// Notifies requests that something was learned of servers, suspects or trials.
    changed: Notify,
    /// Suspects that other instances reported as completed, with the time of the report.
    completed_at_peers: RefCell<BTreeMap<Fingerprint, TimeMs>>,
    /// Notifies the task that maintains the records that a request which has a record may run again.
    record_outdated: Notify,
    notices: (flume::Sender<CrashNotice>, flume::Receiver<CrashNotice>),
    pending_records: (flume::Sender<PendingRecord>, flume::Receiver<PendingRecord>),
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            list: RefCell::new(Quarantine::new(QuarantineSettings::default())),
            broken: RefCell::default(),
            addresses: RefCell::default(),
            stored: RefCell::default(),
            last_serial: Cell::new(0),
            changed: Notify::new(),
            completed_at_peers: RefCell::default(),
            record_outdated: Notify::new(),
            notices: flume::unbounded(),
            pending_records: flume::unbounded(),
        }
    }
}

impl CrashTracker {
    /// Returns whether no request is refused or suspect and no exchange has broken.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.borrow().is_empty() && self.broken.borrow().is_empty()
    }

    /// Returns the queue of notices that this instance has to send to the other instances.
    #[must_use]
    pub const fn notices(&self) -> &flume::Receiver<CrashNotice> {
        &self.notices.1
    }
}

/// Waits for the probes of the servers to which a request's connection broke; returns why the request is refused.
///
/// Returns `None` if the request may run. A request that would be refused if one more crash is confirmed waits for the
/// result of a probe. Otherwise a client that retries at once would crash one server after the other before the first
/// crash is confirmed.
async fn resolve_refusal(node: &Node, identity: &RequestIdentity) -> Option<Refusal> {
    let probed = async {
        while awaits_probe(node, identity) {
            node.crashes.changed.notified().await;
        }
    };
    let is_unresolved = tokio::time::timeout(PROBE_RESULT_TIMEOUT, probed)
        .await
        .is_err();
    let unresolved = is_unresolved.then(|| unresolved_refusal(node, identity));
    current_refusal(node, identity).or(unresolved.flatten())
}

/// Returns the refusal of a request with a confirmed crash whose probes gave no result in time.
///
/// Most broken connections have harmless causes, so a request without a confirmed crash runs.
fn unresolved_refusal(node: &Node, identity: &RequestIdentity) -> Option<Refusal> {
    let list = node.crashes.list.borrow();
    let mut fingerprints = Scope::ALL
        .into_iter()
        .map(|scope| identity.fingerprint(scope));
    let fingerprint = fingerprints.find(|one| list.is_suspect(*one))?;
    Some(Refusal {
        fingerprint,
        remaining: UNRESOLVED_REFUSAL,
        reason: RefusalReason::Quarantined,
    })
}

/// Returns the longest refusal of a request at this moment, with or without its caller.
fn current_refusal(node: &Node, identity: &RequestIdentity) -> Option<Refusal> {
    let refusals = Scope::ALL.into_iter().filter_map(|scope| {
        let fingerprint = identity.fingerprint(scope);
        let remaining = refusal(node, fingerprint)?;
        Some(Refusal {
            fingerprint,
            remaining,
            reason: RefusalReason::Quarantined,
        })
    });
    refusals.max_by_key(|refusal| refusal.remaining)
}

fn awaits_probe(node: &Node, identity: &RequestIdentity) -> bool {
    let now = node.now();
    let broken = node.crashes.broken.borrow();
    let list = node.crashes.list.borrow();
    Scope::ALL.into_iter().any(|scope| {
        let fingerprint = identity.fingerprint(scope);
        let has_fingerprint = |one: &RequestIdentity| one.has(fingerprint);
        let unprobed = broken.unconfirmed_count(now, has_fingerprint);
        list.may_be_refused(now, scope, fingerprint, unprobed)
    })
}

/// Returns the time for which a request is refused from now; `None` if the request may run.
#[must_use]
pub fn refusal(node: &Node, fingerprint: Fingerprint) -> Option<SpanMs> {
    let list = node.crashes.list.borrow();
    list.refused_for(node.now(), fingerprint)
}

/// Records that a server completed a request, so that the request is no longer suspect, at any instance.
pub fn record_completed(node: &Node, identity: &RequestIdentity) {
    let now = node.now();
    node.crashes.broken.borrow_mut().record_completed(*identity);
    let mut list = node.crashes.list.borrow_mut();
    let any_caller = identity.fingerprint(Scope::AnyCaller);
    let is_urgent = list.is_on_trial(now, any_caller);
    if list.record_request_completed(now, identity) {
        node.crashes.record_outdated.notify_one();
        node.crashes.changed.notify_waiters();
        let notice = CrashNotice::Completed {
            request: *identity,
            at: now,
            is_urgent,
        };
        let _ = node.crashes.notices.0.send(notice);
    }
}

/// Applies another instance's report that a suspect request completed `age` ago.
pub fn apply_peer_completion(node: &Node, request: &RequestIdentity, age: SpanMs) {
    let now = node.now();
    let completed_at = TimeMs::new(now.get().saturating_sub(age.get()));
    let mut list = node.crashes.list.borrow_mut();
    if list.record_request_completed(completed_at, request) {
        node.crashes.record_outdated.notify_one();
        node.crashes.changed.notify_waiters();
    }
    let mut completed = node.crashes.completed_at_peers.borrow_mut();
    completed.insert(request.fingerprint(Scope::AnyCaller), now);
}

/// Returns whether another instance reported since `at` that the request completed.
pub fn is_completion_known(node: &Node, request: &RequestIdentity, at: TimeMs) -> bool {
    let completed = node.crashes.completed_at_peers.borrow();
    completed
        .get(&request.fingerprint(Scope::AnyCaller))
        .is_some_and(|reported| *reported >= at)
}

/// Records that a server has crashed; each request whose connection to the server broke a moment ago becomes a suspect.
///
/// `proof` is the value in the log that names how the crash was detected.
pub fn record_server_death(node: &Node, server: &ids::BackendServerId, proof: &str) {
    let now = node.now();
    let mut broken = node.crashes.broken.borrow_mut();
    let crashed_at = broken.first_broken_at(now, server).unwrap_or(now);
    let suspects = broken.take_suspects(now, server);
    drop(broken);
    if !suspects.is_empty() {
        node.metrics.crash_incidents.inc();
    }
    report_suspects(node, server, proof, crashed_at, &suspects);
    node.crashes.changed.notify_waiters();
}

/// Makes the requests suspects at this instance, and queues notices of them for the other instances.
fn report_suspects(
    node: &Node,
    server: &ids::BackendServerId,
    proof: &str,
    crashed_at: TimeMs,
    suspects: &[RequestIdentity],
) {
    let fingerprints = suspects.iter().map(|one| one.fingerprint(Scope::Caller));
    let fingerprints: BTreeSet<Fingerprint> = fingerprints.collect();
    let fingerprints: Vec<Fingerprint> = fingerprints.into_iter().collect();
    for suspects in fingerprints.chunks(MAX_SUSPECTS_PER_INCIDENT) {
        let serial = node.crashes.last_serial.get() + 1;
        node.crashes.last_serial.set(serial);
        let reporter = Home::new(node.settings().instance.clone(), node.incarnation);
        let incident = Incident {
            id: IncidentId { reporter, serial },
            server: server.clone(),
            suspects: suspects.to_vec(),
            age: node.now().since(crashed_at),
        };
        slog::warn!(node.log.log, "backend server died while running requests";
            "backend_server" => %server, "proof" => proof, "suspects" => join_fingerprints(suspects));
        apply_incident(node, &incident, true);
        // The receiver lives as long as the node.
        let _ = node.crashes.notices.0.send(CrashNotice::Incident(incident));
    }
}

/// Removes expired refusals and broken exchanges. While any of them is stored, each request has to be checked against
/// them.
fn expire(node: &Node) {
    let now = node.now();
    node.crashes.list.borrow_mut().expire(now);
    let mut broken = node.crashes.broken.borrow_mut();
    broken.expire(now);
    let pending: BTreeSet<_> = broken.servers().cloned().collect();
    let mut addresses = node.crashes.addresses.borrow_mut();
    addresses.retain(|server, _| pending.contains(server));
    let mut completed = node.crashes.completed_at_peers.borrow_mut();
    completed.retain(|_, reported| now.since(*reported) < COMPLETION_RETENTION);
}

/// Applies an incident that another instance has detected and sent.
pub fn apply_peer_incident(node: &Node, incident: &Incident) {
    apply_incident(node, incident, false);
}

fn apply_incident(node: &Node, incident: &Incident, is_own: bool) {
    apply_scoped_incident(node, Scope::Caller, incident, is_own);
    apply_scoped_incident(node, Scope::AnyCaller, &incident.without_callers(), is_own);
    node.crashes.changed.notify_waiters();
}

fn apply_scoped_incident(node: &Node, scope: Scope, incident: &Incident, is_own: bool) {
    let now = node.now();
    let mut list = node.crashes.list.borrow_mut();
    let were_tried = tried_requests(&list, now, incident);
    let refused = list.record_scoped_incident(now, scope, incident);
    for fingerprint in tried_requests(&list, now, incident).difference(&were_tried) {
        let runner = list.trial_runner(now, *fingerprint);
        slog::warn!(node.log.log, "request runs as a trial";
            "fingerprint" => %fingerprint, "last_server" => %incident.server, "runner" => runner.map(ToString::to_string));
    }
    drop(list);
    for fingerprint in refused {
        slog::warn!(node.log.log, "request is quarantined";
            "fingerprint" => %fingerprint, "scope" => ?scope, "last_server" => %incident.server,
            "told_by" => %incident.id.reporter);
        let pending = PendingRecord {
            fingerprint,
            is_own,
        };
        let _ = node.crashes.pending_records.0.send(pending);
    }
}

/// Returns which requests of an incident run as trials.
fn tried_requests(list: &Quarantine, now: TimeMs, incident: &Incident) -> BTreeSet<Fingerprint> {
    let suspects = incident.suspects.iter().copied();
    suspects
        .filter(|suspect| list.is_on_trial(now, *suspect))
        .collect()
}

/// Applies a quarantine record that was read from the store.
pub fn apply_stored_quarantine(node: &Node, fingerprint: Fingerprint) {
    node.crashes.stored.borrow_mut().insert(fingerprint);
    let mut list = node.crashes.list.borrow_mut();
    if list.apply_quarantine_record(node.now(), fingerprint) {
        slog::warn!(node.log.log, "request is quarantined";
            "fingerprint" => %fingerprint, "told_by" => "store");
        node.crashes.changed.notify_waiters();
    }
    if list.refused_for(node.now(), fingerprint).is_none() {
        node.crashes.record_outdated.notify_one();
    }
}

/// Applies the removal of a quarantine record from the store, because the record expired or an operator removed it.
pub fn release_quarantine(node: &Node, fingerprint: Fingerprint) {
    if !node.crashes.stored.borrow_mut().remove(&fingerprint) {
        return;
    }
    let mut list = node.crashes.list.borrow_mut();
    if list.release_record(node.now(), fingerprint) {
        slog::info!(node.log.log, "request is released from quarantine"; "fingerprint" => %fingerprint);
    }
}

/// Replaces the known quarantine records by the store's complete set.
pub fn replace_stored_quarantines(node: &Node, stored: &BTreeSet<Fingerprint>) {
    let before = node.crashes.stored.borrow().clone();
    for fingerprint in before.difference(stored) {
        release_quarantine(node, *fingerprint);
    }
    for fingerprint in stored {
        apply_stored_quarantine(node, *fingerprint);
    }
}

fn join_fingerprints(fingerprints: &[Fingerprint]) -> String {
    let names: Vec<String> = fingerprints.iter().map(ToString::to_string).collect();
    names.join(" ")
}
