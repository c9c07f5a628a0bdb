//! Intervals and limits of the digest exchange; a digest is a report on one zone.

use damaskvane_core::time::SpanMs;

/// Intervals and limits of the digest exchange.
#[derive(Debug, Clone)]
pub struct DigestSettings {
    /// Time between two digests that a zone sends within its region.
    pub region_period_ms: SpanMs,
    /// Time between two bundles of digests that a region sends to each other region.
    pub inter_region_period_ms: SpanMs,
    /// Maximum number of instances of its zone to which an instance forwards digests.
    pub fan_out: usize,
    /// Age up to which a digest is fresh. Without a fresh digest of a zone, bundles for that zone go to
    /// its instances in turn, not to the author of its last digest.
    pub fresh_ms: SpanMs,
    /// Age from which a stored digest is replaced by any other digest of its zone, also by one with a
    /// lower sequence number.
    pub forget_ms: SpanMs,
}

impl Default for DigestSettings {
    fn default() -> Self {
        Self {
            region_period_ms: SpanMs::new(1_000),
            inter_region_period_ms: SpanMs::new(10_000),
            fan_out: 2,
            fresh_ms: SpanMs::new(25_000),
            forget_ms: SpanMs::new(60_000),
        }
    }
}
