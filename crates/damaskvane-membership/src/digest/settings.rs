//! Periods of the digest exchange.

use damaskvane_core::time::SpanMs;

/// Periods of the digest exchange.
#[derive(Debug, Clone)]
pub struct DigestSettings {
    /// The time between two digests of a zone within its region.
    pub region_period_ms: SpanMs,
    /// The time between two bundles to other regions.
    pub world_period_ms: SpanMs,
    /// To how many instances each passes digests on in its zone.
    pub fan_out: usize,
    /// A zone whose digest is older is sent to by the list, not by its last author.
    pub fresh_ms: SpanMs,
    /// A digest this old is replaced by any other.
    pub forget_ms: SpanMs,
}

impl Default for DigestSettings {
    fn default() -> Self {
        Self {
            region_period_ms: SpanMs::new(1_000),
            world_period_ms: SpanMs::new(10_000),
            fan_out: 2,
            fresh_ms: SpanMs::new(25_000),
            forget_ms: SpanMs::new(60_000),
        }
    }
}
