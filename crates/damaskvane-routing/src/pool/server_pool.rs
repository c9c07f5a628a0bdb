//! All backend servers, as the store names them.

use std::collections::{BTreeSet, HashMap};

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::pool::server_table::ServerTable;
use crate::pool::{
    DueProbe, Liveness, PeerServerReport, PoolSettings, ProbeResult, Server, ServerEntry,
    ServerHandle, ServerMut, ServerState, ServiceServers, Topology, ZoneIndex,
};

/// What a piece of news changed, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The server is new.
    Joined(ids::BackendServerId),
    /// The server has restarted under its name.
    Restarted(ids::BackendServerId),
    /// The server takes no new work.
    Draining(ids::BackendServerId),
    /// The server is gone.
    Gone(ids::BackendServerId),
    /// The entry is missing after an outage of the store; the server is used until its grace ends.
    Expiring(ids::BackendServerId),
}

impl Change {
    /// The server that changed.
    #[must_use]
    pub const fn server(&self) -> &ids::BackendServerId {
        match self {
            Self::Joined(id)
            | Self::Restarted(id)
            | Self::Draining(id)
            | Self::Gone(id)
            | Self::Expiring(id) => id,
        }
    }

    /// The change as a word for logs.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Joined(_) => "joined",
            Self::Restarted(_) => "restarted",
            Self::Draining(_) => "draining",
            Self::Gone(_) => "gone",
            Self::Expiring(_) => "lapsing",
        }
    }
}

/// The backend servers, the zones that are evacuated, and when the store was last away.
#[derive(Debug)]
pub struct ServerPool {
    settings: PoolSettings,
    servers: ServerTable,
    evacuated: BTreeSet<ids::AvailabilityZoneId>,
    /// Until when a missing entry may have lapsed only because the store was away.
    lapses_excused_until: TimeMs,
    warmup_ms: HashMap<ids::ServiceId, u64>,
}

impl ServerPool {
    /// An empty pool.
    #[must_use]
    pub fn new(settings: PoolSettings) -> Self {
        let topology = Topology::new(&settings.regions);
        Self {
            settings,
            servers: ServerTable::new(topology),
            evacuated: BTreeSet::new(),
            lapses_excused_until: TimeMs::ZERO,
            warmup_ms: HashMap::new(),
        }
    }

    /// The settings.
    #[must_use]
    pub const fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Takes over changed settings.
    pub fn set_settings(&mut self, settings: PoolSettings) {
        if settings.regions != self.settings.regions {
            self.servers.set_topology(&settings.regions);
        }
        self.settings = settings;
    }

    /// The zones and regions of the deployment.
    #[must_use]
    pub const fn topology(&self) -> &Topology {
        self.servers.topology()
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter()
    }

