//! A consistent hash ring of servers.

use std::collections::BTreeSet;
use std::ops::Bound;

use damaskvane_core::ids;
use xxhash_rust::xxh3;

use crate::pool::ServerHandle;

/// Points of a server for each slot that it has: shares of servers with six slots differ by a seventh or so, less than
/// the number of objects on each by itself, and a thousand servers are taken in quickly on a small machine.
const POINTS_PER_SLOT: u32 = 8;
/// Most points of one server; bounds what an odd entry can cost.
const MOST_POINTS: u32 = 1_024;

/// A point of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RingPoint {
    position: u32,
    /// The server. Where two servers share a position, instances may order them differently, which concerns one
    /// object in a billion.
    pub server: ServerHandle,
}

impl RingPoint {
    /// How far it lies behind a position.
    #[must_use]
    pub const fn distance(self, from: u32) -> u32 {
        self.position.wrapping_sub(from)
    }
}

/// Servers on a ring, each with points in proportion to its slots.
///
/// A server that joins or leaves moves only the objects that it gains or loses, and finding an object's server
/// costs the same on a ring of ten servers or thousands.
#[derive(Debug, Default)]
pub struct Ring {
    points: BTreeSet<RingPoint>,
}

impl Ring {
    /// Adds a server.
    pub(super) fn insert(&mut self, id: &ids::BackendServerId, server: ServerHandle, slots: u32) {
        self.points.extend(points(id, server, slots));
    }

    /// Takes a server out that was added with as many slots.
    pub(super) fn remove(&mut self, id: &ids::BackendServerId, server: ServerHandle, slots: u32) {
        for point in points(id, server, slots) {
            self.points.remove(&point);
        }
    }

    /// The first point at a position or behind it.
    #[must_use]
    pub fn first(&self, from: u32) -> Option<RingPoint> {
        let start = start_of(from);
        let next = self.points.range(start..).next();
        next.or_else(|| self.points.first()).copied()
    }

    /// The point after one that was found from a position; none where the whole ring was seen.
    #[must_use]
    pub fn after(&self, from: u32, point: RingPoint) -> Option<RingPoint> {
        let start = start_of(from);
        let behind = (Bound::Excluded(point), Bound::Unbounded);
        if point < start {
            let rest = (Bound::Excluded(point), Bound::Excluded(start));
            return self.points.range(rest).next().copied();
        }
        let next = self.points.range(behind).next();
        let next = next.or_else(|| self.points.range(..start).next());
        next.copied()
    }
}

fn start_of(position: u32) -> RingPoint {
    RingPoint {
        position,
        server: ServerHandle::new(0),
    }
}

fn points(
    id: &ids::BackendServerId,
    server: ServerHandle,
    slots: u32,
) -> impl Iterator<Item = RingPoint> {
    let count = slots
        .max(1)
        .saturating_mul(POINTS_PER_SLOT)
        .min(MOST_POINTS);
    let name = id.as_str().as_bytes();
    (0..count).map(move |number| RingPoint {
        position: (xxh3::xxh3_64_with_seed(name, u64::from(number)) >> 32) as u32,
        server,
    })
}
