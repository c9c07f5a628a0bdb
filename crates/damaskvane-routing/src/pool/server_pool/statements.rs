//! What responses say of their servers.

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::pool::{AvailabilityChanges, Server, ServerPool, ServerReport, StatementSource};

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

    /// Returns the servers that want no request from this instance now.
    pub fn resting(&self, now: TimeMs) -> impl Iterator<Item = &Server> {
        let asked = self.servers.with_rest().iter();
        let asked = asked.filter_map(|handle| self.servers.get(*handle));
        asked.filter(move |server| server.availability.rest.is_resting(now))
    }

    /// Returns the servers that have said that they leave, and have not left yet.
    pub fn leaving(&self) -> impl Iterator<Item = &Server> {
        self.servers()
            .filter(|server| server.availability.is_leaving())
    }
}
