//! The order of an object's servers, found server by server.
//!
//! An object belongs to one region, its callers' own as a rule, and has one server there: each further one
//! costs a slow run, and pushes another object out of a server's memory. Its second server stands in another
//! region, whose callers are busy at other times. Objects that are asked for often have one server in each
//! zone of their region instead: callers use the one of their zone, and the others take what that one can't.

use damaskvane_core::ids;

use crate::placement::PlacementRequest;
use crate::placement::rank;
use crate::placement::shares::Shares;
use crate::pool::{RegionIndex, RingPoint, ServerHandle, ServerPool, ServiceServers, ZoneIndex};

/// Steps on a ring in search of one more server. Servers that were passed before lie on it again, so a ring of
/// two takes two steps in the mean; a search that takes so many has seen them all.
const MOST_STEPS: usize = 64;
/// Of so many servers one lies in another region than the object's; the first few after the first one all do.
const SERVERS_TO_ELSEWHERE: usize = 2;
const LEAST_ELSEWHERE: usize = 2;

/// Where requests come from.
#[derive(Debug, Clone, Copy)]
pub(super) struct Origin {
    pub(super) zone: ZoneIndex,
    pub(super) region: RegionIndex,
}

/// How many servers of its region an object is to use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Spread {
    /// One.
    Region,
    /// One in each zone.
    Zones,
}

/// Which regions servers may lie in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    /// All.
    Everywhere,
    /// The object's own.
    Home,
}

/// Which servers are looked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Search {
    pub(super) origin: Origin,
    pub(super) object: u64,
    pub(super) spread: Spread,
    pub(super) scope: Scope,
    /// How many.
    pub(super) most: usize,
}

/// The next server of one zone.
#[derive(Debug, Clone, Copy)]
struct Cursor {
    zone: ZoneIndex,
    region: RegionIndex,
    point: Option<RingPoint>,
    /// How many servers were taken before.
    taken: usize,
}

/// The first servers of an object; kept between requests so that finding them allocates nothing.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    slots: Vec<Option<f64>>,
    cursors: Vec<Cursor>,
    tried: Vec<ServerHandle>,
    found: Vec<ServerHandle>,
}

impl Candidates {
    /// The servers that were found, the object's first one first.
    pub(super) fn found(&self) -> &[ServerHandle] {
        &self.found
    }

    /// Finds the first servers of an object that may take a request.
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
        self.begin(pool, servers, request, position);
        let Some(home) = self.home(pool, search.origin.region, search.object) else {
            return;
        };
        let is_home = |cursor: &Cursor| cursor.region == home;
        let is_elsewhere = |cursor: &Cursor| cursor.region != home;
        let most = search.most;
        let elsewhere = match search.scope {
            Scope::Everywhere => (most / SERVERS_TO_ELSEWHERE).max(LEAST_ELSEWHERE),
            Scope::Home => 0,
        };
        match search.spread {
            Spread::Zones if home == search.origin.region => {
                let stays = self.stays_in_zone(pool, servers, search);
                let order = |cursor: &Cursor| {
                    let is_later = stays != (cursor.zone == search.origin.zone);
                    (cursor.taken, is_later)
                };
                self.take(servers, position, most, is_home, order);
            }
            Spread::Zones => self.take(servers, position, most, is_home, |_| ()),
            Spread::Region => {
                self.take(servers, position, 1, is_home, |_| ());
                let of_others = (1 + elsewhere).min(most);
                self.take(servers, position, of_others, is_elsewhere, |_| ());
                self.take(servers, position, most, is_home, |_| ());
            }
        }
        if search.scope == Scope::Everywhere {
            self.take(servers, position, most, is_elsewhere, |_| ());
        }
    }

    /// Puts a cursor on the first server of each zone that may take the request.
    fn begin(
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
            let is_allowed = request.route.allows(topology.region_id(region));
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
                taken: 0,
            };
            if point.is_none() {
                cursor.point = self.next(servers, position, cursor);
            }
            self.cursors.push(cursor);
        }
    }

    /// The region that an object belongs to, for callers of this one.
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

    /// Whether the callers' zone has the slots for the object.
    fn stays_in_zone(&self, pool: &ServerPool, servers: &ServiceServers, search: Search) -> bool {
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

    /// Takes servers until `most` are found: those of the least key first, of equal ones the nearest.
    fn take<K: Ord>(
        &mut self,
        servers: &ServiceServers,
        position: u32,
        most: usize,
        is_wanted: impl Fn(&Cursor) -> bool,
        key: impl Fn(&Cursor) -> K,
    ) {
        while self.found.len() < most {
            let wanted = self.cursors.iter().enumerate();
            let wanted = wanted.filter(|(_, cursor)| is_wanted(cursor));
            let ahead = wanted.filter_map(|(number, cursor)| {
                let point = cursor.point?;
                Some((key(cursor), point.distance(position), number, point))
            });
            let nearest = ahead.min_by(|one, other| {
                let by_key = one.0.cmp(&other.0);
                by_key.then(one.1.cmp(&other.1))
            });
            let Some((_, _, number, point)) = nearest else {
                return;
            };
            self.found.push(point.server);
            let next = self.next(servers, position, self.cursors[number]);
            let cursor = &mut self.cursors[number];
            cursor.taken += 1;
            cursor.point = next;
        }
    }

    /// The next point of a zone whose server was neither found nor tried.
    fn next(&self, servers: &ServiceServers, position: u32, cursor: Cursor) -> Option<RingPoint> {
        let of_zone = servers.zone(cursor.zone);
        if cursor.taken + 1 >= of_zone.servers && self.tried.is_empty() {
            return None;
        }
        let mut point = cursor.point?;
        for _ in 0..MOST_STEPS {
            point = of_zone.ring.after(position, point)?;
            let is_new = !self.found.contains(&point.server) && !self.tried.contains(&point.server);
            if is_new {
                return Some(point);
            }
        }
        None
    }
}
