//! Intervals, timeouts and limits of membership; equal on all instances.
//!
//! ```
//! use damaskvane_membership::settings;
//!
//! let settings = settings::MembershipSettings::default();
//! assert!(settings.min_period_ms < settings.max_period_ms);
//! ```

use damaskvane_core::time::SpanMs;

/// Intervals, timeouts and limits of membership.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// Heartbeats per second that an instance sends to all its neighbours in total.
    pub heartbeats_per_second: u32,
    /// Shortest time between two heartbeats to one neighbour.
    pub min_period_ms: SpanMs,
    /// Longest time between two heartbeats to one neighbour.
    pub max_period_ms: SpanMs,
    /// Number of neighbours up to which all instances of a zone exchange heartbeats. In a larger zone
    /// each instance has this many neighbours.
    pub mesh_limit: usize,
    /// Shortest silence after which a neighbour can be suspect.
    pub min_suspect_ms: SpanMs,
    /// Shortest silence after which a neighbour can be dead.
    pub min_dead_ms: SpanMs,
    /// Time for which a listed neighbour counts as live before its first heartbeat arrives.
    pub first_heartbeat_timeout_ms: SpanMs,
    /// Time for which an instance that left the list but still sends heartbeats counts as live.
    pub delisted_grace_ms: SpanMs,
    /// Gap between two events above which this process is considered to have been paused.
    pub pause_ms: SpanMs,
    /// Time for which an instance keeps what it owns after its last heartbeat that a neighbour
    /// received.
    pub authority_ms: SpanMs,
    /// Value that replaces `authority_ms` for an instance whose neighbours had all lost the platform
    /// before they fell silent.
    ///
    /// The last instance of a zone that is cut off must continue, and its neighbours may in fact be
    /// alive. A neighbour that reaches the platform again therefore takes over only after this time.
    pub cut_off_authority_ms: SpanMs,
    /// Maximum age of an instance's copy of the list while the platform responds: the lag of the list
    /// plus the time between two reads.
    pub list_lag_ms: SpanMs,
    /// Time without contact after which an instance is considered unable to reach the platform.
    ///
    /// It must be longer than the time between two reads of the list. Otherwise an instance that is
    /// considered cut off could fence another instance that does not expect it.
    pub platform_lost_ms: SpanMs,
    /// Time for which a neighbour must be dead before it is fenced through the platform; also the
    /// timeout of a fence request.
    pub fence_after_ms: SpanMs,
    /// Time between two requests to delete the entry of an instance that was fenced long ago.
    pub fence_record_retry_ms: SpanMs,
    /// Time between two probes of, or new connections to, one silent neighbour.
    pub retry_ms: SpanMs,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeats_per_second: 5,
            min_period_ms: SpanMs::new(250),
            max_period_ms: SpanMs::new(4_000),
            mesh_limit: 20,
            min_suspect_ms: SpanMs::new(1_000),
            min_dead_ms: SpanMs::new(3_000),
            first_heartbeat_timeout_ms: SpanMs::new(5_000),
            delisted_grace_ms: SpanMs::new(60_000),
            pause_ms: SpanMs::new(1_000),
            authority_ms: SpanMs::new(12_000),
            cut_off_authority_ms: SpanMs::new(900_000),
            list_lag_ms: SpanMs::new(20_000),
            platform_lost_ms: SpanMs::new(15_000),
            fence_after_ms: SpanMs::new(5_000),
            fence_record_retry_ms: SpanMs::new(10_000),
            retry_ms: SpanMs::new(1_000),
        }
    }
}

impl MembershipSettings {
    /// Returns how long an instance keeps its authority after its last heartbeat that a neighbour
    /// received.
    #[must_use]
    pub const fn authority(&self, is_cut_off: bool) -> SpanMs {
        if is_cut_off {
            self.cut_off_authority_ms
        } else {
            self.authority_ms
        }
    }

    /// Returns whether an instance that last reached the platform `age` ago can reach it. `None` means
    /// that the instance never reached the platform.
    #[must_use]
    pub fn reaches_platform(&self, age: Option<SpanMs>) -> bool {
        age.is_some_and(|age| age < self.platform_lost_ms)
    }

    /// Returns the silence of a neighbour after which an instance may fence it.
    #[must_use]
    pub const fn min_fence_silence(&self) -> SpanMs {
        SpanMs::new(self.min_dead_ms.get() + self.fence_after_ms.get())
    }
}
