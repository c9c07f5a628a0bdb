//! The score of one server for a request: the expected value of the answer minus its costs.

use damaskvane_core::time::TimeMs;

use crate::placement::latency_score::LatencyScore;
use crate::placement::{PassedOver, Pick, PlacementRequest, PlacementSettings};
use crate::pool::{Baseline, Server};

/// Probability that the first server of an object is faster for the object although this instance has not sent the
/// object to it recently: all instances use the first server of an object, so others may have.
const FIRST_SERVER_WARM_PROBABILITY: f64 = 0.9;
/// The same probability for the object's other servers, which instances use only while the first server is busy or
/// unhealthy.
const OTHER_SERVER_WARM_PROBABILITY: f64 = 0.1;
/// Probability that a server is still faster for an object that it has handled recently for this instance.
const SENT_OBJECT_WARM_PROBABILITY: f64 = 0.97;
/// Factor by which work takes longer on a cold server.
const COLD_SLOWDOWN: f64 = 2.0;
/// Share of the usual time that is a lower bound for nearly all requests of a route.
const MIN_TIME_SHARE: f64 = 0.6;
/// Load per slot above which a higher load doesn't raise the cost further.
const MAX_COSTED_LOAD: f64 = 2.0;
/// Share of failed exchanges above which failures are reported as the reason for passing over a server; up to this
/// share a server counts as healthy.
const HIGH_FAILURE_SHARE: f64 = 0.2;
/// Slowness above which it is reported as the reason for passing over a server.
const HIGH_SLOWNESS: f64 = 1.5;
/// Slowness from which a server counts as unhealthy: a first run on another server takes no longer.
const MAX_HEALTHY_SLOWNESS: f64 = 3.0;

/// Estimates of a request's run time and of the distance to one server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimates {
    /// Usual times of the route's requests on servers that have or haven't handled the object recently.
    pub(super) baseline: Baseline,
    /// Network round trip to the server's zone.
    pub(super) round_trip_ms: f64,
    /// Cost of the distance, where a timely answer scores 1.
    pub(super) distance_cost: f64,
}

/// The score of a server for one request, with the estimates behind it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerScore {
    /// Expected value of the answer minus the costs of slot time, failures, stalls and distance.
    pub(super) score: f64,
    /// Load of the server per slot.
    pub(super) load: f64,
    warm_probability: f64,
    baseline: Baseline,
    round_trip_ms: f64,
    work_ms: f64,
    delay_ms: f64,
}

impl ServerScore {
    /// Scores a server that has this rank in the object's order of servers; rank 0 is the first server.
    pub(super) fn of(
        now: TimeMs,
        settings: &PlacementSettings,
        server: &Server,
        request: &PlacementRequest<'_>,
        rank: usize,
        estimates: Estimates,
    ) -> Self {
        let Estimates {
            baseline,
            round_trip_ms,
            distance_cost,
        } = estimates;
        let objective_ms = request.route.objective_ms as f64;
        let warm_probability = warm_probability_of(now, server, request, rank);
        let mut slowness = server.slowness(now);
        if server.is_cold(now) {
            slowness *= COLD_SLOWDOWN;
        }
        let work_ms = baseline.expected_ms(warm_probability) * slowness;
        let slots = f64::from(server.entry.slots.max(1));
        let load = server.load(now);
        let wait_ms = (load + 1.0 - slots).max(0.0) / slots * work_ms;
        let delay_ms = wait_ms + round_trip_ms;
        let latency_score = LatencyScore {
            objective_ms,
            remaining_ms: request.remaining_ms as f64,
            late_score: settings.late_worth,
        };
        let warm_score = latency_score.at(delay_ms + baseline.warm_ms * slowness);
        let first_run_score = latency_score.at(delay_ms + baseline.first_ms * slowness);
        let busy = (load / slots).min(MAX_COSTED_LOAD);
        let slot_cost = settings.slot_cost + busy * busy * settings.busy_cost;
        let mut score = warm_probability * warm_score + (1.0 - warm_probability) * first_run_score;
        score -= slot_cost * work_ms / objective_ms.max(1.0);
        score -= settings.failure_cost * server.failure_share(now);
        score -= distance_cost;
        if server.is_stalled(now) {
            score -= settings.stalled_cost;
        }
        Self {
            score,
            load: load / slots,
            warm_probability,
            baseline,
            round_trip_ms,
            work_ms,
            delay_ms,
        }
    }

    /// Returns the decision to use this server, with the expected times.
    pub(super) fn pick(
        &self,
        now: TimeMs,
        server: &Server,
        request: &PlacementRequest<'_>,
        rank: usize,
        passed_over: Option<PassedOver>,
    ) -> Pick {
        // A time that is not measured must not cause a refusal: a new route may be faster than its objective.
        let min_work_ms = if self.baseline.is_measured {
            self.baseline.warm_ms * MIN_TIME_SHARE
        } else {
            0.0
        };
        Pick {
            server: server.entry.id.clone(),
            address: server.entry.address,
            zone: server.entry.zone.clone(),
            expected_ms: self.work_ms + self.delay_ms,
            min_ms: min_work_ms + self.delay_ms,
            first_ms: self.baseline.first_ms + self.delay_ms,
            is_warm: self.warm_probability >= FIRST_SERVER_WARM_PROBABILITY,
            was_sent: request
                .object
                .is_some_and(|object| server.handled_recently(now, object)),
            remembered_ms: self.baseline.warm_ms + self.round_trip_ms,
            passed_over: passed_over.filter(|_| rank > 0),
            load: self.load,
            rank,
        }
    }
}

/// Returns whether a server is expected to do at least as well as one that has not handled the object recently.
pub(super) fn is_healthy(now: TimeMs, server: &Server) -> bool {
    !server.is_stalled(now)
        && server.failure_share(now) <= HIGH_FAILURE_SHARE
        && server.slowness(now) < MAX_HEALTHY_SLOWNESS
}

/// Returns the reason why another server is selected although this server has capacity.
pub(super) fn passed_over_reason(now: TimeMs, server: &Server) -> PassedOver {
    let slots = f64::from(server.entry.slots.max(1));
    if server.is_stalled(now) {
        PassedOver::Stalled
    } else if server.failure_share(now) > HIGH_FAILURE_SHARE {
        PassedOver::Failing
    } else if server.slowness(now) > HIGH_SLOWNESS {
        PassedOver::Slow
    } else if server.load(now) >= slots {
        PassedOver::Busy
    } else {
        PassedOver::LowerScore
    }
}

fn warm_probability_of(
    now: TimeMs,
    server: &Server,
    request: &PlacementRequest<'_>,
    rank: usize,
) -> f64 {
    match request.object {
        None => 0.0,
        Some(object) if server.handled_recently(now, object) => SENT_OBJECT_WARM_PROBABILITY,
        Some(_) if rank == 0 => FIRST_SERVER_WARM_PROBABILITY,
        Some(_) => OTHER_SERVER_WARM_PROBABILITY,
    }
}
