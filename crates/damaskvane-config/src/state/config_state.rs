//! The declarations of all objects of one version.
//!
//! ```
//! use damaskvane_config::state;
//!
//! let state = state::ConfigState::default();
//! assert_eq!(state.version().get(), 0);
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, units};

use crate::declaration::{
    AvailabilityZone, BackendServer, ClientBlocks, Declaration, Link, Region, Service, Shift, Site,
};
use crate::object::{ObjectId, ObjectKind, ObjectName};

/// All declarations of one version, by kind and name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigState {
    version: ids::ConfigVersion,
    regions: BTreeMap<ids::RegionId, Region>,
    availability_zones: BTreeMap<ids::AvailabilityZoneId, AvailabilityZone>,
    services: BTreeMap<ids::ServiceId, Service>,
    backend_servers: BTreeMap<ids::BackendServerId, BackendServer>,
    links: BTreeMap<ObjectName, Link>,
    client_blocks: BTreeMap<ObjectName, ClientBlocks>,
    sites: BTreeMap<ids::SiteId, Site>,
    shifts: BTreeMap<ObjectName, Shift>,
}

impl ConfigState {
    /// Returns the state of a version with these objects, not yet validated.
    pub(super) fn new(
        version: ids::ConfigVersion,
        objects: impl IntoIterator<Item = (ObjectId, Declaration)>,
    ) -> Self {
        let mut state = Self {
            version,
            ..Self::default()
        };
        for (id, declaration) in objects {
            state.insert(&id, declaration);
        }
        state
    }

    fn insert(&mut self, id: &ObjectId, declaration: Declaration) {
        let name = id.name().clone();
        match declaration {
            Declaration::Region(region) => insert(&mut self.regions, &name, region),
            Declaration::AvailabilityZone(zone) => {
                insert(&mut self.availability_zones, &name, zone);
            }
            Declaration::Service(service) => insert(&mut self.services, &name, service),
            Declaration::BackendServer(server) => {
                insert(&mut self.backend_servers, &name, server);
            }
            Declaration::Site(site) => insert(&mut self.sites, &name, site),
            Declaration::Link(link) => _ = self.links.insert(name, link),
            Declaration::ClientBlocks(blocks) => _ = self.client_blocks.insert(name, blocks),
            Declaration::Shift(shift) => _ = self.shifts.insert(name, shift),
        }
    }

