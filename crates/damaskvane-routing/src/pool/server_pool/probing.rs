//! Which servers answer, which don't, and which are probed.

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::pool::{DueProbe, Liveness, ProbeResult, Server, ServerEntry, ServerPool};

/// Delay in milliseconds until a suspect server is probed again.
const REPROBE_DELAY_MS: u64 = 1_000;

impl ServerPool {
    /// Returns the servers that leave requests of this instance without an answer for far longer than usual, each with
    /// the time at which the oldest such request was sent.
    #[must_use]
    pub fn overdue(&self, now: TimeMs) -> Vec<(ids::BackendServerId, TimeMs)> {
        let in_use = self.servers.in_use().iter();
        let in_use = in_use.filter_map(|handle| self.servers.get(*handle));
        in_use
            .filter_map(|server| Some((server.entry.id.clone(), server.overdue_since(now)?)))
            .collect()
    }

    /// Returns a server that accepts connections as far as is known, among those with the given property.
    pub fn reachable_server(
        &self,
        is_wanted: impl Fn(&ids::BackendServerId) -> bool,
    ) -> Option<&Server> {
        let mut servers = self.servers.iter();
        servers.find(|server| server.liveness == Liveness::Up && is_wanted(&server.entry.id))
    }

    /// Returns the entries of other servers that accept connections as far as is known: those of the server's zone first,
    /// and of these the ones that answered last.
    #[must_use]
    pub fn comparable_servers(
        &self,
        id: &ids::BackendServerId,
        max_servers: usize,
    ) -> Vec<ServerEntry> {
        let zone = self.server(id).map(|server| server.entry.zone.clone());
        let up = self
            .servers
            .iter()
            .filter(|server| server.liveness == Liveness::Up && server.entry.id != *id);
        let mut in_order: Vec<&Server> = up.collect();
        in_order.sort_by_key(|server| {
            let is_far = Some(&server.entry.zone) != zone.as_ref();
            (is_far, std::cmp::Reverse(server.answered_at()))
        });
        in_order.truncate(max_servers);
        in_order.iter().map(|server| server.entry.clone()).collect()
    }

    /// Lets the next probe of a server that awaits one be due at once.
    pub fn probe_now(&mut self, now: TimeMs, id: &ids::BackendServerId) {
        let Some(mut server) = self.server_mut(id) else {
            return;
        };
        match &mut server.liveness {
            Liveness::Suspect { probe_at } | Liveness::Down { probe_at, .. } => *probe_at = now,
            Liveness::Up | Liveness::Replaced => {}
        }
    }

    /// Marks a server as up that was found down for reasons which were not the server's.
    pub fn forgive(&mut self, id: &ids::BackendServerId) {
        if let Some(mut server) = self.server_mut(id)
            && matches!(server.liveness, Liveness::Down { .. })
        {
            server.liveness = Liveness::Up;
        }
    }

    /// Forgets the failures of servers that this instance has not told others of.
    pub fn forget_unreported_failures(&mut self) {
        for handle in self.servers.handles() {
            if let Some(mut server) = self.servers.get_mut(handle) {
                server.forget_failures();
            }
        }
    }

    /// Returns the probes to send now, and postpones the next probe of these servers, so that each probe is sent only
    /// once.
    pub fn due_probes(
        &mut self,
        now: TimeMs,
        health_path: impl Fn(&ids::ServiceId) -> Option<String>,
    ) -> Vec<DueProbe> {
        let mut due = Vec::new();
        let awaiting: Vec<_> = self.servers.awaiting_probe().iter().copied().collect();
        for handle in awaiting {
            let Some(mut server) = self.servers.get_mut(handle) else {
                continue;
            };
            if server.liveness.probe_at().is_none_or(|at| now < at) {
                continue;
            }
            server.liveness = match server.liveness {
                Liveness::Suspect { .. } => Liveness::Suspect {
                    probe_at: now + SpanMs::new(REPROBE_DELAY_MS),
                },
                other => other.still_down(now),
            };
            if let Some(health_path) = health_path(&server.entry.service) {
                due.push(DueProbe {
                    server: server.entry.id.clone(),
                    address: server.entry.address,
                    health_path,
                });
            }
        }
        due
    }

    /// Records the result of a server's health probe.
    pub fn record_probe(&mut self, now: TimeMs, id: &ids::BackendServerId, result: ProbeResult) {
        let Some(mut server) = self.server_mut(id) else {
            return;
        };
        match result {
            ProbeResult::Healthy { warmup_left_ms } => {
                server.liveness = Liveness::Up;
                server.extend_warmup(now, warmup_left_ms);
            }
            ProbeResult::OtherServer => server.liveness = Liveness::Replaced,
            ProbeResult::NotSent => {}
            // The server responded, so it accepts connections, but whether it is cold is unknown.
            ProbeResult::Unhealthy => {
                server.liveness = Liveness::Suspect {
                    probe_at: now + SpanMs::new(REPROBE_DELAY_MS),
                };
            }
            ProbeResult::Refused | ProbeResult::NoAnswer => {
                if !matches!(server.liveness, Liveness::Replaced | Liveness::Down { .. }) {
                    server.liveness = Liveness::down(now);
                }
            }
        }
    }
}