    /// The number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.len() == 0
    }

    /// The servers of a service that take new work.
    #[must_use]
    pub fn service(&self, id: &ids::ServiceId) -> Option<&ServiceServers> {
        self.servers.service(id)
    }

    /// One server.
    #[must_use]
    pub fn server(&self, id: &ids::BackendServerId) -> Option<&Server> {
        self.servers.get(self.servers.handle(id)?)
    }

    /// One server, to note something of it.
    pub fn server_mut(&mut self, id: &ids::BackendServerId) -> Option<ServerMut<'_>> {
        let handle = self.servers.handle(id)?;
        self.servers.get_mut(handle)
    }

    /// A server's short name.
    #[must_use]
    pub fn handle(&self, id: &ids::BackendServerId) -> Option<ServerHandle> {
        self.servers.handle(id)
    }

    /// A server by its short name.
    #[must_use]
    pub fn at(&self, handle: ServerHandle) -> Option<&Server> {
        self.servers.get(handle)
    }

    /// What the zone is to hear of busy and unwell servers, those with the longest queues first.
    pub fn take_server_reports(&mut self, now: TimeMs, most: usize) -> Vec<PeerServerReport> {
        let with_news = self.servers.with_news().iter();
        // An exchange that hangs shows nothing new until it ends, so servers in use are looked at too.
        let in_use = self.servers.in_use().iter();
        let looked_at: BTreeSet<ServerHandle> = with_news.chain(in_use).copied().collect();
        let looked_at = looked_at.into_iter();
        let mut told: Vec<_> = looked_at
            .filter_map(|handle| self.servers.get_mut(handle)?.tell(now))
            .collect();
        told.sort_by_key(|told| {
            let waiting = told.load.map_or(0, |load| load.waiting);
            std::cmp::Reverse((told.health.is_some(), waiting))
        });
        told.truncate(most);
        told
    }

    /// Takes in what another instance of the zone tells of servers.
    pub fn apply_server_reports(&mut self, now: TimeMs, told: &[PeerServerReport]) {
        for told in told {
            let handle = self.servers.handle_of_key(told.server);
            if let Some(mut server) = handle.and_then(|handle| self.servers.get_mut(handle)) {
                server.apply_server_reports(now, told);
            }
        }
    }

    /// Whether the zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, zone: ZoneIndex) -> bool {
        !self.evacuated.is_empty() && self.evacuated.contains(self.topology().zone_id(zone))
    }

    /// Tells how long servers of each service are cold after a start.
    pub fn set_warmups(&mut self, warmups: impl IntoIterator<Item = (ids::ServiceId, u64)>) {
        self.warmup_ms = warmups.into_iter().collect();
    }

    /// The store answers again after it was away: entries that lapsed meanwhile may come back.
    pub fn store_returned(&mut self, now: TimeMs) {
        self.lapses_excused_until = now + SpanMs::new(self.settings.expiry_grace_ms);
    }

    /// Takes in one server's entry.
    pub fn apply(&mut self, now: TimeMs, entry: ServerEntry) -> Option<Change> {
        let id = entry.id.clone();
        let is_draining = entry.state == ServerState::Draining;
        let Some(mut server) = self.server_mut(&id) else {
            let region = self.settings.regions.get(&entry.zone).cloned();
            self.servers.insert(Server::new(now, entry, region));
            return Some(Change::Joined(id));
        };
        if entry.is_older_than(&server.entry) {
            return None;
        }
        server.lapses_at = None;
        if entry == server.entry {
            // Read once more; the cold time that it names has passed since it was written.
            return None;
        }
        let has_restarted = entry.started_unix_ms > server.entry.started_unix_ms
            || entry.address != server.entry.address;
        let was_draining = server.entry.state == ServerState::Draining;
        server.extend_warmup(now, entry.warmup_left_ms);
        server.entry = entry;
        if has_restarted {
            server.restarted(now);
            return Some(Change::Restarted(id));
        }
        (is_draining && !was_draining).then_some(Change::Draining(id))
    }

    /// Takes in that a server's entry was removed.
    ///
    /// Entries lapse while the store is away. Taken at their word, such removals would empty the pool
    /// and leave clients without an answer although every server lives.
    pub fn remove(&mut self, now: TimeMs, id: &ids::BackendServerId) -> Option<Change> {
        let excused_until = self.lapses_excused_until;
        let mut server = self.server_mut(id)?;
        let is_draining = server.entry.state == ServerState::Draining;
        if now < excused_until && !is_draining {
            server.lapses_at.get_or_insert(excused_until);
            return Some(Change::Expiring(id.clone()));
        }
        drop(server);
        self.servers.remove(id);
        Some(Change::Gone(id.clone()))
    }

    /// Takes in a complete list; servers that it doesn't name are removed.
    pub fn replace(
        &mut self,
        now: TimeMs,
        entries: impl IntoIterator<Item = ServerEntry>,
    ) -> Vec<Change> {
        let mut named = BTreeSet::new();
        let mut changes = Vec::new();
        for entry in entries {
            named.insert(entry.id.clone());
            changes.extend(self.apply(now, entry));
        }
        let known = self.servers().map(|server| &server.entry.id);
        let missing: Vec<_> = known.filter(|id| !named.contains(*id)).cloned().collect();
        for id in missing {
            changes.extend(self.remove(now, &id));
        }
        changes
    }

    /// Lets go the servers whose grace after an outage has ended.
    pub fn expire(&mut self, now: TimeMs) -> Vec<Change> {
        let lapsing = self.servers.lapsing().iter();
        let lapsed: Vec<_> = lapsing
            .filter_map(|handle| self.at(*handle))
            .filter(|server| server.lapses_at.is_some_and(|at| at <= now))
            .map(|server| server.entry.id.clone())
            .collect();
        for id in &lapsed {
            self.servers.remove(id);
        }
        lapsed.into_iter().map(Change::Gone).collect()
    }

    /// Takes in which zones are evacuated; returns the zones taken back.
    ///
    /// Servers of a zone that is taken back may have become cold meanwhile, so they count as cold for a
    /// whole warm-up: otherwise the first second of the zone's full load would crash them.
    pub fn set_evacuated(
        &mut self,
        now: TimeMs,
        zones: BTreeSet<ids::AvailabilityZoneId>,
    ) -> Vec<ids::AvailabilityZoneId> {
        let taken_back: Vec<_> = self.evacuated.difference(&zones).cloned().collect();
        for server in self.servers.iter_mut() {
            if taken_back.contains(&server.entry.zone) {
                let warmup_ms = self.warmup_ms.get(&server.entry.service).copied();
                server.extend_warmup(now, warmup_ms.unwrap_or_default());
            }
        }
        self.evacuated = zones;
        taken_back
    }

    /// The probes that are to be sent now; each is pushed back so that it is sent once.
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
                Liveness::Doubtful { .. } => Liveness::Doubtful {
                    probe_at: now + SpanMs::new(PROBE_AGAIN_MS),
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

    /// Takes in what a probe found.
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
            // It answers, so it can be reached; whether it is cold stays open.
            ProbeResult::Unhealthy => {
                server.liveness = Liveness::Doubtful {
                    probe_at: now + SpanMs::new(PROBE_AGAIN_MS),
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

/// The pause before a server in doubt is asked once more.
const PROBE_AGAIN_MS: u64 = 1_000;
