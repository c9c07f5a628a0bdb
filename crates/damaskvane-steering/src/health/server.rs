//! Observations of one backend server by this instance.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::health;
//!
//! let outcome = health::Outcome::Answered { took: time::SpanMs::new(20) };
//! assert_ne!(outcome, health::Outcome::Failed);
//! ```

use damaskvane_core::time;

const LATENCY_WEIGHT: u64 = 8;

/// Outcome of a request on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server sent a complete response.
    Answered {
        /// Time from sending the request to the complete response.
        took: time::SpanMs,
    },
    /// The server refused the request before running it.
    Refused,
    /// The connection broke or the request timed out.
    Failed,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct ServerState {
    pub(super) joined_at: time::TimeMs,
    /// Whether the server was running before this instance added it.
    pub(super) is_warm: bool,
    pub(super) leaving: bool,
    pub(super) last_response_at: Option<time::TimeMs>,
    pub(super) last_failure_at: Option<time::TimeMs>,
    pub(super) failures: u32,
    pub(super) refusals: u32,
    pub(super) latency_us: u64,
    pub(super) in_flight: u32,
    pub(super) report: Option<(time::TimeMs, bool)>,
}

impl ServerState {
    pub(super) const fn new(now: time::TimeMs) -> Self {
        Self {
            joined_at: now,
            is_warm: false,
            leaving: false,
            last_response_at: None,
            last_failure_at: None,
            failures: 0,
            refusals: 0,
            latency_us: 0,
            in_flight: 0,
            report: None,
        }
    }

    pub(super) fn record_end(
        &mut self,
        outcome: Outcome,
        now: time::TimeMs,
        exclusion_failures: u32,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered { took } => {
                if self.failures >= exclusion_failures {
                    // The server was excluded and has recovered. Its caches are cold, as after a
                    // start.
                    self.joined_at = now;
                    self.is_warm = false;
                }
                self.failures = 0;
                self.refusals = 0;
                self.last_response_at = Some(now);
                self.add_latency(took);
            }
            Outcome::Refused => self.refusals += 1,
            Outcome::Failed => {
                self.failures += 1;
                self.last_failure_at = Some(now);
            }
        }
    }

    fn add_latency(&mut self, took: time::SpanMs) {
        let took_us = took.get().saturating_mul(1_000);
        self.latency_us = if self.latency_us == 0 {
            took_us
        } else {
            (self.latency_us * (LATENCY_WEIGHT - 1) + took_us) / LATENCY_WEIGHT
        };
    }
}
