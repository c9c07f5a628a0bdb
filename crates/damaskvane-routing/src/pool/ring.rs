//! A consistent hash ring of servers.
//!
//! A slot is a server's capacity to run one request at a time. An object is the item that a client's request names; its
//! server is the one whose point follows the object's position.

use std::collections::BTreeSet;
use std::ops::Bound;

use damaskvane_core::ids;

use crate::pool::ServerHandle;
use crate::seeded_hash;

/// Number of ring points for each slot of a server. With this number, the shares of the ring of servers with six slots
/// differ by about a seventh, less than the numbers of objects on them differ anyway, and adding a thousand servers is
/// fast on a small machine.
const POINTS_PER_SLOT: u32 = 8;
/// Maximum number of points of one server; limits the cost of a server that reports an implausible number of slots.
const MAX_POINTS: u32 = 1_024;

/// A point of a server on the ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RingPoint {
    position: u32,
    /// Server of the point. If points of two servers have the same position, instances may order them differently,
    /// which affects one object in a billion.
    pub server: ServerHandle,
}

impl RingPoint {
    /// Returns the distance from position `from` forward to this point, around the ring.
    #[must_use]
    pub const fn distance(self, from: u32) -> u32 {
        self.position.wrapping_sub(from)
    }
}

/// A consistent hash ring on which each server has points in proportion to its slots.
///
/// A server that joins or leaves moves only the objects that the server gains or loses. The lookup of an object's
/// server costs about the same with ten servers as with thousands.
#[derive(Debug, Default)]
pub struct Ring {
    points: BTreeSet<RingPoint>,
}

impl Ring {
    /// Adds the points of a server.
    pub(super) fn insert(&mut self, id: &ids::BackendServerId, server: ServerHandle, slots: u32) {
        self.points.extend(points(id, server, slots));
    }

    /// Removes the points of a server. `slots` has to be the number of slots with which the server was added.
    pub(super) fn remove(&mut self, id: &ids::BackendServerId, server: ServerHandle, slots: u32) {
        for point in points(id, server, slots) {
            self.points.remove(&point);
        }
    }

    /// Returns the first point at or after a position, or `None` if the ring is empty.
    #[must_use]
    pub fn first(&self, from: u32) -> Option<RingPoint> {
        let start = range_start(from);
        let next = self.points.range(start..).next();
        next.or_else(|| self.points.first()).copied()
    }

    /// Returns the point that follows `point` in a search that started at position `from`, or `None` if the search is
    /// back at that position.
    #[must_use]
    pub fn after(&self, from: u32, point: RingPoint) -> Option<RingPoint> {
        let start = range_start(from);
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

fn range_start(position: u32) -> RingPoint {
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
    let count = slots.max(1).saturating_mul(POINTS_PER_SLOT).min(MAX_POINTS);
    (0..count).map(move |number| RingPoint {
        position: (seeded_hash::of_name(id.as_str(), u64::from(number)) >> 32) as u32,
        server,
    })
}
