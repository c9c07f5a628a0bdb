//! Durations of slot leases, which have to be equal on all instances.
//!
//! A slot is the right to run one request on a backend server. The server's owner, one of the instances,
//! grants slots to holders, each grant for the time of a lease.
//!
//! ```
//! use damaskvane_slots::settings;
//!
//! let settings = settings::SlotSettings::default();
//! assert!(settings.margin_ms < settings.lease_ms);
//! ```

use damaskvane_core::time::SpanMs;

/// Durations of slot leases, in milliseconds.
#[derive(Debug, Clone)]
pub struct SlotSettings {
    /// Length of a lease; also the upper limit of the time that a request may run on a backend server.
    pub lease_ms: SpanMs,
    /// How much earlier a lease expires for its holder than for the owner.
    ///
    /// The margin covers the transit time of a request to the backend server, the drift between two clocks
    /// over one lease, and the time that a backend server takes to stop a request at its deadline.
    pub margin_ms: SpanMs,
    /// How long a grant stays unused before its holder returns the grant's free slots.
    pub idle_return_ms: SpanMs,
    /// How long after a report of waiting requests a holder keeps free slots for them, up to its share, although
    /// other instances wait for slots, too.
    pub shortage_ms: SpanMs,
    /// Time to wait for the owner's response before an acquire or renewal request is sent again.
    pub response_timeout_ms: SpanMs,
    /// How long after this instance's start an instance that was fenced before may still grant or use slots.
    ///
    /// Fencing revokes the authority of an instance, its right to own servers. The time is the sum of the lag
    /// of the platform's instance list and the duration of the authority.
    pub unknown_fence_ms: SpanMs,
    /// How long a recall, the owner's request to return slots, limits the number of slots of a holder.
    pub recall_ms: SpanMs,
    /// Minimum time between two rounds of recalls for a server while acquire requests wait.
    pub recall_interval_ms: SpanMs,
    /// Interval at which a claim, the request to become an owner, is sent again to instances that have not
    /// consented.
    pub claim_retry_ms: SpanMs,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            lease_ms: SpanMs::new(5_000),
            margin_ms: SpanMs::new(300),
            idle_return_ms: SpanMs::new(500),
            shortage_ms: SpanMs::new(100),
            response_timeout_ms: SpanMs::new(300),
            unknown_fence_ms: SpanMs::new(32_000),
            recall_ms: SpanMs::new(1_000),
            recall_interval_ms: SpanMs::new(20),
            claim_retry_ms: SpanMs::new(300),
        }
    }
}

impl SlotSettings {
    /// Returns how long a holder may use a lease, and how long a request may run under a standing one.
    #[must_use]
    pub const fn usable_ms(&self) -> SpanMs {
        self.lease_ms.saturating_sub(self.margin_ms)
    }

    /// Returns how long after the stop of an instance all grants that it made or held have expired.
    #[must_use]
    pub const fn expiry_ms(&self) -> SpanMs {
        SpanMs::new(self.lease_ms.get() + self.margin_ms.get())
    }
}
