//! One backend server: its entry, and what this instance has seen of it.

use std::collections::{BTreeMap, HashMap};

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::limit::ColdRate;
use crate::pool::load::OthersLoad;
use crate::pool::speed::Slowness;
use crate::pool::{
    ExchangeEnd, ExchangeId, Liveness, LoadReport, PeerHealthReport, PeerServerReport, ServerEntry,
    ServerKey, ServerReport,
};

/// How long a server is taken to remember an object that this instance sent there.
const OBJECT_MEMORY_MS: u64 = 30_000;
/// Objects that are kept in mind for each server; well above what servers remember.
const MOST_OBJECTS: usize = 1_024;
/// An exchange that lasts this many times the usual time shows a stalled server.
const STALLED_FACTOR: f64 = 3.0;
/// Exchanges shorter than this never show a stalled server: one lost packet costs about as much.
const STALLED_LEAST_MS: f64 = 350.0;
/// The weight of a new sample in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// The time in which a share of failures fades to a third.
const FAILURE_FADES_MS: f64 = 4_000.0;
/// From where on the zone is told that a server is slow, or fails: well above what one odd answer makes.
const TOLD_SLOWNESS: f64 = 2.0;
const TOLD_FAILURE_SHARE: f64 = 0.2;

#[derive(Debug, Clone, Copy)]
struct Flight {
    sent_at: TimeMs,
    expected_ms: f64,
}

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// Its entry in the store.
    pub entry: ServerEntry,
    region: Option<ids::RegionId>,
    /// Until when it is cold; no time where it is warm.
    pub cold_until: TimeMs,
    /// When its entry is to be taken as gone, if it was missing after an outage of the store.
    pub lapses_at: Option<TimeMs>,
    /// Whether it can be reached.
    pub liveness: Liveness,
    cold_rate: ColdRate,
    flights: BTreeMap<ExchangeId, Flight>,
    others: OthersLoad,
    /// What it said last to this instance, and when.
    reported: Option<(TimeMs, LoadReport)>,
    /// What it said last to this instance, for the load of its region: words that are told concern busy servers only.
    fresh_load: Option<(TimeMs, f64)>,
    /// Whether the zone was told last that it has a queue.
    is_told_busy: bool,
    slowness: Slowness,
    slowness_at: TimeMs,
    failure_share: f64,
    failures_at: TimeMs,
    /// What another instance found, and when.
    told: Option<(TimeMs, PeerHealthReport)>,
    /// Whether this instance has found out something of its health that the zone wasn't told.
    has_finding: bool,
    /// Whether the zone was told last that it is slow or fails.
    is_told_unwell: bool,
    objects: HashMap<u64, TimeMs>,
    answered_at: TimeMs,
}

impl Server {
    /// A server of which only its entry is known.
    #[must_use]
    pub fn new(now: TimeMs, entry: ServerEntry, region: Option<ids::RegionId>) -> Self {
        let cold_until = now + SpanMs::new(entry.warmup_left_ms);
        Self {
            entry,
            region,
            cold_until,
            lapses_at: None,
            liveness: Liveness::Up,
            cold_rate: ColdRate::default(),
            flights: BTreeMap::new(),
            others: OthersLoad::default(),
            reported: None,
            fresh_load: None,
            is_told_busy: false,
            slowness: Slowness::default(),
            slowness_at: now,
            failure_share: 0.0,
            failures_at: now,
            told: None,
            has_finding: false,
            is_told_unwell: false,
            objects: HashMap::new(),
            answered_at: TimeMs::ZERO,
        }
    }

    /// The region of its zone, if that is known.
    #[must_use]
    pub const fn region(&self) -> Option<&ids::RegionId> {
        self.region.as_ref()
    }

    pub(super) fn set_region(&mut self, region: Option<ids::RegionId>) {
        self.region = region;
    }

    /// Marks the server cold for so long, if it isn't already for longer.
    pub fn extend_warmup(&mut self, now: TimeMs, left_ms: u64) {
        self.cold_until = self.cold_until.max(now + SpanMs::new(left_ms));
    }

    /// Forgets what the server remembered and how it did: it has restarted.
    pub fn restarted(&mut self, now: TimeMs) {
        self.objects.clear();
        self.slowness = Slowness::default();
        self.failure_share = 0.0;
        self.failures_at = now;
        self.told = None;
        self.liveness = Liveness::Up;
    }

    /// Whether the bound on cold servers applies: the server is cold, or may be.
    #[must_use]
    pub fn is_cold(&self, now: TimeMs) -> bool {
        now < self.cold_until || matches!(self.liveness, Liveness::Doubtful { .. })
    }

    /// Whether one more request stays within this instance's share of a cold server.
    #[must_use]
    pub fn has_cold_capacity(&self, now: TimeMs, share: usize) -> bool {
        !self.is_cold(now) || self.cold_rate.has_capacity(now, share)
    }

