//! Limits that backend servers name for their requests, in sum over all instances.
//!
//! A limit is recorded from the first response that names it on. From then on each request to the server needs a token
//! (`permit`), whatever it is sent for.

mod asking;
mod holders;
mod message;
mod permit;
mod reports;
mod service;
mod tokens;

pub use message::{LeaseRequest, LimitClaim, TokenMessage, TokenOutcome, TokenReply, TokenRequest};
pub(crate) use permit::{NoToken, SendPermit};
pub(crate) use reports::apply_peer_report;
pub(crate) use service::handle_message;
pub(crate) use tokens::ServerTokens;

use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::limit::RequestRate;
use damaskvane_routing::pool::{LimitChange, LimitSource, LimitStatement};

use crate::http::ResponseHead;
use crate::node::Node;

/// Returns the limit of a server, or `None` if it is not known to have one.
pub(crate) fn known(node: &Node, server: &ids::BackendServerId) -> Option<RequestRate> {
    let state = node.state.borrow();
    state.pool.server(server)?.limit.rate()
}

/// Returns the time since this instance learned of a server's limit, or `None` if it is not known to have one.
pub(crate) fn known_for(node: &Node, server: &ids::BackendServerId) -> Option<SpanMs> {
    let now = node.now();
    let state = node.state.borrow();
    let limit = &state.pool.server(server)?.limit;
    limit.rate().map(|_| now.since(limit.learned_at()))
}

/// Records what a response to a request that was sent at `sent_at` says of its server's limit.
pub(crate) fn record_response(
    node: &Rc<Node>,
    server: &ids::BackendServerId,
    sent_at: TimeMs,
    head: &ResponseHead,
) {
    let names = node.adapter.headers();
    // Another server has responded at the address.
    if head.status == 421 {
        return;
    }
    let is_success = head.status < 500
        && head.headers.contains_key(&names.signature)
        && !head.headers.contains_key(&names.not_run);
    let statement = match read_statement(node, head) {
        // A failure or a rejection need not come from the part of the server that knows the limit.
        LimitStatement::Unlimited if !is_success => LimitStatement::Nothing,
        statement => statement,
    };
    record(node, server, sent_at, statement, LimitSource::Response);
}

/// Records what the response to a health probe says of its server's limit.
///
/// Only a client's request ends a limit: not every server names it in responses to probes.
pub(crate) fn record_probe(
    node: &Rc<Node>,
    server: &ids::BackendServerId,
    sent_at: TimeMs,
    head: &ResponseHead,
) {
    let statement = match read_statement(node, head) {
        LimitStatement::Unlimited => LimitStatement::Nothing,
        statement => statement,
    };
    record(node, server, sent_at, statement, LimitSource::Probe);
}

fn read_statement(node: &Node, head: &ResponseHead) -> LimitStatement {
    let name = &node.adapter.headers().rate_limit;
    let mut values = head.headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return LimitStatement::Unlimited;
    };
    let rate = value.to_str().ok().and_then(|text| text.parse().ok());
    match rate {
        Some(rate) if values.next().is_none() => LimitStatement::Limited(rate),
        _ => LimitStatement::Unreadable,
    }
}

fn record(
    node: &Rc<Node>,
    server: &ids::BackendServerId,
    sent_at: TimeMs,
    statement: LimitStatement,
    source: LimitSource,
) {
    if statement == LimitStatement::Unreadable {
        count(node, source, "unreadable");
        return;
    }
    let now = node.now();
    let mut state = node.state.borrow_mut();
    let Some(known) = state.pool.server(server) else {
        return;
    };
    // Most responses change nothing, and mutable access updates the indexes of servers.
    let mut limit = known.limit;
    let change = limit.apply_response(now, sent_at, statement);
    if known.limit == limit {
        return;
    }
    if let Some(mut known) = state.pool.server_mut(server) {
        known.limit = limit;
    }
    drop(state);
    if let Some(change) = change {
        log_change(node, server, sent_at, change, source);
        tokio::task::spawn_local(reports::announce(Rc::clone(node), server.clone()));
    }
}

fn count(node: &Node, source: LimitSource, change: &str) {
    let changes = &node.metrics.limit_changes;
    changes.with_label_values(&[source.as_str(), change]).inc();
}

fn log_change(
    node: &Node,
    server: &ids::BackendServerId,
    as_of: TimeMs,
    change: LimitChange,
    source: LimitSource,
) {
    let kind = change.as_str();
    count(node, source, kind);
    let now = node.now();
    node.log.log_server_limit(now, |log, left_out| {
        slog::info!(log, "server limit";
            "backend_server" => %server, "change" => kind, "source" => source.as_str(),
            "before_per_s" => change.before.map(RequestRate::per_s),
            "limit_per_s" => change.after.map(RequestRate::per_s),
            "as_of_ms_ago" => now.since(as_of).get(), "lines_left_out" => left_out);
    });
}
