//! How often and how long.
//!
//! ```
//! use damaskvane_config::relay;
//!
//! assert_eq!(relay::RelaySettings::default().relays_per_zone, 2);
//! ```

use damaskvane_core::time;

/// Settings of dissemination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelaySettings {
    /// How many instances of a zone watch the store. Two, so that one may be paused unnoticed.
    pub relays_per_zone: usize,
    /// How long an answer from a peer of the same zone may take.
    pub near_timeout_ms: time::SpanMs,
    /// How long an answer from a peer of another zone may take.
    pub peer_timeout_ms: time::SpanMs,
    /// How long an answer from the store may take.
    pub store_timeout_ms: time::SpanMs,
    /// How often a relay reads the head though its watch is silent.
    pub poll_ms: time::SpanMs,
    /// How often an instance that hears nobody of its zone reads the head.
    pub lonely_poll_ms: time::SpanMs,
    /// How long a starting instance asks its peers before it asks the store.
    pub boot_grace_ms: time::SpanMs,
    /// How long until an announcement that shows no effect is made again; doubles each time.
    pub tell_again_ms: time::SpanMs,
    /// How often an announcement is made at most.
    pub tell_times: u32,
    /// How long a peer that gave nothing is left alone at most.
    pub peer_retry_ms: time::SpanMs,
    /// How long the store is left alone at most after it gave nothing.
    pub retry_ms: time::SpanMs,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            relays_per_zone: 2,
            near_timeout_ms: time::SpanMs::new(150),
            peer_timeout_ms: time::SpanMs::new(300),
            store_timeout_ms: time::SpanMs::new(2_500),
            poll_ms: time::SpanMs::new(30_000),
            lonely_poll_ms: time::SpanMs::new(15_000),
            boot_grace_ms: time::SpanMs::new(500),
            tell_again_ms: time::SpanMs::new(200),
            tell_times: 4,
            peer_retry_ms: time::SpanMs::new(200),
            retry_ms: time::SpanMs::new(2_000),
        }
    }
}
