//! Size, length and faults of a run.
//!
//! ```
//! use damaskvane_standins::config_run;
//!
//! assert_eq!(config_run::RunSettings::default().zones, 6);
//! ```

/// Settings of a run. Shares are in thousandths of the calls or messages they hit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSettings {
    /// What every random choice follows from.
    pub seed: u64,
    /// The length of the faulty part, in seconds of virtual time.
    pub seconds: u64,
    /// How many availability zones.
    pub zones: usize,
    /// How many instances in each.
    pub instances_per_zone: usize,
    /// How many operators race.
    pub operators: usize,
    /// The shortest delay of a message between zones, and of a call on the store, in milliseconds.
    pub min_delay_ms: u64,
    /// The longest such delay.
    pub max_delay_ms: u64,
    /// When the store goes down for the rest of the faulty part, in seconds; never if not given.
    pub store_down_from_s: Option<u64>,
    /// Store calls whose answer is lost after they took effect.
    pub lost_after_permille: u32,
    /// Store calls that are lost before they take effect.
    pub lost_before_permille: u32,
    /// Store writes that take effect long after their caller gave up on the answer.
    pub late_write_permille: u32,
    /// Store reads that answer the version before.
    pub stale_permille: u32,
    /// Messages between instances that are lost.
    pub message_loss_permille: u32,
    /// Chunks that are corrupted on their way.
    pub corrupt_permille: u32,
    /// Watch events that are never delivered.
    pub watch_skip_permille: u32,
    /// The chance in each second of a fault of its own kind: store down, zone cut, instance paused,
    /// instance replaced.
    pub incident_permille: u32,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 60,
            zones: 6,
            instances_per_zone: 2,
            operators: 3,
            min_delay_ms: 1,
            max_delay_ms: 60,
            store_down_from_s: None,
            lost_after_permille: 60,
            lost_before_permille: 60,
            late_write_permille: 40,
            stale_permille: 60,
            message_loss_permille: 50,
            corrupt_permille: 30,
            watch_skip_permille: 200,
            incident_permille: 60,
        }
    }
}

impl RunSettings {
    /// The same run without any fault but lost messages.
    #[must_use]
    pub const fn with_lost_messages_only(self) -> Self {
        Self {
            lost_after_permille: 0,
            lost_before_permille: 0,
            late_write_permille: 0,
            stale_permille: 0,
            corrupt_permille: 0,
            watch_skip_permille: 0,
            incident_permille: 0,
            ..self
        }
    }

    /// The same run without any fault at all.
    #[must_use]
    pub const fn without_faults(self) -> Self {
        Self {
            message_loss_permille: 0,
            ..self.with_lost_messages_only()
        }
    }
}
