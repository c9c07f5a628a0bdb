//! What this instance sees of one backend server.
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

/// How a request on a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole answer.
    Answered {
        /// How long it took.
        took: time::SpanMs,
    },
    /// Refused before it ran.
    Refused,
    /// By a dead connection or a time-out.
    Failed,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Seen {
    pub(super) joined_at: time::TimeMs,
    /// Whether it was at work before this instance knew it.
    pub(super) is_warm: bool,
    pub(super) leaving: bool,
    pub(super) answered_at: Option<time::TimeMs>,
    pub(super) failed_at: Option<time::TimeMs>,
    pub(super) failures: u32,
    pub(super) refusals: u32,
    pub(super) latency_us: u64,
    pub(super) in_flight: u32,
    pub(super) report: Option<(time::TimeMs, bool)>,
}

impl Seen {
    pub(super) const fn new(now: time::TimeMs) -> Self {
        Self {
            joined_at: now,
            is_warm: false,
            leaving: false,
            answered_at: None,
            failed_at: None,
            failures: 0,
            refusals: 0,
            latency_us: 0,
            in_flight: 0,
            report: None,
        }
    }

    pub(super) fn record_end(&mut self, outcome: Outcome, now: time::TimeMs, failures_out: u32) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered { took } => {
                if self.failures >= failures_out {
                    // It was out and works again: its caches are cold, as after a start.
                    self.joined_at = now;
                    self.is_warm = false;
                }
                self.failures = 0;
                self.refusals = 0;
                self.answered_at = Some(now);
                self.add_latency(took);
            }
            Outcome::Refused => self.refusals += 1,
            Outcome::Failed => {
                self.failures += 1;
                self.failed_at = Some(now);
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
