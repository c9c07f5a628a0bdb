//! What responses say of their servers.

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::pool::{
    AvailabilityChanges, Server, ServerKey, ServerPool, ServerReport, ServerRest, ServerState,
    StatementSource,
};

impl ServerPool {
    /// Applies what the response to a request, sent to a server at `sent_at`, says of the server's availability; returns
    /// what has changed.
    pub fn apply_response(
        &mut self,
        now: TimeMs,
        sent_at: TimeMs,
        id: &ids::BackendServerId,
        report: &ServerReport,
        source: StatementSource,
    ) -> AvailabilityChanges {
        let Some(known) = self.server(id) else {
            return AvailabilityChanges::default();
        };
        // Most responses change nothing, and mutable access updates the indexes of servers.
        let mut availability = known.availability;
        let changes = availability.apply_response(now, sent_at, report, source);
        if known.availability != availability
            && let Some(mut server) = self.server_mut(id)
        {
            server.availability = availability;
        }
        changes
    }

    /// Applies another instance's report that an incarnation of a server leaves; returns the server if that is news.
    pub fn apply_leaving(
        &mut self,
        now: TimeMs,
        key: ServerKey,
        started_unix_ms: u64,
    ) -> Option<ids::BackendServerId> {
        let handle = self.servers.handle_of_key(key);
        let known = handle.and_then(|handle| self.servers.get(handle));
        let known_start = known.map(|server| server.entry.started_unix_ms);
        if known_start.is_none_or(|known| known < started_unix_ms) {
            self.retained.keep_leaving(now, key, started_unix_ms);
            return None;
        }
        if known_start != Some(started_unix_ms) {
            return None;
        }
        let mut server = self.servers.get_mut(handle?)?;
        let is_news = server.availability.learn_leaving();
        is_news.then(|| server.entry.id.clone())
    }

    /// Applies what was reported of an incarnation of a server whose entry was read just now.
    pub(super) fn apply_early_leaving(&mut self, id: &ids::BackendServerId) {
        let Some(entry) = self.server(id).map(|server| server.entry.clone()) else {
            return;
        };
        let early = self.retained.take(&entry);
        if early.is_some_and(|early| early.is_leaving())
            && let Some(mut server) = self.server_mut(id)
        {
            server.availability.learn_leaving();
        }
    }

    /// Returns the servers that want no request from this instance now.
    pub fn resting(&self, now: TimeMs) -> impl Iterator<Item = &Server> {
        let asked = self.servers.with_rest().iter();
        let asked = asked.filter_map(|handle| self.servers.get(*handle));
        asked.filter(move |server| server.availability.rest.is_resting(now))
    }

    /// Returns the slots of the servers of a service in a region that want no request from this instance now.
    #[must_use]
    pub fn resting_slots(
        &self,
        now: TimeMs,
        service: &ids::ServiceId,
        region: &ids::RegionId,
    ) -> u64 {
        let resting = self
            .resting(now)
            .filter(|server| server.entry.service == *service && server.region() == Some(region));
        resting.map(|server| u64::from(server.entry.slots)).sum()
    }

    /// Returns the time until a server of a service takes requests again: zero if one takes them now, and `None` if the
    /// service has no server in an allowed region that takes them after a rest.
    #[must_use]
    pub fn time_to_available(
        &self,
        now: TimeMs,
        service: &ids::ServiceId,
        is_allowed: impl Fn(&ids::RegionId) -> bool,
    ) -> Option<SpanMs> {
        let servers = self.servers().filter(|server| {
            server.entry.service == *service
                && server.entry.state == ServerState::Ready
                && server.region().is_some_and(&is_allowed)
                && !server.availability.is_leaving()
        });
        let remaining = servers.map(|server| server.availability.rest.remaining(now));
        remaining.min()
    }

    /// Forgets the rests after which all requests have returned.
    pub(super) fn forget_rests(&mut self, now: TimeMs) {
        let asked = self.servers.with_rest().iter();
        let over = asked.filter(|handle| {
            let server = self.servers.get(**handle);
            server.is_some_and(|server| server.availability.rest.is_over(now))
        });
        let over: Vec<_> = over.copied().collect();
        for handle in over {
            if let Some(mut server) = self.servers.get_mut(handle) {
                server.availability.rest = ServerRest::default();
            }
        }
    }

    /// Returns the servers that have said that they leave, and have not left yet.
    pub fn leaving(&self) -> impl Iterator<Item = &Server> {
        self.servers()
            .filter(|server| server.availability.is_leaving())
    }
}
