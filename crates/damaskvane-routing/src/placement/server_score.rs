//! The score of one server for a request: the expected value of the response minus its costs.
//!
//! An object is the item that a request names. A server is warm for an object, which means faster, if it has handled
//! the object recently; the request without this is a first run. A cold server has started recently. A slot is a
//! server's capacity to run one request at a time.

use damaskvane_core::time::TimeMs;

use crate::placement::latency_score::LatencyScore;
use crate::placement::{Pick, PlacementRequest, PlacementSettings, SkipReason};
use crate::pool::{Baseline, Server};

/// Probability that a server is faster for an object although this instance has not sent the object to it recently, for
/// servers other than the first one of the object, which instances use only while the first server is busy or
/// unhealthy.
const OTHER_SERVER_WARM_PROBABILITY: f64 = 0.1;
/// Probability from which a server counts as warm in the selected server's record.
const MIN_WARM_PROBABILITY: f64 = 0.5;
/// Probability that a server is still faster for an object that it has handled recently for this instance.
const SENT_OBJECT_WARM_PROBABILITY: f64 = 0.97;
/// Factor by which work takes longer on a cold server.
const COLD_SLOWDOWN: f64 = 2.0;
/// Share of a route's usual time that nearly all requests of the route exceed.
const MIN_TIME_SHARE: f64 = 0.6;
/// Load per slot above which a higher load doesn't raise the cost further.
const MAX_COSTED_LOAD: f64 = 2.0;
/// Share of failed requests above which failures are the reported reason for passing over a server; up to this share a
/// server counts as healthy.
const HIGH_FAILURE_SHARE: f64 = 0.2;
/// Slowness, the ratio of a server's time to the usual time, above which slowness is the reported reason for passing
/// over a server.
const HIGH_SLOWNESS: f64 = 1.5;
/// Slowness from which a server counts as unhealthy, because a first run on another server takes no longer.
const MAX_HEALTHY_SLOWNESS: f64 = 3.0;

/// Estimates of a request's run time and of the distance to one server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimates {
    /// Usual times of the route's requests, on servers that have handled the object recently and on others.
    pub(super) baseline: Baseline,
    /// Network round trip to the server's zone.
    pub(super) round_trip_ms: f64,
    /// Cost of the distance, on the scale on which a response within the route's objective scores 1.
    pub(super) distance_cost: f64,
    /// Probability that the first server of an object is warm although this instance has not sent it the object.
    pub(super) first_server_warm: f64,
}

/// The score of a server for one request, with the estimates behind it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerScore {
    /// Expected value of the response minus the costs of slot time, failures, stalled requests and distance.
    pub(super) score: f64,
    /// Estimated number of requests on the server, divided by its slots.
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
            first_server_warm,
        } = estimates;
        let objective_ms = request.route.objective_ms as f64;
        let warm_probability = warm_probability_of(now, server, request, rank, first_server_warm);
        let mut slowness = server.expected_slowness(now);
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

    /// Returns this server as the selected server, with the expected times of the request.
    pub(super) fn pick(
        &self,
        now: TimeMs,
        server: &Server,
        request: &PlacementRequest<'_>,
        rank: usize,
        passed_over: Option<SkipReason>,
    ) -> Pick {
        let slots = f64::from(server.entry.slots.max(1));
        // A guessed time must not cause a refusal: the guess is derived from the objective, and a new route may be
        // faster.
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
            is_warm: self.warm_probability >= MIN_WARM_PROBABILITY,
            was_sent: request
                .object
                .is_some_and(|object| server.handled_recently(now, object)),
            remembered_ms: self.baseline.warm_ms + self.round_trip_ms,
            passed_over: passed_over.filter(|_| rank > 0),
            load: self.load,
            had_room: self.load * slots + 1.0 <= slots,
            report_age_ms: server.reported_others().map(|(at, _)| now.since(at).get()),
            rank,
        }
    }
}

/// Returns whether an object's server is expected to be no worse than another server without a recent request for the
/// object.
pub(super) fn is_healthy(now: TimeMs, server: &Server) -> bool {
    server.availability.check(now).is_ok()
        && !server.is_stalled(now)
        && server.failure_share(now) <= HIGH_FAILURE_SHARE
        && server.expected_slowness(now) < MAX_HEALTHY_SLOWNESS
}

/// Returns the reason why another server is selected although this server has capacity.
pub(super) fn passed_over_reason(now: TimeMs, server: &Server) -> SkipReason {
    let slots = f64::from(server.entry.slots.max(1));
    if server.is_stalled(now) {
        SkipReason::Stalled
    } else if server.failure_share(now) > HIGH_FAILURE_SHARE {
        SkipReason::Failing
    } else if server.expected_slowness(now) > HIGH_SLOWNESS {
        SkipReason::Slow
    } else if server.load(now) >= slots {
        SkipReason::Busy
    } else {
        SkipReason::LowerScore
    }
}

fn warm_probability_of(
    now: TimeMs,
    server: &Server,
    request: &PlacementRequest<'_>,
    rank: usize,
    first_server_warm: f64,
) -> f64 {
    match request.object {
        None => 0.0,
        Some(object) if server.handled_recently(now, object) => SENT_OBJECT_WARM_PROBABILITY,
        Some(_) if rank == 0 => first_server_warm,
        Some(_) => OTHER_SERVER_WARM_PROBABILITY,
    }
}