    /// Returns the declaration of one object; client block names are shared, not copied.
    #[must_use]
    pub fn declaration(&self, id: &ObjectId) -> Option<Declaration> {
        let name = id.name();
        Some(match id.kind() {
            ObjectKind::Region => Declaration::Region(get(&self.regions, name)?),
            ObjectKind::AvailabilityZone => {
                Declaration::AvailabilityZone(get(&self.availability_zones, name)?)
            }
            ObjectKind::Service => Declaration::Service(get(&self.services, name)?),
            ObjectKind::BackendServer => {
                Declaration::BackendServer(get(&self.backend_servers, name)?)
            }
            ObjectKind::Link => Declaration::Link(get(&self.links, name)?),
            ObjectKind::ClientBlocks => Declaration::ClientBlocks(get(&self.client_blocks, name)?),
            ObjectKind::Site => Declaration::Site(get(&self.sites, name)?),
            ObjectKind::Shift => Declaration::Shift(get(&self.shifts, name)?),
        })
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> ids::ConfigVersion {
        self.version
    }

    /// Returns the regions by id.
    #[must_use]
    pub const fn regions(&self) -> &BTreeMap<ids::RegionId, Region> {
        &self.regions
    }

    /// Returns the availability zones by id.
    #[must_use]
    pub const fn availability_zones(&self) -> &BTreeMap<ids::AvailabilityZoneId, AvailabilityZone> {
        &self.availability_zones
    }

    /// Returns the services by id.
    #[must_use]
    pub const fn services(&self) -> &BTreeMap<ids::ServiceId, Service> {
        &self.services
    }

    /// Returns the backend servers by id.
    #[must_use]
    pub const fn backend_servers(&self) -> &BTreeMap<ids::BackendServerId, BackendServer> {
        &self.backend_servers
    }

    /// Returns the links between regions by name.
    #[must_use]
    pub const fn links(&self) -> &BTreeMap<ObjectName, Link> {
        &self.links
    }

    /// Returns the sets of client blocks by name.
    #[must_use]
    pub const fn client_blocks(&self) -> &BTreeMap<ObjectName, ClientBlocks> {
        &self.client_blocks
    }

    /// Returns the sites by id.
    #[must_use]
    pub const fn sites(&self) -> &BTreeMap<ids::SiteId, Site> {
        &self.sites
    }

    /// Returns the planned moves of traffic by name.
    #[must_use]
    pub const fn shifts(&self) -> &BTreeMap<ObjectName, Shift> {
        &self.shifts
    }

    /// Returns the first set that contains a client block, with the name of the set.
    #[must_use]
    pub fn find_client_blocks(
        &self,
        client: &ids::ClientBlock,
    ) -> Option<(&ObjectName, &ClientBlocks)> {
        self.client_blocks
            .iter()
            .find(|(_, blocks)| blocks.contains(client))
    }

    /// Returns the backend servers of a service in a zone, with those that are draining (get no new
    /// requests).
    pub fn servers_of<'a>(
        &'a self,
        service: &'a ids::ServiceId,
        zone: &'a ids::AvailabilityZoneId,
    ) -> impl Iterator<Item = (&'a ids::BackendServerId, &'a BackendServer)> {
        self.backend_servers
            .iter()
            .filter(move |(_, server)| server.service == *service)
            .filter(move |(_, server)| server.availability_zone == *zone)
    }

    /// Returns the number of slots, or concurrent requests, of a service's backend servers in a
    /// zone, without those of draining servers.
    #[must_use]
    pub fn slots_of(
        &self,
        service: &ids::ServiceId,
        zone: &ids::AvailabilityZoneId,
    ) -> units::Slots {
        self.servers_of(service, zone)
            .filter(|(_, server)| !server.draining)
            .map(|(_, server)| server.slots)
            .sum()
    }

    /// Returns the names of all declared objects of a kind.
    #[must_use]
    pub fn names(&self, kind: ObjectKind) -> Vec<String> {
        match kind {
            ObjectKind::Region => to_texts(self.regions.keys()),
            ObjectKind::AvailabilityZone => to_texts(self.availability_zones.keys()),
            ObjectKind::Service => to_texts(self.services.keys()),
            ObjectKind::BackendServer => to_texts(self.backend_servers.keys()),
            ObjectKind::Link => to_texts(self.links.keys()),
            ObjectKind::ClientBlocks => to_texts(self.client_blocks.keys()),
            ObjectKind::Site => to_texts(self.sites.keys()),
            ObjectKind::Shift => to_texts(self.shifts.keys()),
        }
    }
}

/// Inserts a declaration under the id parsed from its name. Parsing succeeds, as names and ids have
/// the same syntax.
fn insert<K: Ord + core::str::FromStr, V>(
    map: &mut BTreeMap<K, V>,
    name: &ObjectName,
    declaration: V,
) {
    let parsed = name.as_str().parse();
    debug_assert!(parsed.is_ok(), "object names are valid identifiers");
    if let Ok(key) = parsed {
        map.insert(key, declaration);
    }
}

fn get<K: Ord + core::str::FromStr, V: Clone>(
    map: &BTreeMap<K, V>,
    name: &ObjectName,
) -> Option<V> {
    map.get(&name.as_str().parse().ok()?).cloned()
}

fn to_texts<K: ToString>(keys: impl Iterator<Item = K>) -> Vec<String> {
    keys.map(|key| key.to_string()).collect()
}
