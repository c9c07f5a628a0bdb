//! Limits that servers name for their requests.

use std::collections::HashMap;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::limit::RequestRate;
use crate::pool::{LimitChange, PeerLimitReport, Server, ServerKey, ServerPool};

/// Largest number of servers that are not known yet and whose limits are stored.
const MAX_EARLY_LIMITS: usize = 1_024;

/// The limits of servers that are not known yet, each with the time at which it was named.
///
/// An instance that has just started hears of limits before it has read the list of servers.
#[derive(Debug, Default)]
pub(super) struct EarlyLimits(HashMap<ServerKey, (TimeMs, Option<RequestRate>)>);

impl EarlyLimits {
    fn add(&mut self, sent_at: TimeMs, report: PeerLimitReport) {
        let known = self.0.get(&report.server);
        let is_newer = known.is_none_or(|(at, _)| *at < sent_at);
        let has_room = known.is_some() || self.0.len() < MAX_EARLY_LIMITS;
        if is_newer && has_room {
            self.0.insert(report.server, (sent_at, report.rate));
        }
    }

    /// Applies the limit of a server that is added now.
    pub(super) fn apply(&mut self, now: TimeMs, server: &mut Server) {
        let key = ServerKey::of(&server.entry.id);
        if let Some((sent_at, rate)) = self.0.remove(&key) {
            server.availability.limit.apply_report(now, sent_at, rate);
        }
    }
}

impl ServerPool {
    /// Returns the servers that are known to limit the rate of their requests.
    #[must_use]
    pub fn limited(&self) -> impl ExactSizeIterator<Item = &Server> {
        let limited = self.servers.limited().iter();
        limited.map(|handle| {
            let server = self.servers.get(*handle);
            server.expect("an indexed server is in the table")
        })
    }

    /// Returns the server with this key, or `None` if the pool has no such server.
    #[must_use]
    pub fn by_key(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(self.servers.handle_of_key(key)?)
    }

    /// Applies a limit that another instance has reported; returns the server and the change, if any.
    pub fn apply_limit_report(
        &mut self,
        now: TimeMs,
        report: PeerLimitReport,
    ) -> Option<(ids::BackendServerId, LimitChange)> {
        let sent_at = TimeMs::new(now.get().saturating_sub(report.age.get()));
        let Some(handle) = self.servers.handle_of_key(report.server) else {
            self.early_limits.add(sent_at, report);
            return None;
        };
        let mut server = self.servers.get_mut(handle)?;
        let change = server
            .availability
            .limit
            .apply_report(now, sent_at, report.rate)?;
        Some((server.entry.id.clone(), change))
    }

    /// Returns the reports of all limits that are known.
    pub fn limit_reports(&self, now: TimeMs) -> impl Iterator<Item = PeerLimitReport> {
        self.limited().map(move |server| server.limit_report(now))
    }
}

impl Server {
    /// Returns what this instance knows of the server's limit, for others.
    #[must_use]
    pub fn limit_report(&self, now: TimeMs) -> PeerLimitReport {
        PeerLimitReport {
            server: ServerKey::of(&self.entry.id),
            rate: self.availability.limit.rate(),
            age: self.availability.limit.age(now),
        }
    }
}
