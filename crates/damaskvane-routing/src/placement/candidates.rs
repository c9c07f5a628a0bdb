//! Finds the first servers of an object, in the object's order of servers.
//!
//! An object is the item that a client's request names. Every instance computes the same order by the object's hash. A
//! slot is a server's capacity to run one request at a time. A first run is the first request for an object on a
//! server.
//!
//! An object has a home region, usually the region of the clients that request it, and one server there: each further
//! server costs a slow first run and displaces another object from the few recent objects for which a server is faster.
//! The object's second server is in another region, whose load peaks at other times. Popular objects have one server in
//! each zone of their home region instead: clients use the server of their own zone, and the servers of the other zones
//! take the requests beyond its capacity.

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::placement::PlacementRequest;
use crate::placement::rank;
use crate::placement::server_score;
use crate::placement::shares::Shares;
use crate::pool::{RegionIndex, RingPoint, ServerHandle, ServerPool, ServiceServers, ZoneIndex};

/// Maximum number of steps on the consistent hash ring of a zone in search of the zone's next server. Each server has
/// several points on the ring: a search on a ring of two servers takes two steps on average, and a search of 64 steps
/// has seen every server.
const MAX_RING_STEPS: usize = 64;
/// Of this many servers of an object, one is outside the object's home region.
const SERVERS_PER_REMOTE_SERVER: usize = 2;
/// Minimum number of servers outside the home region; they directly follow the first server in the object's order.
const MIN_REMOTE_SERVERS: usize = 2;

/// Zone and region of the instance that places the request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Origin {
    pub(super) zone: ZoneIndex,
    pub(super) region: RegionIndex,
}

/// How many servers of its home region an object uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Spread {
    /// One server in the region.
    Region,
    /// One server in each zone of the region.
    Zones,
}

/// The regions in which a search looks for servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    /// All regions that the route allows.
    Everywhere,
    /// Only the object's home region.
    Home,
}

/// Parameters of a search for servers of an object.
#[derive(Debug, Clone, Copy)]
pub(super) struct Search {
    pub(super) origin: Origin,
    pub(super) object: u64,
    pub(super) spread: Spread,
    pub(super) scope: Scope,
    /// Maximum number of servers to find.
    pub(super) max_servers: usize,
    /// Number of servers of the own zone's ring by which the object is moved.
    pub(super) moved_steps: usize,
}

/// Position of the search on the ring of one zone.
#[derive(Debug, Clone, Copy)]
struct Cursor {
    zone: ZoneIndex,
    region: RegionIndex,
    /// Ring point of the zone's next server, or `None` if the zone has no further server.
    point: Option<RingPoint>,
    /// Number of this zone's servers that were selected so far.
    selected: usize,
}

/// The first servers of an object, with buffers that are reused between requests so that a search allocates nothing.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    slots: Vec<Option<f64>>,
    cursors: Vec<Cursor>,
    tried: Vec<ServerHandle>,
    found: Vec<ServerHandle>,
}

impl Candidates {
    /// Returns the servers that the last search found, in the object's order.
    pub(super) fn found(&self) -> &[ServerHandle] {
        &self.found
    }

    /// Returns those of the found servers that the request may use.
    ///
    /// An object that is restricted to its home region and has one server there uses only that server while it is
    /// healthy, even if it has a queue: a queue does not justify a slow first run on another server, an unhealthy server
    /// does.
    pub(super) fn usable(&self, now: TimeMs, pool: &ServerPool, search: Search) -> &[ServerHandle] {
        let is_home_only = search.scope == Scope::Home && search.spread == Spread::Region;
        let first = self.found.first().and_then(|first| pool.at(*first));
        let is_healthy = first.is_some_and(|first| server_score::is_healthy(now, first));
        if is_home_only && is_healthy {
            &self.found[..1]
        } else {
            &self.found
        }
    }

