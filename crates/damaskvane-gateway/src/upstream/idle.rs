//! Pool of idle connections to backend servers: open connections that carry no request at present.

use std::collections::HashMap;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::http;
use crate::tunnel::Path;

/// How long an idle connection is kept if its server announces no idle timeout, in milliseconds. This is
/// shorter than the timeouts of common servers.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;
/// How long before the end of the server's idle timeout this instance closes a connection, in milliseconds.
/// If the server closes a connection while a request is sent, the request may or may not have run, and the
/// client can't find out which.
const CLOSE_MARGIN_MS: u64 = 1_000;
/// Maximum number of idle connections from this instance to one server. Larger than the part of the server's
/// concurrent requests that comes from one instance.
const MAX_IDLE_PER_SERVER: usize = 16;

/// Time after its last use at which an idle connection is checked for bytes that belong to no response.
const FLOOD_CHECK_DELAY: SpanMs = SpanMs::new(50);

#[derive(Debug)]
struct IdleConnection {
    connection: http::Connection,
    path: Path,
    expires_at: TimeMs,
    /// When the connection was last used, until it is checked for bytes that belong to no response.
    unchecked_since: Option<TimeMs>,
}

/// The idle connections of this instance, by backend server.
#[derive(Debug, Default)]
pub struct IdleConnections {
    connections: HashMap<ids::BackendServerId, Vec<IdleConnection>>,
    /// Servers that have sent far more than their responses, once for each connection.
    flooding: Vec<ids::BackendServerId>,
}

impl IdleConnections {
    /// Returns whether any connection to `server` is in the pool, including expired connections and those
    /// that the server has closed.
    #[must_use]
    pub fn has(&self, server: &ids::BackendServerId) -> bool {
        self.connections
            .get(server)
            .is_some_and(|connections| !connections.is_empty())
    }

    /// Removes and returns the most recently used connection to `server` that is neither expired nor closed, with its
    /// path, among those whose path may be used.
    ///
    /// Expired and closed connections that were used more recently are dropped.
    pub fn take(
        &mut self,
        now: TimeMs,
        server: &ids::BackendServerId,
        may_use: impl Fn(&Path) -> bool,
    ) -> Option<(http::Connection, Path)> {
        let connections = self.connections.get_mut(server)?;
        while let Some(index) = connections.iter().rposition(|one| may_use(&one.path)) {
            let last = connections.remove(index);
            if now < last.expires_at && last.connection.is_reusable() {
                return Some((last.connection, last.path));
            }
            if last.connection.is_flooded() {
                self.flooding.push(server.clone());
            }
        }
        None
    }

    /// Adds a connection that `server` closes after `idle_timeout_s` seconds without a request.
    ///
    /// The connection is closed at once instead if the timeout is not above a second, the margin, or the pool
    /// holds the maximum number of connections to the server.
    pub fn keep(
        &mut self,
        now: TimeMs,
        server: &ids::BackendServerId,
        connection: http::Connection,
        idle_timeout_s: Option<u64>,
        path: Path,
    ) {
        let idle_timeout_ms = idle_timeout_s.map_or(DEFAULT_IDLE_TIMEOUT_MS, |idle_timeout_s| {
            (idle_timeout_s * 1_000).saturating_sub(CLOSE_MARGIN_MS)
        });
        let connections = self.connections.entry(server.clone()).or_default();
        if idle_timeout_ms > 0 && connections.len() < MAX_IDLE_PER_SERVER {
            let expires_at = now + SpanMs::new(idle_timeout_ms);
            connections.push(IdleConnection {
                connection,
                path,
                expires_at,
                unchecked_since: Some(now),
            });
        }
    }

    /// Records a connection that can't carry another request because of what `server` has sent on it.
    pub fn record_unusable(
        &mut self,
        server: &ids::BackendServerId,
        connection: &http::Connection,
    ) {
        if connection.is_flooded() {
            self.flooding.push(server.clone());
        }
    }

    /// Closes all idle connections to `server`.
    pub fn drop_server(&mut self, server: &ids::BackendServerId) {
        self.connections.remove(server);
    }

    /// Closes all idle connections that lead to servers without a tunnel.
    pub fn drop_direct(&mut self) {
        self.retain(|_, path| *path != Path::Direct);
    }

    /// Returns whether any idle connection leads through another instance.
    #[must_use]
    pub fn has_tunnels(&self) -> bool {
        let mut all = self.connections.values().flatten();
        all.any(|one| one.path != Path::Direct)
    }

    /// Closes the idle connections whose server and path don't have the given property.
    pub fn retain(&mut self, is_wanted: impl Fn(&ids::BackendServerId, &Path) -> bool) {
        self.connections.retain(|server, connections| {
            connections.retain(|one| is_wanted(server, &one.path));
            !connections.is_empty()
        });
    }

    /// Closes the connections that at `now` have been idle longer than this instance keeps them.
    pub fn expire(&mut self, now: TimeMs) {
        self.connections.retain(|_, connections| {
            connections.retain(|entry| now < entry.expires_at);
            !connections.is_empty()
        });
    }

    /// Closes connections on which bytes have come that belong to no response, each once it has been idle for a moment; returns
    /// the servers that have sent far more than such a response since the last call.
    pub fn close_flooded(&mut self, now: TimeMs) -> Vec<ids::BackendServerId> {
        let mut flooding = core::mem::take(&mut self.flooding);
        self.connections.retain(|server, connections| {
            connections.retain_mut(|entry| {
                let is_due = |since| now.since(since) >= FLOOD_CHECK_DELAY;
                if !entry.unchecked_since.is_some_and(is_due) {
                    return true;
                }
                entry.unchecked_since = None;
                if entry.connection.is_reusable() {
                    return true;
                }
                if entry.connection.is_flooded() {
                    flooding.push(server.clone());
                }
                false
            });
            !connections.is_empty()
        });
        flooding
    }

    /// Returns the number of idle connections to all servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.values().map(Vec::len).sum()
    }

    /// Returns whether there is no idle connection to any server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
