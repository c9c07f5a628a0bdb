//! Timeouts, intervals and limits of a relay.
//!
//! ```
//! use damaskvane_config::relay;
//!
//! assert_eq!(relay::RelaySettings::default().relays_per_zone, 2);
//! ```

use damaskvane_core::time;

/// Settings for fetching and announcing heads, the lists of a configuration version's objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelaySettings {
    /// The number of instances of a zone that watch the store.
    ///
    /// With two, the zone still receives new heads while one of them is paused and still counts as
    /// live.
    pub relays_per_zone: usize,
    /// Timeout of a fetch from a peer of the same zone.
    pub same_zone_timeout_ms: time::SpanMs,
    /// Timeout of a fetch from a peer of another zone.
    pub other_zone_timeout_ms: time::SpanMs,
    /// Timeout of a fetch from the store.
    pub store_timeout_ms: time::SpanMs,
    /// Maximum interval at which a relay reads the head even if its watch reports no change.
    pub poll_ms: time::SpanMs,
    /// Time without a version report from its own zone after which an instance that is no relay
    /// reads the store.
    ///
    /// Also the maximum interval of these reads.
    pub isolated_poll_ms: time::SpanMs,
    /// How long a starting instance requests the head from its peers only, before it reads the
    /// store.
    pub startup_grace_ms: time::SpanMs,
    /// Time after which an announcement is repeated if the receiver has not reported the announced
    /// version; doubles with each repetition.
    pub announce_retry_ms: time::SpanMs,
    /// Maximum number of announcements of a version to one instance.
    pub max_announcements: u32,
    /// Maximum time to back off from a peer after a failed fetch.
    pub peer_retry_ms: time::SpanMs,
    /// Maximum time to back off from the store after a failed fetch.
    pub store_retry_ms: time::SpanMs,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            relays_per_zone: 2,
            same_zone_timeout_ms: time::SpanMs::new(150),
            other_zone_timeout_ms: time::SpanMs::new(300),
            store_timeout_ms: time::SpanMs::new(2_500),
            poll_ms: time::SpanMs::new(30_000),
            isolated_poll_ms: time::SpanMs::new(15_000),
            startup_grace_ms: time::SpanMs::new(500),
            announce_retry_ms: time::SpanMs::new(200),
            max_announcements: 4,
            peer_retry_ms: time::SpanMs::new(200),
            store_retry_ms: time::SpanMs::new(2_000),
        }
    }
}
