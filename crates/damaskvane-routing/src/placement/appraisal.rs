//! What a request is worth on one server, and what it takes from others there.

use damaskvane_core::time::TimeMs;

use crate::placement::worth::Worth;
use crate::placement::{PassedOver, Pick, PlacementRequest, PlacementSettings};
use crate::pool::{Baseline, Server};

/// The chance that a server remembers an object which this instance hasn't sent it: all instances use an
/// object's first server, and the others only when that one is busy or unwell.
const FIRST_REMEMBERS: f64 = 0.9;
const OTHER_REMEMBERS: f64 = 0.1;
/// The chance that a server still remembers what this instance sent it.
const STILL_REMEMBERS: f64 = 0.97;
/// How much longer work takes on a cold server.
const COLD_FACTOR: f64 = 2.0;
/// The part of a request's usual time that hardly any request takes less than.
const LEAST_SHARE: f64 = 0.6;
/// A server's load for each slot above which more of it costs no more.
const MOST_BUSY: f64 = 2.0;
/// From where on failures or slowness are named as the reason why a server is passed over.
const NOTED_FAILURE_SHARE: f64 = 0.2;
const NOTED_SLOWNESS: f64 = 1.5;
/// How much longer a slow server takes than usual when a first run elsewhere takes no longer.
const AS_SLOW_AS_FIRST: f64 = 3.0;

/// What placement knows of a request's work, and of the way to a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Expected {
    /// How long the route's requests usually take.
    pub(super) baseline: Baseline,
    /// The way to the server and back.
    pub(super) round_trip_ms: f64,
    /// What the distance costs, as a part of an answer's worth.
    pub(super) distance_cost: f64,
}

/// A server as the place for a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Appraisal {
    /// What is won there: the worth of the expected answer, less what it takes from others.
    pub(super) gain: f64,
    /// The server's load for each slot.
    pub(super) load: f64,
    chance: f64,
    baseline: Baseline,
    round_trip_ms: f64,
    work_ms: f64,
    before_ms: f64,
}

impl Appraisal {
    /// Appraises a server that has this place in the object's order.
    pub(super) fn of(
        now: TimeMs,
        settings: &PlacementSettings,
        server: &Server,
        request: &PlacementRequest<'_>,
        rank: usize,
        expected: Expected,
    ) -> Self {
        let Expected {
            baseline,
            round_trip_ms,
            distance_cost,
        } = expected;
        let objective_ms = request.route.objective_ms as f64;
        let chance = chance_remembered(now, server, request, rank);
        let mut slowness = server.slowness(now);
        if server.is_cold(now) {
            slowness *= COLD_FACTOR;
        }
        let work_ms = baseline.expected_ms(chance) * slowness;
        let slots = f64::from(server.entry.slots.max(1));
        let load = server.load(now);
        let wait_ms = (load + 1.0 - slots).max(0.0) / slots * work_ms;
        let before_ms = wait_ms + round_trip_ms;
        let worth = Worth {
            objective_ms,
            remaining_ms: request.remaining_ms as f64,
            late: settings.late_worth,
        };
        let remembered = worth.after(before_ms + baseline.warm_ms * slowness);
        let first = worth.after(before_ms + baseline.first_ms * slowness);
        let busy = (load / slots).min(MOST_BUSY);
        let slot_cost = settings.slot_cost + busy * busy * settings.busy_cost;
        let mut gain = chance * remembered + (1.0 - chance) * first;
        gain -= slot_cost * work_ms / objective_ms.max(1.0);
        gain -= settings.failure_cost * server.failure_share(now);
        gain -= distance_cost;
        if server.is_stalled(now) {
            gain -= settings.stalled_cost;
        }
        Self {
            gain,
            load: load / slots,
            chance,
            baseline,
            round_trip_ms,
            work_ms,
            before_ms,
        }
    }

    /// The choice of this server, with what is expected of it.
    pub(super) fn pick(
        &self,
        now: TimeMs,
        server: &Server,
        request: &PlacementRequest<'_>,
        rank: usize,
        passed_over: Option<PassedOver>,
    ) -> Pick {
        // A guess is no reason to refuse: the route may be new, and faster than its objective suggests.
        let least_work_ms = if self.baseline.is_measured {
            self.baseline.warm_ms * LEAST_SHARE
        } else {
            0.0
        };
        Pick {
            server: server.entry.id.clone(),
            address: server.entry.address,
            zone: server.entry.zone.clone(),
            expected_ms: self.work_ms + self.before_ms,
            min_ms: least_work_ms + self.before_ms,
            first_ms: self.baseline.first_ms + self.before_ms,
            is_warm: self.chance >= FIRST_REMEMBERS,
            was_sent: request
                .object
                .is_some_and(|object| server.remembers(now, object)),
            remembered_ms: self.baseline.warm_ms + self.round_trip_ms,
            passed_over: passed_over.filter(|_| rank > 0),
            load: self.load,
            rank,
        }
    }
}

/// Whether a server does no worse than another one would that doesn't remember the object.
pub(super) fn is_well(now: TimeMs, server: &Server) -> bool {
    !server.is_stalled(now)
        && server.failure_share(now) <= NOTED_FAILURE_SHARE
        && server.slowness(now) < AS_SLOW_AS_FIRST
}

/// Why a server that has room loses against another one.
pub(super) fn why_passed_over(now: TimeMs, server: &Server) -> PassedOver {
    let slots = f64::from(server.entry.slots.max(1));
    if server.is_stalled(now) {
        PassedOver::Stalled
    } else if server.failure_share(now) > NOTED_FAILURE_SHARE {
        PassedOver::Failing
    } else if server.slowness(now) > NOTED_SLOWNESS {
        PassedOver::Slow
    } else if server.load(now) >= slots {
        PassedOver::Busy
    } else {
        PassedOver::Outbid
    }
}

fn chance_remembered(
    now: TimeMs,
    server: &Server,
    request: &PlacementRequest<'_>,
    rank: usize,
) -> f64 {
    match request.object {
        None => 0.0,
        Some(object) if server.remembers(now, object) => STILL_REMEMBERS,
        Some(_) if rank == 0 => FIRST_REMEMBERS,
        Some(_) => OTHER_REMEMBERS,
    }
}
