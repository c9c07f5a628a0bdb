//! Periods and bounds of membership; equal on all instances.
//!
//! ```
//! use damaskvane_membership::settings;
//!
//! let settings = settings::MembershipSettings::default();
//! assert!(settings.min_period_ms < settings.max_period_ms);
//! ```

use damaskvane_core::time::SpanMs;

/// Periods and bounds of membership.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// How many heartbeats a second an instance sends to all its neighbours together.
    pub heartbeats_per_second: u32,
    /// The shortest time between two heartbeats to one neighbour.
    pub min_period_ms: SpanMs,
    /// The longest time between two heartbeats to one neighbour.
    pub max_period_ms: SpanMs,
    /// Up to so many neighbours all of a zone hear each other; beyond, each hears so many.
    pub mesh_limit: usize,
    /// A neighbour that was silent for less than this is never suspect.
    pub min_suspect_ms: SpanMs,
    /// A neighbour that was silent for less than this is never dead.
    pub min_dead_ms: SpanMs,
    /// How long a listed neighbour that was never heard counts as live.
    pub first_heartbeat_timeout_ms: SpanMs,
    /// How long an instance that left the list but goes on sending counts as live.
    pub delisted_grace_ms: SpanMs,
    /// A gap between two events above this was a pause of this process.
    pub pause_ms: SpanMs,
    /// How long what an instance owns stays its own after its last heartbeat that was heard.
    pub authority_ms: SpanMs,
    /// The same, where all of its neighbours had lost the platform before they fell silent.
    ///
    /// The last instance of a zone that is cut off must go on, and may be wrong about its neighbours: one
    /// that reaches the platform again takes over only after this time.
    pub cut_off_authority_ms: SpanMs,
    /// How old an instance's copy of the list is at most while the platform answers: its lag and the
    /// time between two reads.
    pub list_lag_ms: SpanMs,
    /// After this time without contact an instance can't reach the platform.
    ///
    /// It must be longer than the time between two reads of the list: an instance that is thought to be
    /// cut off could otherwise fence another that does not expect it.
    pub platform_lost_ms: SpanMs,
    /// How long a neighbour is dead before it is fenced through the platform.
    pub fence_after_ms: SpanMs,
    /// Time between two calls to delete an entry that was marked as fenced long ago.
    pub unmark_retry_ms: SpanMs,
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
            unmark_retry_ms: SpanMs::new(10_000),
            retry_ms: SpanMs::new(1_000),
        }
    }
}

impl MembershipSettings {
    /// How long an instance acts after its last heartbeat that was heard.
    #[must_use]
    pub const fn authority(&self, is_cut_off: bool) -> SpanMs {
        if is_cut_off {
            self.cut_off_authority_ms
        } else {
            self.authority_ms
        }
    }

    /// Whether an instance that last reached the platform so long ago reaches it; nothing if it never did.
    #[must_use]
    pub fn reaches_platform(&self, age: Option<SpanMs>) -> bool {
        age.is_some_and(|age| age < self.platform_lost_ms)
    }

    /// An instance may fence a neighbour of which it has heard nothing for this long.
    #[must_use]
    pub const fn fences_after(&self) -> SpanMs {
        SpanMs::new(self.min_dead_ms.get() + self.fence_after_ms.get())
    }
}