    /// Requests of this instance there.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Requests of all instances there, as far as one can tell.
    #[must_use]
    pub fn load(&self, now: TimeMs) -> f64 {
        self.others.estimate(now) + self.flights.len() as f64
    }

    /// How much longer than usual it takes, as this instance or another one of the zone has found.
    #[must_use]
    pub fn slowness(&self, now: TimeMs) -> f64 {
        let own = self.own_slowness(now);
        match self.told {
            Some((at, told)) if at > self.slowness_at => {
                let mut faded = Slowness::of(told.slowness);
                faded.fade(now.since(at).get());
                own.max(faded.ratio())
            }
            _ => own,
        }
    }

    /// The share of its exchanges that failed lately, as this instance or another one of the zone has found.
    #[must_use]
    pub fn failure_share(&self, now: TimeMs) -> f64 {
        let own = self.own_failure_share(now);
        match self.told {
            Some((at, told)) if at > self.failures_at => {
                own.max(faded_share(told.failure_share, now.since(at).get()))
            }
            _ => own,
        }
    }

    fn own_slowness(&self, now: TimeMs) -> f64 {
        let mut faded = self.slowness;
        faded.fade(now.since(self.slowness_at).get());
        faded.ratio()
    }

    fn own_failure_share(&self, now: TimeMs) -> f64 {
        faded_share(self.failure_share, now.since(self.failures_at).get())
    }

    /// Whether an exchange of this instance has lasted far longer than usual.
    ///
    /// A server that went silent or very slow shows nothing until an exchange ends; the age of those
    /// that haven't ended shows it within a few hundred milliseconds.
    #[must_use]
    pub fn is_stalled(&self, now: TimeMs) -> bool {
        self.stalled(now).is_some()
    }

    /// How many times the usual time its slowest exchange has lasted, if that shows a stalled server.
    fn stalled(&self, now: TimeMs) -> Option<f64> {
        let ratios = self.flights.values().filter_map(|flight| {
            let bound_ms = (flight.expected_ms * STALLED_FACTOR).max(STALLED_LEAST_MS);
            let lasted_ms = now.since(flight.sent_at).get() as f64;
            (lasted_ms > bound_ms).then(|| lasted_ms / flight.expected_ms.max(1.0))
        });
        ratios.max_by(f64::total_cmp)
    }

    /// When it last answered this instance.
    #[must_use]
    pub const fn answered_at(&self) -> TimeMs {
        self.answered_at
    }

    /// Whether this instance has sent it the object lately.
    #[must_use]
    pub fn handled_recently(&self, now: TimeMs, object: u64) -> bool {
        self.objects
            .get(&object)
            .is_some_and(|at| now.since(*at).get() < OBJECT_MEMORY_MS)
    }

    /// Notes a request that is sent now.
    pub fn record_sent(&mut self, now: TimeMs, exchange: ExchangeId, expected_ms: f64) {
        self.cold_rate.record(now);
        let flight = Flight {
            sent_at: now,
            expected_ms,
        };
        self.flights.insert(exchange, flight);
    }

    /// Notes the end of an exchange; returns how long it took, if it was under way.
    pub fn record_end(
        &mut self,
        now: TimeMs,
        exchange: ExchangeId,
        end: ExchangeEnd,
        report: ServerReport,
    ) -> Option<u64> {
        let flight = self.flights.remove(&exchange)?;
        if let Some(load) = report.load {
            self.others.note(now, load, self.flights.len());
            self.reported = Some((now, load));
            self.fresh_load = Some((now, self.load_beside_one(load)));
        }
        self.note_reach(now, end);
        if matches!(
            end,
            ExchangeEnd::Answered | ExchangeEnd::Failed | ExchangeEnd::Shed
        ) {
            self.answered_at = now;
        }
        if let Some(failed) = self.verdict(end, report) {
            let share = self.own_failure_share(now);
            let sample = if failed { 1.0 } else { 0.0 };
            self.failure_share = share + (sample - share) * FAILURE_WEIGHT;
            self.failures_at = now;
            self.has_finding |= failed;
        }
        Some(now.since(flight.sent_at).get())
    }

    /// Takes in what another instance tells of it, as far as that is newer.
    pub(super) fn apply_server_reports(&mut self, now: TimeMs, told: &PeerServerReport) {
        let said_at = TimeMs::new(now.get().saturating_sub(told.age_ms));
        if let Some(load) = told.load
            && said_at > self.others.noted_at()
        {
            self.others.note(said_at, load, self.flights.len());
        }
        if let Some(health) = told.health
            && self.told.is_none_or(|(at, _)| said_at >= at)
        {
            self.told = Some((said_at, health));
        }
    }

    /// Its load for each slot without the request that was answered.
    ///
    /// Requests meet busy servers more often than idle ones, so the mean of what they meet is above the mean of all
    /// servers, by one request where requests come independently of each other.
    fn load_beside_one(&self, load: LoadReport) -> f64 {
        let requests = f64::from(load.running) + f64::from(load.waiting);
        (requests - 1.0).max(0.0) / f64::from(self.entry.slots.max(1))
    }

