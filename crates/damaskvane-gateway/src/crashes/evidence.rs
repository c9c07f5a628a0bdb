//! Evidence of which requests crash servers: exchanges that broke or got no answer, and what is learned of their servers.

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_dispatch::quarantine::{RequestIdentity, Scope};
use damaskvane_routing::placement::Pick;

use crate::crashes;
use crate::decision_log::RequestOutcome;
use crate::node::Node;
use crate::upstream::OutgoingRequest;

/// Number of hexadecimal digits of a hash in a log line.
const SHORT_HASH_DIGITS: usize = 12;
/// Largest number of characters of a path in a log line.
const MAX_LOGGED_PATH_CHARS: usize = 128;

/// Records that a connection broke after the request was written, and requests a probe of the server.
pub fn record_broken_exchange(node: &Node, pick: &Pick, request: &OutgoingRequest) {
    let now = node.now();
    let identity = request.identity();
    let mut broken = node.crashes.broken.borrow_mut();
    broken.record(now, &pick.server, identity);
    record_address(node, pick);
    node.probe_requested.notify_one();
    log_broken_exchange(node, now, &pick.server, request, &identity);
}

/// Records that an exchange that began at `started` ended without an answer, if the server has answered no other request
/// since then.
///
/// A server that answers other requests is only slow. One that doesn't may have fallen silent because of the request.
pub fn record_unanswered_exchange(
    node: &Node,
    pick: &Pick,
    request: &OutgoingRequest,
    started: TimeMs,
) {
    let has_answered = {
        let state = node.state.borrow();
        let server = state.pool.server(&pick.server);
        server.is_some_and(|server| server.answered_at() >= started)
    };
    if !has_answered {
        let mut broken = node.crashes.broken.borrow_mut();
        broken.record_unanswered(node.now(), &pick.server, request.identity());
        record_address(node, pick);
    }
}

fn record_address(node: &Node, pick: &Pick) {
    let mut addresses = node.crashes.addresses.borrow_mut();
    addresses.insert(pick.server.clone(), pick.address);
}

/// Records that a server did not answer a probe.
pub fn record_server_silent(node: &Node, server: &ids::BackendServerId) {
    node.crashes.broken.borrow_mut().record_silence(server);
}

/// Records that a server has joined: servers that were at its address before have ended.
pub fn record_server_joined(node: &Node, joined: &ids::BackendServerId) {
    let address = {
        let state = node.state.borrow();
        state.pool.server(joined).map(|server| server.entry.address)
    };
    let ended: Vec<_> = {
        let addresses = node.crashes.addresses.borrow();
        let at_address = addresses
            .iter()
            .filter(|(_, known)| Some(**known) == address);
        at_address.map(|(server, _)| server.clone()).collect()
    };
    for server in ended.iter().filter(|server| *server != joined) {
        crashes::record_server_death(node, server, "address");
    }
}

/// Returns whether requests become suspects if the server is proven to have crashed.
pub fn awaits_proof(node: &Node, server: &ids::BackendServerId) -> bool {
    let broken = node.crashes.broken.borrow();
    broken.first_broken_at(node.now(), server).is_some()
}

/// Forgets the exchanges that broke or got no answer and wait for a proof that their servers crashed: this instance was
/// partitioned from the servers, and a server that ends meanwhile has not crashed by them.
pub fn forget_unproven(node: &Node) {
    node.crashes.broken.borrow_mut().clear();
    node.crashes.changed.notify_waiters();
}

/// Requests a probe of a server that accepts no connection, if requests become suspects by the proof that it has crashed.
pub fn request_proof(node: &Node, server: &ids::BackendServerId) {
    if awaits_proof(node, server) {
        let now = node.now();
        node.state.borrow_mut().pool.probe_now(now, server);
        node.probe_requested.notify_one();
    }
}

/// Records that a server is alive, so that earlier broken exchanges with the server were no crash.
pub fn record_server_alive(node: &Node, server: &ids::BackendServerId) {
    node.crashes.broken.borrow_mut().record_alive(server);
    node.crashes.changed.notify_waiters();
}

/// Logs the parts of a request that its fingerprint covers, so that requests with different fingerprints can be
/// compared.
///
/// Query and body may hold a secret, so the line has only their hashes.
fn log_broken_exchange(
    node: &Node,
    now: TimeMs,
    server: &ids::BackendServerId,
    request: &OutgoingRequest,
    identity: &RequestIdentity,
) {
    let outcome = RequestOutcome::BrokenExchange;
    node.log.log_request(now, outcome, |log, left_out| {
        let body = request.body.as_deref().unwrap_or_default();
        slog::info!(log, "exchange broke";
            "request_id" => request.request_id.as_deref(), "backend_server" => %server,
            "fingerprint" => %identity.fingerprint(Scope::AnyCaller),
            "caller_fingerprint" => %identity.fingerprint(Scope::Caller), "client_address" => %request.client_address,
            "host" => request.host(), "method" => %request.method, "path" => request.path().chars().take(MAX_LOGGED_PATH_CHARS).collect::<String>(),
            "query_hash" => request.query().map(|query| short_hash(query.as_bytes())),
            "body_hash" => short_hash(body), "body_bytes" => body.len(),
            "lines_left_out" => left_out);
    });
}

fn short_hash(bytes: &[u8]) -> String {
    let mut text = ContentHash::of(bytes).to_string();
    text.truncate(SHORT_HASH_DIGITS);
    text
}
