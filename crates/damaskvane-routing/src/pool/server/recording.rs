//! What a server's exchanges show of its load, speed, failures and liveness.

use damaskvane_core::time::{SpanMs, TimeMs};

use crate::pool::server::{InFlightRequest, MIN_REPORTED_SLOWNESS, RECENT_OBJECT_MS};
use crate::pool::{ExchangeEnd, ExchangeId, Liveness, LoadReport, Server, ServerReport};

/// Maximum number of recent objects stored per server; well above the number for which a server is faster.
const MAX_OBJECTS: usize = 1_024;
/// Weight of a new exchange in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Shortest rest that a server asks for instead of counting as failing: with shorter ones it would be tried too often.
const MIN_REST: SpanMs = SpanMs::new(300);

impl Server {
    /// Records a request that is sent now and usually takes `expected_ms`.
    pub fn record_sent(&mut self, now: TimeMs, exchange: ExchangeId, expected_ms: f64) {
        self.cold_rate.record(now);
        let request = InFlightRequest {
            sent_at: now,
            expected_ms,
        };
        self.requests.insert(exchange, request);
    }

    /// Records the end of an exchange; returns its duration in milliseconds, or `None` if the exchange is unknown.
    pub fn record_end(
        &mut self,
        now: TimeMs,
        exchange: ExchangeId,
        end: ExchangeEnd,
        report: ServerReport,
    ) -> Option<u64> {
        let request = self.requests.remove(&exchange)?;
        if let Some(load) = report.load {
            self.peer_load.record(now, load, self.requests.len());
            self.last_report = Some((now, load));
            self.load_sample = Some((now, self.load_without_request(load)));
        }
        if let Some(factor) = report.time_factor.filter(|_| !report.is_other_server) {
            self.machine_speed.record(now, factor);
        }
        self.record_liveness(now, end);
        if matches!(
            end,
            ExchangeEnd::Answered | ExchangeEnd::Failed | ExchangeEnd::Shed
        ) {
            self.answered_at = now;
        }
        if let Some(failed) = self.counts_as_failure(end, report) {
            self.record_sample(now, failed);
        }
        Some(now.since(request.sent_at).get())
    }

    /// Records that the server has sent bytes without end after a response, which counts as a failure.
    pub fn record_flood(&mut self, now: TimeMs) {
        self.record_sample(now, true);
    }

    fn record_sample(&mut self, now: TimeMs, failed: bool) {
        let share = self.own_failure_share(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_share = share + (sample - share) * FAILURE_WEIGHT;
        self.failures_at = now;
        self.has_unreported_health |= failed;
    }

    /// Returns the load per slot, without the request whose response carried the report.
    ///
    /// Busy servers send more reports, so with independent arrivals the mean reported load is one request too high.
    fn load_without_request(&self, load: LoadReport) -> f64 {
        let requests = f64::from(load.running) + f64::from(load.waiting);
        (requests - 1.0).max(0.0) / f64::from(self.entry.slots.max(1))
    }

    /// Removes and returns the last load per slot, and its time, if reported since the last call.
    pub(in crate::pool) const fn take_load_sample(&mut self) -> Option<(TimeMs, f64)> {
        self.load_sample.take()
    }

    /// Records the time that the server took for a request, without the network round trip and divided by the time
    /// factor of its machine.
    pub fn record_work_time(&mut self, now: TimeMs, took_ms: f64, expected_ms: f64) {
        self.slowness.decay(now.since(self.slowness_at).get());
        self.slowness.record(took_ms, expected_ms);
        self.slowness_at = now;
        self.has_unreported_health |=
            self.is_reported_unhealthy || self.slowness.ratio() >= MIN_REPORTED_SLOWNESS;
    }

    /// Records that the server has handled a request for an object.
    pub fn record_object(&mut self, now: TimeMs, object: u64) {
        if self.objects.len() >= MAX_OBJECTS {
            self.objects
                .retain(|_, at| now.since(*at).get() < RECENT_OBJECT_MS);
        }
        if self.objects.len() < MAX_OBJECTS {
            self.objects.insert(object, now);
        }
    }

    fn record_liveness(&mut self, now: TimeMs, end: ExchangeEnd) {
        match end {
            ExchangeEnd::Unreachable => {
                if !matches!(self.liveness, Liveness::Down { .. } | Liveness::Replaced) {
                    self.liveness = Liveness::down(now);
                }
            }
            // An open connection can fall silent while new ones work, so a probe on a new connection is due at once.
            ExchangeEnd::Silent => {
                if !matches!(self.liveness, Liveness::Down { .. } | Liveness::Replaced) {
                    self.liveness = Liveness::Down {
                        probe_at: now,
                        failed_probes: 0,
                    };
                }
            }
            ExchangeEnd::Broken => {
                if self.liveness == Liveness::Up {
                    self.liveness = Liveness::Suspect { probe_at: now };
                }
            }
            ExchangeEnd::Misdirected => self.liveness = Liveness::Replaced,
            ExchangeEnd::Answered
            | ExchangeEnd::Failed
            | ExchangeEnd::Shed
            | ExchangeEnd::Malformed
            | ExchangeEnd::Withheld
            | ExchangeEnd::Limited
            | ExchangeEnd::Unavailable
            | ExchangeEnd::Abandoned
            | ExchangeEnd::Withdrawn => {}
        }
    }

    /// Returns whether an exchange's end counts as the server's failure, or `None` if it counts neither way.
    fn counts_as_failure(&self, end: ExchangeEnd, report: ServerReport) -> Option<bool> {
        match end {
            ExchangeEnd::Answered => Some(false),
            // The server says what it needs, and gets it.
            ExchangeEnd::Failed | ExchangeEnd::Shed if report.asks_for_rest(MIN_REST) => None,
            ExchangeEnd::Failed | ExchangeEnd::Broken | ExchangeEnd::Malformed => Some(true),
            // A full server rightly rejects requests; a server that rejects them with free slots is unhealthy.
            ExchangeEnd::Shed => report
                .load
                .is_none_or(|load| load.running < load.slots)
                .then_some(true),
            ExchangeEnd::Misdirected
            | ExchangeEnd::Unreachable
            | ExchangeEnd::Silent
            | ExchangeEnd::Withheld
            | ExchangeEnd::Limited
            | ExchangeEnd::Unavailable
            | ExchangeEnd::Abandoned
            | ExchangeEnd::Withdrawn => None,
        }
    }
}
