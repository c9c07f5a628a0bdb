//! Records whether connections to backend servers open, and checks whether this instance is partitioned from them.

use core::time::Duration;
use std::io;
use std::net;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::configuration::RegionSet;
use damaskvane_routing::pool::ServerKey;
use damaskvane_routing::reachability::{Check, ConnectFailure, Reach};

use crate::crashes;
use crate::node::{Node, State};
use crate::tunnel::{self, Endpoint, Path};
use crate::upstream;

/// Interval between two looks for due checks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two log lines on doubts, which may begin and end many times a second where servers die.
const DOUBT_LOG_INTERVAL: SpanMs = SpanMs::new(1_000);
/// Time in which a connection that only checks a server must open.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Records the result of opening a connection to a server without a tunnel.
pub(crate) fn record_attempt<T>(
    node: &Node,
    server: &ids::BackendServerId,
    opened: &io::Result<T>,
) {
    let now = node.now();
    let mut was_isolated = false;
    change(node, |state| match opened {
        Ok(_) => {
            for id in state.reach.record_opened(now, server) {
                was_isolated = true;
                state.pool.forgive(&id);
            }
        }
        Err(error) => {
            let kind = match error.kind() {
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                    ConnectFailure::Refused
                }
                _ => ConnectFailure::NoAnswer,
            };
            state.reach.record_open_failed(now, server, kind);
        }
    });
    if was_isolated {
        crashes::forget_unproven(node);
    }
}

/// Records that another instance opened a connection to a server that this instance failed to reach just before.
pub(crate) fn record_opened_by_peer(node: &Node, server: &ids::BackendServerId) {
    let now = node.now();
    let mut begins = false;
    change(node, |state| {
        begins = state.reach.record_opened_by_peer(now, server);
        if begins {
            let failing: Vec<_> = state.reach.failing().cloned().collect();
            for id in &failing {
                state.pool.forgive(id);
            }
            state.pool.forget_unreported_failures();
        }
    });
    if begins {
        // Open connections may hang without a sign; those in use that get an answer are kept again.
        node.idle.borrow_mut().drop_direct();
        crashes::forget_unproven(node);
        node.probe_requested.notify_one();
    }
}

/// Records that a server answered a request.
pub(crate) fn record_answered(node: &Node, path: &Path) {
    if *path == Path::Direct {
        let now = node.now();
        node.state.borrow_mut().reach.record_answered(now);
    }
}

/// Records that a request, sent at `sent_at`, got no answer.
pub(crate) fn record_unanswered(
    node: &Node,
    server: &ids::BackendServerId,
    path: &Path,
    sent_at: TimeMs,
) {
    let now = node.now();
    match path {
        Path::Direct => {
            change(node, |state| {
                state.reach.record_unanswered(now, server, sent_at);
            });
        }
        Path::Tunnel(peer) => {
            let peers = &mut node.state.borrow_mut().tunnel_peers;
            peers.record_failed(now, &peer.instance);
        }
    }
}

/// Returns whether connections to the server are opened through another instance.
pub(crate) fn needs_tunnel(node: &Node, server: &ids::BackendServerId) -> bool {
    node.state.borrow().reach.needs_tunnel(server)
}

/// Returns whether this instance is partitioned from the servers on this path: connections without a tunnel break then.
pub(crate) fn is_partitioned_on(node: &Node, path: Option<&Path>) -> bool {
    path == Some(&Path::Direct) && node.state.borrow().reach.reach() == Reach::Partitioned
}

/// Returns whether nothing speaks against that this instance reaches the servers.
pub(crate) fn is_direct(node: &Node) -> bool {
    node.state.borrow().reach.reach() == Reach::Direct
}

/// Returns whether this instance doubts that it reaches the servers.
pub(crate) fn is_doubtful(node: &Node) -> bool {
    node.state.borrow().reach.reach() == Reach::Doubtful
}

/// Returns whether a connection that was kept may carry another request to its server.
pub(crate) fn may_reuse(
    node: &Node,
    server: &ids::BackendServerId,
    path: &Path,
    allowed_regions: &RegionSet,
) -> bool {
    let Some(peer) = path.peer() else {
        return true;
    };
    allowed_regions.allows_passage(peer.region.as_ref()) && may_keep(node, server, path)
}

/// Returns whether a connection may be kept for later requests: a tunnel is closed once it is no longer needed or the
/// instance that carries it stops.
pub(crate) fn may_keep(node: &Node, server: &ids::BackendServerId, path: &Path) -> bool {
    let Some(peer) = path.peer() else {
        return true;
    };
    let now = node.now();
    let state = node.state.borrow();
    state.reach.needs_tunnel(server)
        && state.members.accepts_clients(now, &peer.instance)
        && !state.tunnel_peers.has_failed(now, &peer.instance)
        && !state
            .tunnel_peers
            .rests(now, &peer.instance, ServerKey::of(server))
}

