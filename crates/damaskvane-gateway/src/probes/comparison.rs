//! Compares a refused connection with what other servers do, as a proof that the server's process has ended.
//!
//! An instance that is partitioned from the servers may be refused by all of them, and the requests that it has sent them
//! are harmless.

use core::time::Duration;
use std::cell::RefCell;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_routing::pool::{DueProbe, ServerEntry};
use tokio::task::JoinHandle;

use crate::crashes;
use crate::http;
use crate::node::Node;
use crate::probes;
use crate::reach;
use crate::tunnel::Path;
use crate::upstream::{self, OpenError};

/// Largest number of servers with which one that refuses connections is compared.
const MAX_COMPARED: usize = 8;
/// Time in which a connection that is opened for such a comparison must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for all such comparisons of one probe.
const COMPARISON_TIMEOUT: Duration = Duration::from_millis(800);

/// The comparison of one probe, which starts when the server refuses a connection.
///
/// Requests that may crash servers wait for the proof, so that other servers are opened while another instance is still
/// asked whether the server refuses it as well.
#[derive(Debug, Default)]
pub(super) struct Comparison {
    running: RefCell<Option<JoinHandle<bool>>>,
}

impl Comparison {
    /// Starts to open other servers, if requests become suspects by the proof.
    pub(super) fn start(&self, node: &Rc<Node>, probe: &DueProbe) {
        if crashes::awaits_proof(node, &probe.server) {
            let (node, refusing) = (Rc::clone(node), probe.server.clone());
            let comparing = async move { accepts_elsewhere(&node, &refusing).await };
            self.running
                .replace(Some(tokio::task::spawn_local(comparing)));
        }
    }

    /// Returns whether a refused connection shows that the server's process has ended: another server of its zone accepts
    /// a connection opened in the same way, and afterwards the server still refuses one.
    pub(super) async fn is_proof(&self, node: &Rc<Node>, server: &ids::BackendServerId) -> bool {
        let running = self.running.take();
        let comparing = async {
            let is_accepted = match running {
                Some(running) => running.await.unwrap_or(false),
                None => accepts_elsewhere(node, server).await,
            };
            is_accepted && is_refused(node, server).await
        };
        let compared = tokio::time::timeout(COMPARISON_TIMEOUT, comparing);
        compared.await.unwrap_or(false)
    }
}

async fn accepts_elsewhere(node: &Rc<Node>, refusing: &ids::BackendServerId) -> bool {
    let others = {
        let state = node.state.borrow();
        state.pool.comparable_servers(refusing, MAX_COMPARED)
    };
    for other in others {
        if let Ok((connection, path)) = open(node, &other).await {
            keep(node, &other.id, connection, path);
            return true;
        }
    }
    false
}

fn keep(node: &Node, server: &ids::BackendServerId, connection: http::Connection, path: Path) {
    let now = node.now();
    let mut idle = node.idle.borrow_mut();
    idle.keep(now, server, connection, None, path);
}

async fn is_refused(node: &Rc<Node>, server: &ids::BackendServerId) -> bool {
    let entry = {
        let state = node.state.borrow();
        let server = state.pool.server(server);
        server.map(|server| server.entry.clone())
    };
    // A server that is gone from the list has left in the meantime.
    let Some(entry) = entry else {
        return true;
    };
    let opened = open(node, &entry).await;
    opened.is_err_and(|error| error.is_refusal())
}

/// Opens a connection in the way in which this instance sends requests to the server.
///
/// No other instance is asked when the server refuses it, which would take several round trips for each server that
/// crashed at about the same time.
async fn open(node: &Rc<Node>, entry: &ServerEntry) -> Result<(http::Connection, Path), OpenError> {
    if reach::needs_tunnel(node, &entry.id) {
        return probes::open(node, entry, CONNECT_TIMEOUT).await;
    }
    let opened = upstream::open_direct(node, &entry.id, entry.address, CONNECT_TIMEOUT).await;
    let direct = opened.map(|connection| (connection, Path::Direct));
    direct.map_err(OpenError::Direct)
}
