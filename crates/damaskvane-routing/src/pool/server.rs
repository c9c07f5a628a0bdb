//! One backend server: its entry in the platform's store, and the state that this instance has observed.

mod recording;
mod reports;

use std::collections::{BTreeMap, HashMap};

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::limit::ColdRate;
use crate::pool::load::PeerLoad;
use crate::pool::machine_speed::MachineSpeed;
use crate::pool::speed::{Slowness, decayed_share};
use crate::pool::{
    Availability, ExchangeId, Liveness, LoadReport, PeerHealthReport, ServerEntry, ServerState,
};

/// Time after a request for an object (the item that it names) in which a server is assumed to run the next one faster.
const RECENT_OBJECT_MS: u64 = 30_000;
/// Multiple of the usual time after which an exchange (a request and its response) indicates a stalled server.
const STALLED_FACTOR: f64 = 3.0;
/// Time up to which an exchange never indicates a stalled server, because one lost packet costs about as much.
const MIN_STALLED_MS: f64 = 350.0;
/// Multiple of the usual time, and time in any case, after which a request counts as overdue. Only several servers that
/// all have overdue requests mean anything, so the bounds are lower than those of a stalled server.
const OVERDUE_FACTOR: f64 = 1.5;
const MIN_OVERDUE_MS: f64 = 250.0;
/// Slowness from which a server is reported to the zone; well above the effect of one outlier.
const MIN_REPORTED_SLOWNESS: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct InFlightRequest {
    sent_at: TimeMs,
    expected_ms: f64,
}

/// A backend server, with the load, speed, failures and liveness that this instance has observed.
#[derive(Debug)]
pub struct Server {
    /// Entry of the server in the store.
    pub entry: ServerEntry,
    region: Option<ids::RegionId>,
    /// End of the warm-up; a cold server gets few requests until then. In the past if the server is warm.
    pub cold_until: TimeMs,
    /// Time at which the server is removed, set if its entry is missing after a store outage.
    pub expires_at: Option<TimeMs>,
    /// Whether the server accepts connections.
    pub liveness: Liveness,
    /// What the server has said of its availability.
    pub availability: Availability,
    cold_rate: ColdRate,
    requests: BTreeMap<ExchangeId, InFlightRequest>,
    peer_load: PeerLoad,
    /// Last load report from the server and its time, until it was sent to the zone's other instances.
    last_report: Option<(TimeMs, LoadReport)>,
    /// Last load per slot that the server reported, for the region's load; excludes peers' reports of busy servers.
    load_sample: Option<(TimeMs, f64)>,
    /// Whether the last report to the zone reported a queue.
    is_reported_busy: bool,
    /// Speed of the server's machine, by the time factors that the server has named.
    machine_speed: MachineSpeed,
    slowness: Slowness,
    slowness_at: TimeMs,
    failure_share: f64,
    failures_at: TimeMs,
    /// Last health report from another instance and its time.
    peer_health: Option<(TimeMs, PeerHealthReport)>,
    /// Whether this instance has observed a change of health that it has not reported to the zone.
    has_unreported_health: bool,
    /// Whether the last report to the zone reported the server as slow or failing.
    is_reported_unhealthy: bool,
    objects: HashMap<u64, TimeMs>,
    answered_at: TimeMs,
}

impl Server {
    /// Returns a server whose entry was read at `now` and about which this instance has observed nothing.
    #[must_use]
    pub fn new(now: TimeMs, entry: ServerEntry, region: Option<ids::RegionId>) -> Self {
        let cold_until = now + SpanMs::new(entry.warmup_left_ms);
        Self {
            entry,
            region,
            cold_until,
            expires_at: None,
            liveness: Liveness::Up,
            availability: Availability::unknown(TimeMs::ZERO),
            cold_rate: ColdRate::default(),
            requests: BTreeMap::new(),
            peer_load: PeerLoad::default(),
            last_report: None,
            load_sample: None,
            is_reported_busy: false,
            machine_speed: MachineSpeed::default(),
            slowness: Slowness::default(),
            slowness_at: now,
            failure_share: 0.0,
            failures_at: now,
            peer_health: None,
            has_unreported_health: false,
            is_reported_unhealthy: false,
            objects: HashMap::new(),
            answered_at: TimeMs::ZERO,
        }
    }

    /// Returns the region of the server's zone, or `None` if the zone is unknown.
    #[must_use]
    pub const fn region(&self) -> Option<&ids::RegionId> {
        self.region.as_ref()
    }

