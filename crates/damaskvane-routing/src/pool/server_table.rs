//! Servers by name and by place, with what is found of them without a look at each.

use std::collections::{BTreeSet, HashMap};
use std::ops::{Deref, DerefMut};

use damaskvane_core::ids;

use crate::pool::{
    Liveness, Server, ServerHandle, ServerKey, ServerState, ServiceServers, Topology, ZoneIndex,
};

/// What the indexes hold of a server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Facts {
    service: Option<ids::ServiceId>,
    zone: Option<ZoneIndex>,
    slots: u32,
    takes_work: bool,
    in_flight: usize,
    awaits_probe: bool,
    is_lapsing: bool,
    has_news: bool,
}

impl Facts {
    fn of(server: &Server, topology: &Topology) -> Self {
        let entry = &server.entry;
        Self {
            service: Some(entry.service.clone()),
            zone: topology.zone(&entry.zone),
            slots: entry.slots,
            takes_work: entry.state == ServerState::Ready
                && matches!(server.liveness, Liveness::Up | Liveness::Doubtful { .. }),
            in_flight: server.in_flight(),
            awaits_probe: server.liveness.probe_at().is_some(),
            is_lapsing: server.lapses_at.is_some(),
            has_news: server.has_news(),
        }
    }
}

#[derive(Debug)]
struct Held {
    server: Server,
    facts: Facts,
}

/// All servers. What an instance does for a request or at each tick finds its servers here, at a cost that
/// doesn't grow with their number.
#[derive(Debug)]
pub(super) struct ServerTable {
    topology: Topology,
    places: Vec<Option<Held>>,
    free: Vec<ServerHandle>,
    by_id: HashMap<ids::BackendServerId, ServerHandle>,
    by_key: HashMap<ServerKey, ServerHandle>,
    services: HashMap<ids::ServiceId, ServiceServers>,
    awaiting_probe: BTreeSet<ServerHandle>,
    lapsing: BTreeSet<ServerHandle>,
    with_news: BTreeSet<ServerHandle>,
    in_use: BTreeSet<ServerHandle>,
}

/// A server that is being changed; the indexes follow when it is let go.
#[derive(Debug)]
pub struct ServerMut<'a> {
    table: &'a mut ServerTable,
    handle: ServerHandle,
}

impl Deref for ServerMut<'_> {
    type Target = Server;

    fn deref(&self) -> &Server {
        self.table.held(self.handle)
    }
}

impl DerefMut for ServerMut<'_> {
    fn deref_mut(&mut self) -> &mut Server {
        self.table.held_mut(self.handle)
    }
}

impl Drop for ServerMut<'_> {
    fn drop(&mut self) {
        self.table.index(self.handle);
    }
}

impl ServerTable {
    pub(super) fn new(topology: Topology) -> Self {
        Self {
            topology,
            places: Vec::new(),
            free: Vec::new(),
            by_id: HashMap::new(),
            by_key: HashMap::new(),
            services: HashMap::new(),
            awaiting_probe: BTreeSet::new(),
            lapsing: BTreeSet::new(),
            with_news: BTreeSet::new(),
            in_use: BTreeSet::new(),
        }
    }

    /// Places all servers anew, in other zones and regions.
    pub(super) fn set_topology(
        &mut self,
        regions: &HashMap<ids::AvailabilityZoneId, ids::RegionId>,
    ) {
        let places = core::mem::take(&mut self.places);
        *self = Self::new(Topology::new(regions));
        for held in places.into_iter().flatten() {
            let mut server = held.server;
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
        let held = self.places.get(handle.place())?.as_ref()?;
        Some(&held.server)
    }

    pub(super) fn get_mut(&mut self, handle: ServerHandle) -> Option<ServerMut<'_>> {
        self.get(handle)?;
        Some(ServerMut {
            table: self,
            handle,
        })
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Server> {
        let held = self.places.iter().flatten();
        held.map(|held| &held.server)
    }

    /// All servers, to change what no index holds.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        let held = self.places.iter_mut().flatten();
        held.map(|held| &mut held.server)
    }

    /// Servers that are to be probed.
    pub(super) const fn awaiting_probe(&self) -> &BTreeSet<ServerHandle> {
        &self.awaiting_probe
    }

    /// Servers whose entry is missing.
    pub(super) const fn lapsing(&self) -> &BTreeSet<ServerHandle> {
        &self.lapsing
    }

    /// Servers that said something which the zone wasn't told yet.
    pub(super) const fn with_news(&self) -> &BTreeSet<ServerHandle> {
        &self.with_news
    }

    /// Servers with requests of this instance.
    pub(super) const fn in_use(&self) -> &BTreeSet<ServerHandle> {
        &self.in_use
    }

