//! A table of all backend servers, with indexes that find servers by name, service, zone and state.

use std::collections::{BTreeSet, HashMap};
use std::ops::{Deref, DerefMut};

use damaskvane_core::ids;

use crate::pool::{
    Server, ServerHandle, ServerKey, ServerRest, ServiceServers, Topology, ZoneIndex,
};

/// The state of a server from which the indexes are derived.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct IndexKeys {
    service: Option<ids::ServiceId>,
    zone: Option<ZoneIndex>,
    slots: u32,
    accepts_work: bool,
    in_flight: usize,
    awaits_probe: bool,
    is_expiring: bool,
    has_unreported_state: bool,
    has_limit: bool,
    has_rest: bool,
}

impl IndexKeys {
    fn of(server: &Server, topology: &Topology) -> Self {
        let entry = &server.entry;
        Self {
            service: Some(entry.service.clone()),
            zone: topology.zone(&entry.zone),
            slots: entry.slots,
            accepts_work: server.accepts_work(),
            in_flight: server.in_flight(),
            awaits_probe: server.liveness.probe_at().is_some(),
            is_expiring: server.expires_at.is_some(),
            has_unreported_state: server.has_unreported_state(),
            has_limit: server.availability.limit.rate().is_some(),
            has_rest: server.availability.rest != ServerRest::default(),
        }
    }
}

#[derive(Debug)]
struct Row {
    server: Server,
    keys: IndexKeys,
}

/// All servers, with indexes. A request or a periodic task finds its servers here at a cost that doesn't grow with the
/// number of servers.
#[derive(Debug)]
pub(super) struct ServerTable {
    topology: Topology,
    rows: Vec<Option<Row>>,
    free: Vec<ServerHandle>,
    by_id: HashMap<ids::BackendServerId, ServerHandle>,
    by_key: HashMap<ServerKey, ServerHandle>,
    services: HashMap<ids::ServiceId, ServiceServers>,
    awaiting_probe: BTreeSet<ServerHandle>,
    expiring: BTreeSet<ServerHandle>,
    with_unreported_state: BTreeSet<ServerHandle>,
    in_use: BTreeSet<ServerHandle>,
    limited: BTreeSet<ServerHandle>,
    with_rest: BTreeSet<ServerHandle>,
}

/// Mutable access to a server of the table; dropping this value updates the table's indexes.
#[derive(Debug)]
pub struct ServerMut<'a> {
    table: &'a mut ServerTable,
    handle: ServerHandle,
}

impl Deref for ServerMut<'_> {
    type Target = Server;

    fn deref(&self) -> &Server {
        self.table.server(self.handle)
    }
}

impl DerefMut for ServerMut<'_> {
    fn deref_mut(&mut self) -> &mut Server {
        self.table.server_mut(self.handle)
    }
}

impl Drop for ServerMut<'_> {
    fn drop(&mut self) {
        self.table.update_indexes(self.handle);
    }
}

impl ServerTable {
    pub(super) fn new(topology: Topology) -> Self {
        Self {
            topology,
            rows: Vec::new(),
            free: Vec::new(),
            by_id: HashMap::new(),
            by_key: HashMap::new(),
            services: HashMap::new(),
            awaiting_probe: BTreeSet::new(),
            expiring: BTreeSet::new(),
            with_unreported_state: BTreeSet::new(),
            in_use: BTreeSet::new(),
            limited: BTreeSet::new(),
            with_rest: BTreeSet::new(),
        }
    }

    /// Rebuilds the table and its indexes with other zones and regions.
    pub(super) fn set_topology(
        &mut self,
        regions: &HashMap<ids::AvailabilityZoneId, ids::RegionId>,
    ) {
        let rows = core::mem::take(&mut self.rows);
        *self = Self::new(Topology::new(regions));
        for row in rows.into_iter().flatten() {
            let mut server = row.server;
            server.set_region(regions.get(&server.entry.zone).cloned());
            self.insert(server);
        }
    }

    pub(super) const fn topology(&self) -> &Topology {
        &self.topology
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn service(&self, id: &ids::ServiceId) -> Option<&ServiceServers> {
        self.services.get(id)
    }

    pub(super) fn handle(&self, id: &ids::BackendServerId) -> Option<ServerHandle> {
        self.by_id.get(id).copied()
    }

    pub(super) fn handle_of_key(&self, key: ServerKey) -> Option<ServerHandle> {
        self.by_key.get(&key).copied()
    }

    pub(super) fn get(&self, handle: ServerHandle) -> Option<&Server> {
        let row = self.rows.get(handle.index())?.as_ref()?;
        Some(&row.server)
    }

    pub(super) fn get_mut(&mut self, handle: ServerHandle) -> Option<ServerMut<'_>> {
        self.get(handle)?;
        Some(ServerMut {
            table: self,
            handle,
        })
    }

    pub(super) fn handles(&self) -> Vec<ServerHandle> {
        self.by_id.values().copied().collect()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Server> {
        let rows = self.rows.iter().flatten();
        rows.map(|row| &row.server)
    }

    /// Returns all servers, for changes that affect no index. The indexes are not updated.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        let rows = self.rows.iter_mut().flatten();
        rows.map(|row| &mut row.server)
    }

    /// Returns the servers for which a health probe is scheduled, due now or later.
    pub(super) const fn awaiting_probe(&self) -> &BTreeSet<ServerHandle> {
        &self.awaiting_probe
    }

    /// Returns the servers whose entry is missing after an outage of the platform's store and that are removed soon.
    pub(super) const fn expiring(&self) -> &BTreeSet<ServerHandle> {
        &self.expiring
    }

    /// Returns the servers with a load report or a change of health that was not sent to the zone's other instances
    /// yet.
    pub(super) const fn with_unreported_state(&self) -> &BTreeSet<ServerHandle> {
        &self.with_unreported_state
    }

