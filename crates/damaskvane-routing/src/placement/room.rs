//! The room that is expected on a server, estimated from a report that may be old.
//!
//! A slot is a server's capacity to run one request at a time.

use damaskvane_core::time::TimeMs;

use crate::pool::Server;

/// Time constant with which a server's load is expected to move from its report to the mean of its region. Shorter than
/// a request, since other instances follow the same reports: with 400 ms, servers that had reported room got queues.
const REPORT_DECAY_MS: f64 = 100.0;
/// Power of the room by which servers are weighted. In proportion to the room alone, a server with one free slot of six
/// gets a fourth of the requests of one with four, and queues.
const ROOM_POWER: i32 = 16;
/// Power of the slowness by which servers are weighted.
const SLOWNESS_POWER: i32 = 4;

/// What is known of the load of all servers of a service in a region.
#[derive(Debug, Clone, Copy)]
pub(super) struct RegionMean {
    /// Mean number of requests per slot.
    pub(super) load: f64,
    /// Share of the requests that other instances have sent.
    pub(super) others_share: f64,
}

/// Returns the number of requests that are expected on the server: what this instance has sent, and what others have
/// sent by the server's last report, which moves to the region's mean as it gets old.
fn expected_requests(now: TimeMs, server: &Server, mean: RegionMean) -> f64 {
    let slots = f64::from(server.entry.slots.max(1));
    let usual = mean.load * mean.others_share * slots;
    let others = server.reported_others().map_or(usual, |(at, reported)| {
        let weight = (-(now.since(at).get() as f64) / REPORT_DECAY_MS).exp();
        usual + (reported - usual) * weight
    });
    others + server.in_flight() as f64
}

/// Returns the number of slots that are expected to be free; negative if requests are expected to wait.
pub(super) fn free_slots(now: TimeMs, server: &Server, mean: RegionMean) -> f64 {
    f64::from(server.entry.slots.max(1)) - expected_requests(now, server, mean)
}

/// Returns the weight of a server in a random choice by room; always above 0, and lower for a slow server.
pub(super) fn weight(now: TimeMs, server: &Server, mean: RegionMean) -> f64 {
    let free = free_slots(now, server, mean);
    // Below one slot, the weight falls with the length of the queue.
    let room = if free >= 1.0 {
        free
    } else {
        1.0 / (2.0 - free)
    };
    // Ratios below 1 are mostly the spread of the requests' times.
    let slowness = server.expected_slowness(now).max(1.0);
    room.powi(ROOM_POWER) / slowness.powi(SLOWNESS_POWER)
}