    /// Finds the first servers of an object to which the request may be sent.
    pub(super) fn find(
        &mut self,
        pool: &ServerPool,
        request: &PlacementRequest<'_>,
        search: Search,
    ) {
        self.found.clear();
        let Some(servers) = pool.service(request.service) else {
            return;
        };
        let tried = request.tried.iter().filter_map(|id| pool.handle(id));
        self.tried.clear();
        self.tried.extend(tried);
        let position = rank::position(search.object);
        self.reset_cursors(pool, servers, request, position);
        let Some(home) = self.home(pool, search.origin.region, search.object) else {
            return;
        };
        let is_home = |cursor: &Cursor| cursor.region == home;
        let is_remote = |cursor: &Cursor| cursor.region != home;
        let max_servers = search.max_servers;
        let remote = match search.scope {
            Scope::Everywhere => (max_servers / SERVERS_PER_REMOTE_SERVER).max(MIN_REMOTE_SERVERS),
            Scope::Home => 0,
        };
        match search.spread {
            Spread::Zones if home == search.origin.region => {
                let is_own_zone_first = self.prefers_own_zone(pool, servers, search);
                let order = |cursor: &Cursor| {
                    let is_later = is_own_zone_first != (cursor.zone == search.origin.zone);
                    (cursor.selected, is_later)
                };
                let is_moved = search.moved_steps > 0 && is_own_zone_first;
                let further = if is_moved {
                    search.moved_steps * pool.topology().zones_in(home)
                } else {
                    0
                };
                self.select(servers, position, max_servers + further, is_home, order);
                if is_moved {
                    self.move_along_ring(pool, search);
                    self.found.truncate(max_servers);
                }
            }
            Spread::Zones => self.select(servers, position, max_servers, is_home, |_| ()),
            Spread::Region => {
                self.select(servers, position, 1, is_home, |_| ());
                let with_remote = (1 + remote).min(max_servers);
                self.select(servers, position, with_remote, is_remote, |_| ());
                self.select(servers, position, max_servers, is_home, |_| ());
            }
        }
        if search.scope == Scope::Everywhere {
            self.select(servers, position, max_servers, is_remote, |_| ());
        }
    }

    /// Adds the servers with the newest load reports, of the region of the first found server.
    pub(super) fn add_recent(&mut self, pool: &ServerPool, request: &PlacementRequest<'_>) {
        let topology = pool.topology();
        let region_of = |handle: &ServerHandle| {
            let server = pool.at(*handle).filter(|server| server.accepts_work())?;
            let zone = topology.zone(&server.entry.zone)?;
            (server.entry.service == *request.service && !pool.is_evacuated(zone))
                .then(|| topology.region_of(zone))
        };
        let Some(home) = self.found.first().and_then(region_of) else {
            return;
        };
        let Some(servers) = pool.service(request.service) else {
            return;
        };
        for handle in servers.recent(home) {
            let is_new = !self.found.contains(&handle) && !self.tried.contains(&handle);
            if is_new && region_of(&handle) == Some(home) {
                self.found.push(handle);
            }
        }
    }

    /// Puts the server to which the object is moved first, and the other servers of its zone last.
    fn move_along_ring(&mut self, pool: &ServerPool, search: Search) {
        let own = pool.topology().zone_id(search.origin.zone);
        let is_own = |handle: &ServerHandle| {
            let server = pool.at(*handle);
            server.is_some_and(|server| server.entry.zone == *own)
        };
        let of_zone = self.found.iter().copied().filter(|one| is_own(one));
        if let Some(server) = of_zone.clone().nth(search.moved_steps) {
            self.found.sort_by_key(|one| (*one != server, is_own(one)));
        }
    }

