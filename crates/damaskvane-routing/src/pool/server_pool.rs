//! The pool of all backend servers with an entry in the platform's store, with evacuated zones and pending probes.
//!
//! An evacuated zone is a zone whose servers get no requests. A server is cold after its start, for the warm-up time of
//! its service, and gets few requests. A suspect server may have restarted and counts as cold.

mod limits;
mod probing;
mod retained;
mod statements;

use std::collections::{BTreeSet, HashMap};

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::pool::server_pool::limits::EarlyLimits;
use crate::pool::server_pool::retained::RetainedStatements;
use crate::pool::server_table::ServerTable;
use crate::pool::{
    PeerServerReport, PoolSettings, Server, ServerEntry, ServerHandle, ServerKey, ServerMut,
    ServerState, ServiceServers, Topology, ZoneIndex,
};

/// A change of a server in the pool, which the caller logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The server was added.
    Joined(ids::BackendServerId),
    /// The server has restarted under the same name.
    Restarted(ids::BackendServerId),
    /// The server has begun to reject new requests while it finishes those in progress.
    Draining(ids::BackendServerId),
    /// The server was removed.
    Gone(ids::BackendServerId),
    /// The server's entry is missing after a store outage; the server is used until the grace time ends.
    Expiring(ids::BackendServerId),
}

impl Change {
    /// Returns the server that changed.
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

    /// Returns the label for logs.
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

/// The backend servers, the evacuated zones, and the time until which removals are deferred after a store outage.
#[derive(Debug)]
pub struct ServerPool {
    settings: PoolSettings,
    servers: ServerTable,
    evacuated: BTreeSet<ids::AvailabilityZoneId>,
    /// Time until which a server whose entry is missing is retained, because the entry may have expired only because
    /// the server couldn't write it during a store outage.
    removals_deferred_until: TimeMs,
    warmup_ms: HashMap<ids::ServiceId, u64>,
    /// Limits that other instances have reported of servers which this instance does not know yet.
    early_limits: EarlyLimits,
    /// What servers have said that are not in the pool.
    retained: RetainedStatements,
}

impl ServerPool {
    /// Returns an empty pool.
    #[must_use]
    pub fn new(settings: PoolSettings) -> Self {
        let topology = Topology::new(&settings.regions);
        Self {
            settings,
            servers: ServerTable::new(topology),
            evacuated: BTreeSet::new(),
            removals_deferred_until: TimeMs::ZERO,
            warmup_ms: HashMap::new(),
            early_limits: EarlyLimits::default(),
            retained: RetainedStatements::default(),
        }
    }

    /// Returns the current settings.
    #[must_use]
    pub const fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Replaces the settings; a change of regions rebuilds the indexes of all servers.
    pub fn set_settings(&mut self, settings: PoolSettings) {
        if settings.regions != self.settings.regions {
            self.servers.set_topology(&settings.regions);
        }
        self.settings = settings;
    }

    /// Returns the zones and regions of the deployment.
    #[must_use]
    pub const fn topology(&self) -> &Topology {
        self.servers.topology()
    }

    /// Returns all servers, including servers that accept no new requests.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter()
    }