    /// What it said of its load since the last call, for each of its slots.
    pub(super) const fn take_fresh_load(&mut self) -> Option<(TimeMs, f64)> {
        self.fresh_load.take()
    }

    /// Whether it said something that the zone wasn't told yet.
    pub(super) const fn has_news(&self) -> bool {
        self.reported.is_some() || self.has_finding
    }

    /// What the zone is to hear of it: that it has a queue, is slow or fails, or no longer so.
    pub(super) fn tell(&mut self, now: TimeMs) -> Option<PeerServerReport> {
        let (load, age_ms) = self.tell_load(now).unzip();
        let health = self.tell_health(now);
        let is_told = load.is_some() || health.is_some();
        is_told.then(|| PeerServerReport {
            server: ServerKey::of(&self.entry.id),
            load,
            health,
            age_ms: age_ms.unwrap_or_default(),
        })
    }

    fn tell_load(&mut self, now: TimeMs) -> Option<(LoadReport, u64)> {
        let (said_at, load) = self.reported.take()?;
        let is_busy = load.waiting > 0;
        let was_busy = core::mem::replace(&mut self.is_told_busy, is_busy);
        (is_busy || was_busy).then(|| (load, now.since(said_at).get()))
    }

    fn tell_health(&mut self, now: TimeMs) -> Option<PeerHealthReport> {
        let stalled = self.stalled(now);
        let has_finding = core::mem::take(&mut self.has_finding) || stalled.is_some();
        if !has_finding {
            return None;
        }
        let health = PeerHealthReport {
            slowness: self.own_slowness(now).max(stalled.unwrap_or(1.0)),
            failure_share: self.own_failure_share(now),
        };
        let is_unwell =
            health.slowness >= TOLD_SLOWNESS || health.failure_share >= TOLD_FAILURE_SHARE;
        let was_unwell = core::mem::replace(&mut self.is_told_unwell, is_unwell);
        (is_unwell || was_unwell).then_some(health)
    }

    /// Notes how long an answered request took, without the way there and back.
    pub fn record_work_time(&mut self, now: TimeMs, took_ms: f64, expected_ms: f64) {
        self.slowness.fade(now.since(self.slowness_at).get());
        self.slowness.note(took_ms, expected_ms);
        self.slowness_at = now;
        self.has_finding |= self.is_told_unwell || self.slowness.ratio() >= TOLD_SLOWNESS;
    }

    /// Notes that the server has handled an object.
    pub fn record_object(&mut self, now: TimeMs, object: u64) {
        if self.objects.len() >= MOST_OBJECTS {
            self.objects
                .retain(|_, at| now.since(*at).get() < OBJECT_MEMORY_MS);
        }
        if self.objects.len() < MOST_OBJECTS {
            self.objects.insert(object, now);
        }
    }

    fn note_reach(&mut self, now: TimeMs, end: ExchangeEnd) {
        match end {
            ExchangeEnd::Unreachable => {
                if !matches!(self.liveness, Liveness::Down { .. } | Liveness::Replaced) {
                    self.liveness = Liveness::down(now);
                }
            }
            // An open connection can go silent while new ones work: a new one is tried at once.
            ExchangeEnd::Silent => {
                if !matches!(self.liveness, Liveness::Down { .. } | Liveness::Replaced) {
                    self.liveness = Liveness::Down {
                        probe_at: now,
                        failures: 0,
                    };
                }
            }
            ExchangeEnd::Broken => {
                if self.liveness == Liveness::Up {
                    self.liveness = Liveness::Doubtful { probe_at: now };
                }
            }
            ExchangeEnd::Misdirected => self.liveness = Liveness::Replaced,
            ExchangeEnd::Answered
            | ExchangeEnd::Failed
            | ExchangeEnd::Shed
            | ExchangeEnd::Malformed
            | ExchangeEnd::Abandoned => {}
        }
    }

    /// Whether the end counts as the server's failure; `None` where it says nothing of the server.
    fn verdict(&self, end: ExchangeEnd, report: ServerReport) -> Option<bool> {
        match end {
            ExchangeEnd::Answered => Some(false),
            ExchangeEnd::Failed | ExchangeEnd::Broken | ExchangeEnd::Malformed => Some(true),
            // A full server sheds by right; one with free slots that sheds is unwell.
            ExchangeEnd::Shed => report
                .load
                .is_none_or(|load| load.running < load.slots)
                .then_some(true),
            ExchangeEnd::Misdirected
            | ExchangeEnd::Unreachable
            | ExchangeEnd::Silent
            | ExchangeEnd::Abandoned => None,
        }
    }
}

fn faded_share(share: f64, age_ms: u64) -> f64 {
    share * (-(age_ms as f64) / FAILURE_FADES_MS).exp()
}