    /// Returns whether the server accepts new requests: it is ready and doesn't leave, and no instance has found it dead.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.entry.state == ServerState::Ready
            && !self.availability.is_leaving()
            && matches!(self.liveness, Liveness::Up | Liveness::Suspect { .. })
    }

    pub(super) fn set_region(&mut self, region: Option<ids::RegionId>) {
        self.region = region;
    }

    /// Extends the warm-up to `left_ms` from now, unless the warm-up lasts longer already.
    pub fn extend_warmup(&mut self, now: TimeMs, left_ms: u64) {
        self.cold_until = self.cold_until.max(now + SpanMs::new(left_ms));
    }

    /// Resets recent objects, slowness, failures, liveness and what the server has said after the server has restarted.
    pub fn reset_after_restart(&mut self, now: TimeMs) {
        self.objects.clear();
        self.machine_speed = MachineSpeed::default();
        self.slowness = Slowness::default();
        self.failure_share = 0.0;
        self.failures_at = now;
        self.peer_health = None;
        self.liveness = Liveness::Up;
        self.availability = Availability::unknown(now);
    }

    /// Returns whether the rate limit of cold servers applies: the server is cold or may have restarted.
    #[must_use]
    pub fn is_cold(&self, now: TimeMs) -> bool {
        now < self.cold_until || matches!(self.liveness, Liveness::Suspect { .. })
    }

    /// Returns whether the server is not cold, or got fewer than `share` requests in this instance's rate window.
    #[must_use]
    pub fn has_cold_capacity(&self, now: TimeMs, share: usize) -> bool {
        !self.is_cold(now) || self.cold_rate.has_capacity(now, share)
    }

    /// Returns the number of this instance's requests in flight to the server.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the estimated number of requests of all instances on the server.
    #[must_use]
    pub fn load(&self, now: TimeMs) -> f64 {
        self.peer_load.estimate(now) + self.requests.len() as f64
    }

    /// Returns the time of the server's last load report, and the number of other instances' requests on the server then;
    /// `None` if there was no report.
    #[must_use]
    pub fn reported_others(&self) -> Option<(TimeMs, f64)> {
        self.peer_load.last()
    }

    /// Returns the ratio of the time that a request takes now to its usual time: the server's own slowness times the
    /// time factor of its machine.
    #[must_use]
    pub fn expected_slowness(&self, now: TimeMs) -> f64 {
        self.slowness(now) * self.machine_speed.ratio(now)
    }

    /// Returns the ratio of the server's time to the usual time of requests, by observation or a peer's report, without
    /// the time factor of its machine.
    #[must_use]
    pub fn slowness(&self, now: TimeMs) -> f64 {
        let own = self.own_slowness(now);
        match self.peer_health {
            Some((at, health)) if at > self.slowness_at => {
                let mut decayed = Slowness::from_ratio(health.slowness);
                decayed.decay(now.since(at).get());
                own.max(decayed.ratio())
            }
            _ => own,
        }
    }

    /// Returns the share of recent exchanges that failed, by this instance's observation or a peer's report.
    #[must_use]
    pub fn failure_share(&self, now: TimeMs) -> f64 {
        let own = self.own_failure_share(now);
        match self.peer_health {
            Some((at, health)) if at > self.failures_at => {
                own.max(decayed_share(health.failure_share, now.since(at).get()))
            }
            _ => own,
        }
    }

    fn own_slowness(&self, now: TimeMs) -> f64 {
        let mut decayed = self.slowness;
        decayed.decay(now.since(self.slowness_at).get());
        decayed.ratio()
    }

    fn own_failure_share(&self, now: TimeMs) -> f64 {
        decayed_share(self.failure_share, now.since(self.failures_at).get())
    }

    /// Returns whether an exchange in progress has lasted far longer than usual.
    ///
    /// Such an exchange reveals a silent or very slow server within a few hundred milliseconds.
    #[must_use]
    pub fn is_stalled(&self, now: TimeMs) -> bool {
        self.stall_ratio(now).is_some()
    }

    /// Returns the highest ratio of age to usual time among the exchanges that are stalled at `now`, or `None` if no
    /// exchange is.
    fn stall_ratio(&self, now: TimeMs) -> Option<f64> {
        let ratios = self.requests.values().filter_map(|request| {
            let bound_ms = (request.expected_ms * STALLED_FACTOR).max(MIN_STALLED_MS);
            let lasted_ms = now.since(request.sent_at).get() as f64;
            (lasted_ms > bound_ms).then(|| lasted_ms / request.expected_ms.max(1.0))
        });
        ratios.max_by(f64::total_cmp)
    }

    /// Returns when the oldest request was sent that has got no answer for far longer than usual while the server
    /// answered no other request of this instance; `None` if there is none.
    #[must_use]
    pub fn overdue_since(&self, now: TimeMs) -> Option<TimeMs> {
        let overdue = self.requests.values().filter(|request| {
            let bound_ms = (request.expected_ms * OVERDUE_FACTOR).max(MIN_OVERDUE_MS);
            let lasted_ms = now.since(request.sent_at).get() as f64;
            lasted_ms > bound_ms && self.answered_at < request.sent_at
        });
        overdue.map(|request| request.sent_at).min()
    }

    /// Returns the time of the last response to this instance, or 0 if there was none.
    #[must_use]
    pub const fn answered_at(&self) -> TimeMs {
        self.answered_at
    }

    /// Returns whether the server handled a request of this instance for the object within `RECENT_OBJECT_MS`.
    #[must_use]
    pub fn handled_recently(&self, now: TimeMs, object: u64) -> bool {
        self.objects
            .get(&object)
            .is_some_and(|at| now.since(*at).get() < RECENT_OBJECT_MS)
    }
}