/// Returns whether the server of a path wants no request from the instance that carries it.
pub(crate) fn rests_on(node: &Node, server: &ids::BackendServerId, path: &Path) -> bool {
    let Some(peer) = path.peer() else {
        return false;
    };
    let now = node.now();
    let peers = &node.state.borrow().tunnel_peers;
    peers.rests(now, &peer.instance, ServerKey::of(server))
}

/// Applies a change of the evidence, and logs what changes by it.
fn change(node: &Node, apply: impl FnOnce(&mut State)) {
    let mut state = node.state.borrow_mut();
    let before = state.reach.reach();
    apply(&mut state);
    let after = state.reach.reach();
    if before == after {
        return;
    }
    if after == Reach::Doubtful {
        node.reach_doubted.notify_one();
    }
    let is_partition = [before, after].contains(&Reach::Partitioned);
    let now = node.now();
    if !is_partition && now.since(node.reach_logged_at.get()) < DOUBT_LOG_INTERVAL {
        return;
    }
    node.reach_logged_at.set(now);
    let failing: Vec<String> = state.reach.failing().map(ToString::to_string).collect();
    let indirect = state.reach.indirect_servers();
    let known = state.pool.len();
    drop(state);
    slog::warn!(node.log.log, "reach of backend servers";
        "before" => before.as_str(), "reach" => after.as_str(), "failing" => failing.len(),
        "first_failing" => failing.first(), "indirect" => indirect, "servers" => known);
}

/// Looks for servers that don't answer and runs due checks, until the process ends.
pub async fn watch(node: Rc<Node>) {
    loop {
        let _ = tokio::time::timeout(POLL_INTERVAL, node.reach_doubted.notified()).await;
        let now = node.now();
        record_overdue(&node);
        close_unneeded_tunnels(&node);
        let check = {
            let mut state = node.state.borrow_mut();
            let State { reach, pool, .. } = &mut *state;
            reach.retain_known(|id| pool.server(id).is_some());
            let servers = pool.servers().map(|server| &server.entry.id);
            reach.take_due_check(now, servers)
        };
        match check {
            Some(Check::Control) => check_control(&node),
            Some(Check::Doubt(servers)) => {
                check_control(&node);
                for (server, kind) in servers {
                    let checking = check_through_peer(Rc::clone(&node), server, kind);
                    tokio::task::spawn_local(checking);
                }
            }
            Some(Check::Return(servers)) => {
                for server in servers {
                    tokio::task::spawn_local(check_direct(Rc::clone(&node), server));
                }
            }
            None => {}
        }
    }
}

fn record_overdue(node: &Node) {
    let now = node.now();
    let overdue = node.state.borrow().pool.overdue(now);
    for (server, sent_at) in overdue {
        record_unanswered(node, &server, &Path::Direct, sent_at);
    }
}

fn close_unneeded_tunnels(node: &Node) {
    let mut idle = node.idle.borrow_mut();
    if idle.has_tunnels() {
        idle.retain(|server, path| may_keep(node, server, path));
    }
}

/// Opens a server that hasn't failed, without a tunnel.
fn check_control(node: &Rc<Node>) {
    let control = {
        let state = node.state.borrow();
        let failing: Vec<_> = state.reach.failing().collect();
        let control = state.pool.reachable_server(|id| !failing.contains(&id));
        control.map(|server| server.entry.id.clone())
    };
    if let Some(control) = control {
        tokio::task::spawn_local(check_direct(Rc::clone(node), control));
    }
}

/// Opens a connection without a tunnel, and keeps it for requests; returns whether it opened.
async fn check_direct(node: Rc<Node>, server: ids::BackendServerId) -> bool {
    let Some((address, _)) = locate(&node, &server) else {
        return false;
    };
    let opened = upstream::open_direct(&node, &server, address, CHECK_TIMEOUT).await;
    let Ok(connection) = opened else {
        return false;
    };
    let now = node.now();
    let mut idle = node.idle.borrow_mut();
    idle.keep(now, &server, connection, None, Path::Direct);
    true
}

async fn check_through_peer(node: Rc<Node>, server: ids::BackendServerId, kind: ConnectFailure) {
    // Silence on connections that were open says nothing about new ones yet.
    if kind == ConnectFailure::Silent && check_direct(Rc::clone(&node), server.clone()).await {
        return;
    }
    let Some((address, zone)) = locate(&node, &server) else {
        return;
    };
    let endpoint = Endpoint {
        server: &server,
        address,
        zone: &zone,
    };
    let opened = tunnel::open(&node, endpoint, &RegionSet::Any, CHECK_TIMEOUT).await;
    let Ok((connection, path)) = opened else {
        return;
    };
    record_opened_by_peer(&node, &server);
    if may_keep(&node, &server, &path) {
        let now = node.now();
        let mut idle = node.idle.borrow_mut();
        idle.keep(now, &server, connection, None, path);
    }
}

fn locate(
    node: &Node,
    server: &ids::BackendServerId,
) -> Option<(net::SocketAddr, ids::AvailabilityZoneId)> {
    let state = node.state.borrow();
    let entry = &state.pool.server(server)?.entry;
    Some((entry.address, entry.zone.clone()))
}