    /// Creates one cursor for each zone whose servers may take the request, at the zone's first server for the object.
    fn reset_cursors(
        &mut self,
        pool: &ServerPool,
        servers: &ServiceServers,
        request: &PlacementRequest<'_>,
        position: u32,
    ) {
        let topology = pool.topology();
        self.slots.clear();
        self.slots.extend(topology.regions().map(|_| None));
        self.cursors.clear();
        for zone in topology.zones() {
            let region = topology.region_of(zone);
            let of_zone = servers.zone(zone);
            let is_allowed = request.allows(topology.region_id(region));
            if of_zone.servers == 0 || !is_allowed || pool.is_evacuated(zone) {
                continue;
            }
            *self.slots[region.get()].get_or_insert(0.0) += of_zone.slots as f64;
            let first = of_zone.ring.first(position);
            let point = first.filter(|point| !self.tried.contains(&point.server));
            let mut cursor = Cursor {
                zone,
                region,
                point: first,
                selected: 0,
            };
            if point.is_none() {
                cursor.point = self.next(servers, position, cursor);
            }
            self.cursors.push(cursor);
        }
    }

    /// Returns the home region of an object for callers in region `own`, or `None` if no region has a server.
    fn home(&self, pool: &ServerPool, own: RegionIndex, object: u64) -> Option<RegionIndex> {
        let topology = pool.topology();
        let shares = Shares::new(topology, &self.slots);
        let scored = shares.of_regions(own).map(|(region, share)| {
            let name = topology.region_id(region).as_str();
            (region, rank::score(object, name, share))
        });
        let best = scored.max_by(|(_, one), (_, other)| one.total_cmp(other));
        best.map(|(region, _)| region)
    }

    /// Returns whether the object is among those for which the slots of this instance's own zone suffice.
    fn prefers_own_zone(
        &self,
        pool: &ServerPool,
        servers: &ServiceServers,
        search: Search,
    ) -> bool {
        let Search { origin, object, .. } = search;
        let topology = pool.topology();
        let is_usable = self.cursors.iter().any(|one| one.zone == origin.zone);
        let slots = if is_usable {
            servers.zone(origin.zone).slots as f64
        } else {
            0.0
        };
        let share = Shares::new(topology, &self.slots).own_zone(slots, origin.region);
        let own: &ids::AvailabilityZoneId = topology.zone_id(origin.zone);
        rank::uniform(object, own.as_str()) < share
    }

    /// Selects servers from the eligible zones until `max_servers` are found.
    ///
    /// Zones with the lowest `key` come first; among zones with equal keys, the zone whose next server is nearest to
    /// `position` on its ring.
    fn select<K: Ord>(
        &mut self,
        servers: &ServiceServers,
        position: u32,
        max_servers: usize,
        is_eligible: impl Fn(&Cursor) -> bool,
        key: impl Fn(&Cursor) -> K,
    ) {
        while self.found.len() < max_servers {
            let eligible = self.cursors.iter().enumerate();
            let eligible = eligible.filter(|(_, cursor)| is_eligible(cursor));
            let ahead = eligible.filter_map(|(index, cursor)| {
                let point = cursor.point?;
                Some((key(cursor), point.distance(position), index, point))
            });
            let nearest = ahead.min_by(|one, other| {
                let by_key = one.0.cmp(&other.0);
                by_key.then(one.1.cmp(&other.1))
            });
            let Some((_, _, index, point)) = nearest else {
                return;
            };
            self.found.push(point.server);
            let next = self.next(servers, position, self.cursors[index]);
            let cursor = &mut self.cursors[index];
            cursor.selected += 1;
            cursor.point = next;
        }
    }

    /// Returns the next ring point of the cursor's zone whose server was neither found nor tried before.
    fn next(&self, servers: &ServiceServers, position: u32, cursor: Cursor) -> Option<RingPoint> {
        let of_zone = servers.zone(cursor.zone);
        if cursor.selected + 1 >= of_zone.servers && self.tried.is_empty() {
            return None;
        }
        let mut point = cursor.point?;
        for _ in 0..MAX_RING_STEPS {
            point = of_zone.ring.after(position, point)?;
            let is_new = !self.found.contains(&point.server) && !self.tried.contains(&point.server);
            if is_new {
                return Some(point);
            }
        }
        None
    }
}
