//! Kept connections to backend servers.

use std::collections::HashMap;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::http;

/// How long a connection is kept whose server names no time: shorter than common servers' time-outs.
const UNNAMED_IDLE_MS: u64 = 4_000;
/// How much earlier than its server a connection is given up. A request that crosses the server's close
/// may have run or not, which no client can act on.
const CLOSE_MARGIN_MS: u64 = 1_000;
/// Most kept connections to one server; more than one instance's share of the requests it runs.
const MOST_KEPT: usize = 16;

#[derive(Debug)]
struct Kept {
    connection: http::Connection,
    until: TimeMs,
}

/// The connections that wait for a next request, by server.
#[derive(Debug, Default)]
pub struct IdleConnections {
    kept: HashMap<ids::BackendServerId, Vec<Kept>>,
}

impl IdleConnections {
    /// Whether any connection to a server is kept, good or not.
    #[must_use]
    pub fn has(&self, server: &ids::BackendServerId) -> bool {
        self.kept.get(server).is_some_and(|kept| !kept.is_empty())
    }

    /// Takes the connection that was used last, if one is still good.
    pub fn take(&mut self, now: TimeMs, server: &ids::BackendServerId) -> Option<http::Connection> {
        let kept = self.kept.get_mut(server)?;
        while let Some(last) = kept.pop() {
            if now < last.until && last.connection.is_reusable() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose server closes it after `idle_timeout_s` without a request.
    pub fn keep(
        &mut self,
        now: TimeMs,
        server: &ids::BackendServerId,
        connection: http::Connection,
        idle_timeout_s: Option<u64>,
    ) {
        let idle_ms = idle_timeout_s.map_or(UNNAMED_IDLE_MS, |idle_timeout_s| {
            (idle_timeout_s * 1_000).saturating_sub(CLOSE_MARGIN_MS)
        });
        let kept = self.kept.entry(server.clone()).or_default();
        if idle_ms > 0 && kept.len() < MOST_KEPT {
            let until = now + SpanMs::new(idle_ms);
            kept.push(Kept { connection, until });
        }
    }

    /// Closes all connections to a server.
    pub fn drop_server(&mut self, server: &ids::BackendServerId) {
        self.kept.remove(server);
    }

    /// Closes what has waited too long.
    pub fn expire(&mut self, now: TimeMs) {
        self.kept.retain(|_, kept| {
            kept.retain(|entry| now < entry.until);
            !kept.is_empty()
        });
    }

    /// The number of kept connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.values().map(Vec::len).sum()
    }

    /// Whether none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}
