//! What responses say of their servers.

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::pool::{
    Availability, AvailabilityChanges, PeerStatement, RestChange, Server, ServerKey, ServerPool,
    ServerReport, ServerRest, ServerState, StatementSource,
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
        let Some(known) = self.availability(id) else {
            return AvailabilityChanges::default();
        };
        // Most responses change nothing, and mutable access updates the indexes of servers.
        let mut availability = known;
        let changes = availability.apply_response(now, sent_at, report, source);
        if known == availability {
            return changes;
        }
        if let Some(mut server) = self.server_mut(id) {
            server.availability = availability;
        } else {
            self.retained.replace(ServerKey::of(id), availability);
        }
        changes
    }

    /// Returns what a server has said, also after its entry has lapsed; `None` if nothing is known of it.
    #[must_use]
    pub fn availability(&self, id: &ids::BackendServerId) -> Option<Availability> {
        let in_pool = self.server(id).map(|server| server.availability);
        in_pool.or_else(|| self.retained.get(ServerKey::of(id)))
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
        let is_news = server.availability.learn_leaving_from_peer();
        is_news.then(|| server.entry.id.clone())
    }

    /// Returns the report that a server leaves, unless an instance has reported it already.
    pub fn report_leaving(&mut self, id: &ids::BackendServerId) -> Option<PeerStatement> {
        let mut server = self.server_mut(id)?;
        let is_to_report = server.availability.take_leaving_report();
        is_to_report.then(|| server.leaving_statement())
    }

    /// Applies a rejection that another instance has received through this one; returns the server and the change, if any.
    pub fn apply_rest(
        &mut self,
        now: TimeMs,
        key: ServerKey,
        remaining: SpanMs,
    ) -> Option<(ids::BackendServerId, RestChange)> {
        let handle = self.servers.handle_of_key(key)?;
        let mut server = self.servers.get_mut(handle)?;
        let rest = &mut server.availability.rest;
        let change = rest.begin(now, remaining, StatementSource::Peer)?;
        Some((server.entry.id.clone(), change))
    }

    /// Applies that a server wants no request from another instance: this one, which starts, uses it with care.
    pub fn learn_rest_of_other(&mut self, now: TimeMs, key: ServerKey, remaining: SpanMs) {
        let Some(handle) = self.servers.handle_of_key(key) else {
            self.retained.keep_rest_of_other(key, now + remaining);
            return;
        };
        if let Some(mut server) = self.servers.get_mut(handle) {
            let rest = &mut server.availability.rest;
            rest.defer_return(now, remaining);
        }
    }

    /// Returns what an instance that starts needs to know: which servers leave, and which want no request from this instance.
    pub fn statements(&self, now: TimeMs) -> impl Iterator<Item = PeerStatement> {
        let leaving = self.leaving().map(Server::leaving_statement);
        let resting = self
            .resting(now)
            .map(move |server| PeerStatement::SenderRests {
                server: ServerKey::of(&server.entry.id),
                remaining: server.availability.rest.remaining(now),
            });
        leaving.chain(resting)
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
            server.availability.learn_leaving_from_peer();
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

impl Server {
    /// Returns the report that the server leaves.
    fn leaving_statement(&self) -> PeerStatement {
        PeerStatement::Leaving {
            server: ServerKey::of(&self.entry.id),
            started_unix_ms: self.entry.started_unix_ms,
        }
    }
}
