//! Intervals, timeouts and limits of membership, which have to be equal on all instances.
//!
//! The neighbours of an instance are those instances of its zone with which it exchanges heartbeats.
//! Its authority is the right to act as the owner of backend servers; to fence an instance is to revoke
//! its authority by a mark on its entry in the platform's list of instances.
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
    /// Maximum number of neighbours of an instance. In a zone with more other instances, each instance
    /// exchanges heartbeats with this many of them, otherwise with all.
    pub mesh_limit: usize,
    /// Shortest time without a heartbeat after which a neighbour can be suspect; a suspect instance
    /// still gets new work.
    pub min_suspect_ms: SpanMs,
    /// Shortest time without a heartbeat after which a neighbour can be dead; a dead instance gets no
    /// new work.
    pub min_dead_ms: SpanMs,
    /// Time for which a listed neighbour counts as live before its first heartbeat arrives.
    pub first_heartbeat_timeout_ms: SpanMs,
    /// Time for which an instance that left the list but still sends heartbeats counts as live; after
    /// that it counts as gone, that is, stopped.
    pub delisted_grace_ms: SpanMs,
    /// Gap between two events above which this process is considered to have been paused.
    pub pause_ms: SpanMs,
    /// Time for which an instance keeps its authority after it sent the last heartbeat that a neighbour
    /// confirmed, or after it sent its last successful request for the platform's list.
    pub authority_ms: SpanMs,
    /// Value that replaces `authority_ms` for an instance whose neighbours could all no longer reach
    /// the platform before their heartbeats stopped.
    ///
    /// The last instance of a zone that is cut off from the platform must continue, and its neighbours
    /// may in fact be alive. A neighbour that reaches the platform again therefore takes over the
    /// instance's backend servers only after this time.
    pub cut_off_authority_ms: SpanMs,
    /// Maximum age of an instance's copy of the platform's list while the platform responds: the lag of
    /// the list plus the time between two reads.
    pub list_lag_ms: SpanMs,
    /// Time since its last contact with the platform after which an instance is considered cut off from
    /// it.
    ///
    /// This must be longer than the time between two reads of the list. Otherwise an instance that is
    /// considered cut off could fence another instance, which does not expect to be fenced by it.
    pub platform_lost_ms: SpanMs,
    /// Time for which a neighbour must count as dead before it is fenced; also the timeout of a request
    /// to the platform to fence it.
    pub fence_after_ms: SpanMs,
    /// Time between two requests to the platform to delete the entry of an instance that was fenced
    /// long ago.
    pub fence_record_retry_ms: SpanMs,
    /// Time after its start for which an instance is to own nothing beside instances that run for longer.
    ///
    /// An instance that was fenced before may act for as long as this, and one that has just started may not
    /// know of it: the sum of `list_lag_ms` and `authority_ms`.
    pub starting_ms: SpanMs,
    /// Time between two probes of a silent neighbour, and between two new connections to it.
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
            starting_ms: SpanMs::new(32_000),
            retry_ms: SpanMs::new(1_000),
        }
    }
}

impl MembershipSettings {
    /// Returns how long an instance keeps its authority after it sent the last heartbeat that a
    /// neighbour confirmed: `cut_off_authority_ms` if `is_cut_off`, and otherwise `authority_ms`.
    #[must_use]
    pub const fn authority(&self, is_cut_off: bool) -> SpanMs {
        if is_cut_off {
            self.cut_off_authority_ms
        } else {
            self.authority_ms
        }
    }

    /// Returns whether an instance that last reached the platform `age` ago is considered able to reach
    /// it now. `None` means that the instance never reached the platform.
    #[must_use]
    pub fn reaches_platform(&self, age: Option<SpanMs>) -> bool {
        age.is_some_and(|age| age < self.platform_lost_ms)
    }

    /// Returns the time without a heartbeat of a neighbour after which an instance may fence the
    /// neighbour.
    #[must_use]
    pub const fn min_fence_silence(&self) -> SpanMs {
        SpanMs::new(self.min_dead_ms.get() + self.fence_after_ms.get())
    }
}
