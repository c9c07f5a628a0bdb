//! Times of slot leases; equal on all instances.
//!
//! ```
//! use damaskvane_slots::settings;
//!
//! let settings = settings::SlotSettings::default();
//! assert!(settings.margin_ms < settings.lease_ms);
//! ```

use damaskvane_core::time::SpanMs;

/// Times of slot leases.
#[derive(Debug, Clone)]
pub struct SlotSettings {
    /// How long a lease lasts; no request runs longer on a backend server.
    pub lease_ms: SpanMs,
    /// How much earlier a lease ends for its holder than for the owner.
    ///
    /// It covers the way of a request to the backend server, the difference between two clocks over
    /// one lease, and the time a backend server takes to stop work at its deadline.
    pub margin_ms: SpanMs,
    /// How long a free slot is kept before it goes back.
    pub idle_return_ms: SpanMs,
    /// After this time without an answer the owner is asked again.
    pub response_timeout_ms: SpanMs,
    /// How long after a start there may be others that were fenced before it and still act: the lag of the
    /// list and the authority of membership together.
    pub unknown_fence_ms: SpanMs,
    /// How long an owner asks others to make do with a smaller share.
    pub recall_ms: SpanMs,
    /// The time between two such calls while others wait.
    pub recall_interval_ms: SpanMs,
    /// After this time those who have not answered a claim are asked again.
    pub claim_retry_ms: SpanMs,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            lease_ms: SpanMs::new(5_000),
            margin_ms: SpanMs::new(300),
            idle_return_ms: SpanMs::new(500),
            response_timeout_ms: SpanMs::new(300),
            unknown_fence_ms: SpanMs::new(32_000),
            recall_ms: SpanMs::new(1_000),
            recall_interval_ms: SpanMs::new(20),
            claim_retry_ms: SpanMs::new(300),
        }
    }
}

impl SlotSettings {
    /// After this time whatever was lent by, or to, one that is gone has lapsed.
    #[must_use]
    pub const fn expiry_ms(&self) -> SpanMs {
        SpanMs::new(self.lease_ms.get() + self.margin_ms.get())
    }
}