    /// Returns the number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the pool contains no server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.len() == 0
    }

    /// Returns the servers of a service that accept new requests, or `None` if no server of the service was ever added.
    #[must_use]
    pub fn service(&self, id: &ids::ServiceId) -> Option<&ServiceServers> {
        self.servers.service(id)
    }

    /// Returns the server with this name, or `None` if the pool has no such server.
    #[must_use]
    pub fn server(&self, id: &ids::BackendServerId) -> Option<&Server> {
        self.servers.get(self.servers.handle(id)?)
    }

    /// Returns mutable access to the server with this name, or `None` if the pool has no such server.
    pub fn server_mut(&mut self, id: &ids::BackendServerId) -> Option<ServerMut<'_>> {
        let handle = self.servers.handle(id)?;
        self.servers.get_mut(handle)
    }

    /// Returns the handle of the server with this name, or `None` if the pool has no such server.
    #[must_use]
    pub fn handle(&self, id: &ids::BackendServerId) -> Option<ServerHandle> {
        self.servers.handle(id)
    }

    /// Returns the server with this handle, or `None` if the server was removed.
    #[must_use]
    pub fn at(&self, handle: ServerHandle) -> Option<&Server> {
        self.servers.get(handle)
    }

    /// Removes and returns at most `max_reports` reports of busy and unhealthy servers, to send to the zone's other
    /// instances.
    ///
    /// Reports with a change of health come first, then those with the longest queues. Failures after `contact_at`, the
    /// last sign of life of any server, are not reported: they may be this instance's own, as all are if it is `None`.
    pub fn take_server_reports(
        &mut self,
        now: TimeMs,
        max_reports: usize,
        contact_at: Option<TimeMs>,
    ) -> Vec<PeerServerReport> {
        let with_unreported_state = self.servers.with_unreported_state().iter();
        // A request that gets no response yields no new state until it ends, so servers with requests in flight are
        // checked too.
        let in_use = self.servers.in_use().iter();
        let candidates: BTreeSet<ServerHandle> =
            with_unreported_state.chain(in_use).copied().collect();
        let candidates = candidates.into_iter();
        let mut reports: Vec<_> = candidates
            .filter_map(|handle| self.servers.get_mut(handle)?.take_report(now, contact_at))
            .collect();
        reports.sort_by_key(|report| {
            let waiting = report.load.map_or(0, |load| load.waiting);
            std::cmp::Reverse((report.health.is_some(), waiting))
        });
        reports.truncate(max_reports);
        reports
    }

    /// Applies reports of servers received from another instance of the zone.
    pub fn apply_server_reports(&mut self, now: TimeMs, reports: &[PeerServerReport]) {
        for report in reports {
            let handle = self.servers.handle_of_key(report.server);
            if let Some(mut server) = handle.and_then(|handle| self.servers.get_mut(handle)) {
                server.apply_peer_report(now, report);
            }
        }
    }

    /// Returns whether the zone is evacuated, so that its servers get no requests.
    #[must_use]
    pub fn is_evacuated(&self, zone: ZoneIndex) -> bool {
        !self.evacuated.is_empty() && self.evacuated.contains(self.topology().zone_id(zone))
    }

    /// Sets the warm-up time, in milliseconds after a server's start, of each service's servers.
    pub fn set_warmups(&mut self, warmups: impl IntoIterator<Item = (ids::ServiceId, u64)>) {
        self.warmup_ms = warmups.into_iter().collect();
    }

    /// Handles the return of the store after an outage.
    ///
    /// Removals are deferred by the grace time, because servers whose entries expired during the outage may write
    /// their entries again.
    pub fn store_returned(&mut self, now: TimeMs) {
        self.removals_deferred_until = now + SpanMs::new(self.settings.expiry_grace_ms);
    }

    /// Applies the entry of a server, unless the entry is older than the known one. Returns the change to log, if any.
    pub fn apply(&mut self, now: TimeMs, entry: ServerEntry) -> Option<Change> {
        let id = entry.id.clone();
        let is_draining = entry.state == ServerState::Draining;
        let Some(mut server) = self.server_mut(&id) else {
            let region = self.settings.regions.get(&entry.zone).cloned();
            let said = self.retained.take(&entry);
            let mut server = Server::new(now, entry, region);
            server.availability = said.unwrap_or(server.availability);
            let key = ServerKey::of(&id);
            if let Some(until) = self.retained.take_rest_of_other(key) {
                let rest = &mut server.availability.rest;
                rest.defer_return(now, until.since(now));
            }
            self.early_limits.apply(now, &mut server);
            self.servers.insert(server);
            return Some(Change::Joined(id));
        };
        if entry.is_older_than(&server.entry) {
            return None;
        }
        server.expires_at = None;
        if entry == server.entry {
            // The same entry was read again. Its warm-up time counts from the first time that the entry was applied.
            return None;
        }
        let has_restarted = entry.started_unix_ms > server.entry.started_unix_ms
            || entry.address != server.entry.address;
        let was_draining = server.entry.state == ServerState::Draining;
        server.extend_warmup(now, entry.warmup_left_ms);
        server.entry = entry;
        if has_restarted {
            server.reset_after_restart(now);
            drop(server);
            self.apply_early_leaving(&id);
            return Some(Change::Restarted(id));
        }
        (is_draining && !was_draining).then_some(Change::Draining(id))
    }

    /// Handles the removal of a server's entry from the store. Returns the change to log, if any.
    ///
    /// Entries expire while the store is unavailable. If such removals were applied at once, the pool would be
    /// empty and clients would receive no response although every server is alive.
    pub fn remove(&mut self, now: TimeMs, id: &ids::BackendServerId) -> Option<Change> {
        let deferred_until = self.removals_deferred_until;
        let mut server = self.server_mut(id)?;
        let is_draining = server.entry.state == ServerState::Draining;
        if now < deferred_until && !is_draining {
            server.expires_at.get_or_insert(deferred_until);
            return Some(Change::Expiring(id.clone()));
        }
        drop(server);
        self.remove_now(now, id);
        Some(Change::Gone(id.clone()))
    }

    fn remove_now(&mut self, now: TimeMs, id: &ids::BackendServerId) {
        let handle = self.servers.handle(id);
        if let Some(server) = handle.and_then(|handle| self.servers.get(handle)) {
            self.retained.keep(now, server);
        }
        self.servers.remove(id);
    }

    /// Applies a complete list of entries; servers that aren't listed are removed.
    pub fn replace(
        &mut self,
        now: TimeMs,
        entries: impl IntoIterator<Item = ServerEntry>,
    ) -> Vec<Change> {
        let mut listed = BTreeSet::new();
        let mut changes = Vec::new();
        for entry in entries {
            listed.insert(entry.id.clone());
            changes.extend(self.apply(now, entry));
        }
        let known = self.servers().map(|server| &server.entry.id);
        let missing: Vec<_> = known.filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            changes.extend(self.remove(now, &id));
        }
        changes
    }

    /// Removes the servers whose grace time after a store outage has ended, and forgets rests that are over.
    pub fn expire(&mut self, now: TimeMs) -> Vec<Change> {
        self.forget_rests(now);
        let expiring = self.servers.expiring().iter();
        let expired: Vec<_> = expiring
            .filter_map(|handle| self.at(*handle))
            .filter(|server| server.expires_at.is_some_and(|at| at <= now))
            .map(|server| server.entry.id.clone())
            .collect();
        for id in &expired {
            self.remove_now(now, id);
        }
        expired.into_iter().map(Change::Gone).collect()
    }

    /// Replaces the set of evacuated zones; returns the zones that were evacuated before and no longer are.
    ///
    /// Servers of a restored zone may have become cold during the evacuation, so they count as cold for a whole
    /// warm-up. Otherwise the zone's full load would crash them in the first second.
    pub fn set_evacuated(
        &mut self,
        now: TimeMs,
        zones: BTreeSet<ids::AvailabilityZoneId>,
    ) -> Vec<ids::AvailabilityZoneId> {
        let restored: Vec<_> = self.evacuated.difference(&zones).cloned().collect();
        for server in self.servers.iter_mut() {
            if restored.contains(&server.entry.zone) {
                let warmup_ms = self.warmup_ms.get(&server.entry.service).copied();
                server.extend_warmup(now, warmup_ms.unwrap_or_default());
            }
        }
        self.evacuated = zones;
        restored
    }
}
