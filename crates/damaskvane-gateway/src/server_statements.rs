//! What backend servers say of themselves in their responses: each response is decoded once, and what it says is kept with
//! its server, logged and counted.

mod decode;
mod peers;

use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::limit::RequestRate;
use damaskvane_routing::pool::{
    Availability, LimitChange, LimitStatement, RestChange, RestStatement, ServerKey, ServerReport,
    StatementSource,
};

pub use decode::decode;
pub(crate) use peers::{apply as apply_peer_statement, messages_for_newcomer};

use crate::node::Node;
use crate::server_limits;
use crate::tunnel::Path;

/// Label of a statement whose value is no number.
const UNREADABLE: &str = "unreadable";

/// Returns what a server has said, or `None` if nothing is known of it.
pub(crate) fn known(node: &Node, server: &ids::BackendServerId) -> Option<Availability> {
    node.state.borrow().pool.availability(server)
}

/// Records what the response to a request says of its server; the request was sent on `path` at `sent_at`.
pub(crate) fn record(
    node: &Rc<Node>,
    server: &ids::BackendServerId,
    path: &Path,
    sent_at: TimeMs,
    report: &ServerReport,
    source: StatementSource,
) {
    if report.is_other_server {
        return;
    }
    if report.limit == LimitStatement::Unreadable {
        count_limit(node, source, UNREADABLE);
    }
    if report.rest == RestStatement::Unreadable {
        count_rest(node, source, UNREADABLE);
    }
    let now = node.now();
    let changes = {
        let pool = &mut node.state.borrow_mut().pool;
        pool.apply_response(now, sent_at, server, report, source)
    };
    if let Some(change) = changes.limit {
        log_limit(node, server, sent_at, change, source);
        server_limits::announce(node, server);
    }
    if let Some(change) = changes.rest {
        log_rest(node, server, change, source);
        tell_others_of_rest(node, server, path, change.remaining);
    }
    if changes.has_begun_to_leave {
        node.idle.borrow_mut().drop_server(server);
        log_leaving(node, server, source);
        let announcing = peers::announce_leaving(Rc::clone(node), server.clone());
        tokio::task::spawn_local(announcing);
    }
}

/// Tells of a rest those whose requests may reach the server in the same way as the one that was rejected.
fn tell_others_of_rest(node: &Node, server: &ids::BackendServerId, path: &Path, remaining: SpanMs) {
    match path.peer() {
        Some(carrier) => peers::tell_carrier(node, carrier, server, remaining),
        None => peers::tell_tunnel_users(node, server, remaining),
    }
}

/// Records that a server wants no request from the instances through which this one reaches it, if `rest` is such a time.
pub(crate) fn record_rest_of_carriers(
    node: &Node,
    server: &ids::BackendServerId,
    rest: Option<SpanMs>,
) {
    let Some(remaining) = rest else {
        return;
    };
    let now = node.now();
    let changed = {
        let pool = &mut node.state.borrow_mut().pool;
        pool.apply_rest(now, ServerKey::of(server), remaining)
    };
    if let Some((server, change)) = changed {
        log_rest(node, &server, change, StatementSource::Peer);
    }
}

fn count_limit(node: &Node, source: StatementSource, change: &str) {
    let changes = &node.metrics.limit_changes;
    changes.with_label_values(&[source.as_str(), change]).inc();
}

fn count_rest(node: &Node, source: StatementSource, change: &str) {
    let changes = &node.metrics.rest_changes;
    changes.with_label_values(&[source.as_str(), change]).inc();
}

pub(crate) fn log_limit(
    node: &Node,
    server: &ids::BackendServerId,
    as_of: TimeMs,
    change: LimitChange,
    source: StatementSource,
) {
    let kind = change.as_str();
    count_limit(node, source, kind);
    let now = node.now();
    node.log.log_server_statement(now, |log, left_out| {
        slog::info!(log, "server limit";
            "backend_server" => %server, "change" => kind, "source" => source.as_str(),
            "before_per_s" => change.before.map(RequestRate::per_s),
            "limit_per_s" => change.after.map(RequestRate::per_s),
            "as_of_ms_ago" => now.since(as_of).get(), "lines_left_out" => left_out);
    });
}

fn log_rest(
    node: &Node,
    server: &ids::BackendServerId,
    change: RestChange,
    source: StatementSource,
) {
    let kind = change.as_str();
    count_rest(node, source, kind);
    node.log.log_server_statement(node.now(), |log, left_out| {
        slog::info!(log, "server rest";
            "backend_server" => %server, "change" => kind, "source" => source.as_str(),
            "rest_ms" => change.remaining.get(), "lines_left_out" => left_out);
    });
}

fn log_leaving(node: &Node, server: &ids::BackendServerId, source: StatementSource) {
    let leaving = &node.metrics.servers_told_leaving;
    leaving.with_label_values(&[source.as_str()]).inc();
    node.log.log_server_statement(node.now(), |log, left_out| {
        slog::info!(log, "server leaves";
            "backend_server" => %server, "source" => source.as_str(), "lines_left_out" => left_out);
    });
}