    /// Returns the servers with requests of this instance in flight.
    pub(super) const fn in_use(&self) -> &BTreeSet<ServerHandle> {
        &self.in_use
    }

    /// Returns the servers that are known to limit the rate of their requests.
    pub(super) const fn limited(&self) -> &BTreeSet<ServerHandle> {
        &self.limited
    }

    /// Returns the servers that have asked this instance for a rest which is not known to be over.
    pub(super) const fn with_rest(&self) -> &BTreeSet<ServerHandle> {
        &self.with_rest
    }

    pub(super) fn insert(&mut self, server: Server) {
        let id = server.entry.id.clone();
        let row = Row {
            server,
            keys: IndexKeys::default(),
        };
        let handle = self.free.pop().unwrap_or_else(|| {
            self.rows.push(None);
            ServerHandle::new(self.rows.len() - 1)
        });
        self.rows[handle.index()] = Some(row);
        self.by_key.insert(ServerKey::of(&id), handle);
        self.by_id.insert(id, handle);
        self.update_indexes(handle);
    }

    pub(super) fn remove(&mut self, id: &ids::BackendServerId) {
        let Some(handle) = self.by_id.remove(id) else {
            return;
        };
        let key = ServerKey::of(id);
        if self.by_key.get(&key) == Some(&handle) {
            self.by_key.remove(&key);
        }
        if let Some(row) = self.rows[handle.index()].take() {
            self.replace_keys(id, handle, &row.keys, &IndexKeys::default());
            self.free.push(handle);
        }
    }

    fn server(&self, handle: ServerHandle) -> &Server {
        let row = self.rows[handle.index()].as_ref();
        &row.expect("a server with mutable access is in the table")
            .server
    }

    fn server_mut(&mut self, handle: ServerHandle) -> &mut Server {
        let row = self.rows[handle.index()].as_mut();
        &mut row
            .expect("a server with mutable access is in the table")
            .server
    }

    /// Updates the indexes after a change of a server.
    fn update_indexes(&mut self, handle: ServerHandle) {
        let Some(row) = self.rows[handle.index()].as_mut() else {
            return;
        };
        let load_sample = row.server.take_load_sample();
        let keys = IndexKeys::of(&row.server, &self.topology);
        let before = core::mem::replace(&mut row.keys, keys.clone());
        let id = row.server.entry.id.clone();
        if before != keys {
            self.replace_keys(&id, handle, &before, &keys);
        }
        if let (Some((at, per_slot)), Some(service), Some(zone)) =
            (load_sample, &keys.service, keys.zone)
            && let Some(servers) = self.services.get_mut(service)
        {
            let region = self.topology.region_of(zone);
            let load = servers.load_mut(region);
            load.record(at, per_slot);
            load.record_recent(handle);
        }
    }

    fn replace_keys(
        &mut self,
        id: &ids::BackendServerId,
        handle: ServerHandle,
        before: &IndexKeys,
        after: &IndexKeys,
    ) {
        let has_same_placement = before.service == after.service
            && before.zone == after.zone
            && before.slots == after.slots
            && before.accepts_work == after.accepts_work;
        if !has_same_placement {
            self.remove_from_zone(id, handle, before);
            self.add_to_zone(id, handle, after);
        }
        self.update_in_flight(before, after);
        set_membership(&mut self.awaiting_probe, handle, after.awaits_probe);
        set_membership(&mut self.expiring, handle, after.is_expiring);
        set_membership(
            &mut self.with_unreported_state,
            handle,
            after.has_unreported_state,
        );
        set_membership(&mut self.in_use, handle, after.in_flight > 0);
        set_membership(&mut self.limited, handle, after.has_limit);
        set_membership(&mut self.with_rest, handle, after.has_rest);
    }

    fn remove_from_zone(
        &mut self,
        id: &ids::BackendServerId,
        handle: ServerHandle,
        keys: &IndexKeys,
    ) {
        let (Some(service), Some(zone)) = (&keys.service, keys.zone) else {
            return;
        };
        let Some(servers) = self.services.get_mut(service).filter(|_| keys.accepts_work) else {
            return;
        };
        let zone_servers = servers.zone_mut(zone);
        zone_servers.ring.remove(id, handle, keys.slots);
        zone_servers.servers -= 1;
        zone_servers.slots -= u64::from(keys.slots);
    }

    fn add_to_zone(&mut self, id: &ids::BackendServerId, handle: ServerHandle, keys: &IndexKeys) {
        let (Some(service), Some(zone)) = (&keys.service, keys.zone) else {
            return;
        };
        let topology = &self.topology;
        let servers = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceServers::new(topology));
        if !keys.accepts_work {
            return;
        }
        let zone_servers = servers.zone_mut(zone);
        zone_servers.ring.insert(id, handle, keys.slots);
        zone_servers.servers += 1;
        zone_servers.slots += u64::from(keys.slots);
    }

    fn update_in_flight(&mut self, before: &IndexKeys, after: &IndexKeys) {
        for (keys, is_after) in [(before, false), (after, true)] {
            let (Some(service), Some(zone)) = (&keys.service, keys.zone) else {
                continue;
            };
            let region = self.topology.region_of(zone);
            if let Some(servers) = self.services.get_mut(service) {
                let (removed, added) = if is_after {
                    (0, keys.in_flight)
                } else {
                    (keys.in_flight, 0)
                };
                servers.load_mut(region).change_in_flight(removed, added);
            }
        }
    }
}

fn set_membership(handles: &mut BTreeSet<ServerHandle>, handle: ServerHandle, is_in: bool) {
    if is_in {
        handles.insert(handle);
    } else {
        handles.remove(&handle);
    }
}