    pub(super) fn insert(&mut self, server: Server) {
        let id = server.entry.id.clone();
        let held = Held {
            server,
            facts: Facts::default(),
        };
        let handle = self.free.pop().unwrap_or_else(|| {
            self.places.push(None);
            ServerHandle::new(self.places.len() - 1)
        });
        self.places[handle.place()] = Some(held);
        self.by_key.insert(ServerKey::of(&id), handle);
        self.by_id.insert(id, handle);
        self.index(handle);
    }

    pub(super) fn remove(&mut self, id: &ids::BackendServerId) {
        let Some(handle) = self.by_id.remove(id) else {
            return;
        };
        let key = ServerKey::of(id);
        if self.by_key.get(&key) == Some(&handle) {
            self.by_key.remove(&key);
        }
        if let Some(held) = self.places[handle.place()].take() {
            self.replace_facts(id, handle, &held.facts, &Facts::default());
            self.free.push(handle);
        }
    }

    fn held(&self, handle: ServerHandle) -> &Server {
        let held = self.places[handle.place()].as_ref();
        &held
            .expect("a server that is being changed is there")
            .server
    }

    fn held_mut(&mut self, handle: ServerHandle) -> &mut Server {
        let held = self.places[handle.place()].as_mut();
        &mut held
            .expect("a server that is being changed is there")
            .server
    }

    /// Lets the indexes follow a server.
    fn index(&mut self, handle: ServerHandle) {
        let Some(held) = self.places[handle.place()].as_mut() else {
            return;
        };
        let word = held.server.take_fresh_load();
        let facts = Facts::of(&held.server, &self.topology);
        let before = core::mem::replace(&mut held.facts, facts.clone());
        let id = held.server.entry.id.clone();
        if before != facts {
            self.replace_facts(&id, handle, &before, &facts);
        }
        if let (Some((at, per_slot)), Some(service), Some(zone)) =
            (word, &facts.service, facts.zone)
            && let Some(servers) = self.services.get_mut(service)
        {
            let region = self.topology.region_of(zone);
            servers.load_mut(region).note(at, per_slot);
        }
    }

    fn replace_facts(
        &mut self,
        id: &ids::BackendServerId,
        handle: ServerHandle,
        before: &Facts,
        after: &Facts,
    ) {
        let is_placed_alike = before.service == after.service
            && before.zone == after.zone
            && before.slots == after.slots
            && before.takes_work == after.takes_work;
        if !is_placed_alike {
            self.take_out(id, handle, before);
            self.put_in(id, handle, after);
        }
        self.move_flights(before, after);
        set(&mut self.awaiting_probe, handle, after.awaits_probe);
        set(&mut self.lapsing, handle, after.is_lapsing);
        set(&mut self.with_news, handle, after.has_news);
        set(&mut self.in_use, handle, after.in_flight > 0);
    }

    fn take_out(&mut self, id: &ids::BackendServerId, handle: ServerHandle, facts: &Facts) {
        let (Some(service), Some(zone)) = (&facts.service, facts.zone) else {
            return;
        };
        let Some(servers) = self.services.get_mut(service).filter(|_| facts.takes_work) else {
            return;
        };
        let of_zone = servers.zone_mut(zone);
        of_zone.ring.remove(id, handle, facts.slots);
        of_zone.servers -= 1;
        of_zone.slots -= u64::from(facts.slots);
    }

    fn put_in(&mut self, id: &ids::BackendServerId, handle: ServerHandle, facts: &Facts) {
        let (Some(service), Some(zone)) = (&facts.service, facts.zone) else {
            return;
        };
        let topology = &self.topology;
        let servers = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceServers::new(topology));
        if !facts.takes_work {
            return;
        }
        let of_zone = servers.zone_mut(zone);
        of_zone.ring.insert(id, handle, facts.slots);
        of_zone.servers += 1;
        of_zone.slots += u64::from(facts.slots);
    }

    fn move_flights(&mut self, before: &Facts, after: &Facts) {
        for (facts, is_after) in [(before, false), (after, true)] {
            let (Some(service), Some(zone)) = (&facts.service, facts.zone) else {
                continue;
            };
            let region = self.topology.region_of(zone);
            if let Some(servers) = self.services.get_mut(service) {
                let (gone, come) = if is_after {
                    (0, facts.in_flight)
                } else {
                    (facts.in_flight, 0)
                };
                servers.load_mut(region).change_in_flight(gone, come);
            }
        }
    }
}

fn set(handles: &mut BTreeSet<ServerHandle>, handle: ServerHandle, is_in: bool) {
    if is_in {
        handles.insert(handle);
    } else {
        handles.remove(&handle);
    }
}
