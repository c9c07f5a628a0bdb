//! Settings of a run: its size, its duration and its faults.
//!
//! ```
//! use damaskvane_standins::config_run;
//!
//! assert_eq!(config_run::RunSettings::default().zones, 6);
//! ```

/// The settings of a run.
///
/// A `permille` field is the probability, in thousandths, that the fault affects one call or message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSettings {
    /// The seed of all random choices.
    pub seed: u64,
    /// The duration of the part with faults, in seconds of virtual time.
    pub seconds: u64,
    /// The number of availability zones.
    pub zones: usize,
    /// The number of instances in each availability zone.
    pub instances_per_zone: usize,
    /// The number of operators that submit tickets concurrently.
    pub operators: usize,
    /// The minimum delay of a message between zones and of an instance's store call, in milliseconds.
    pub min_delay_ms: u64,
    /// The maximum delay of a message between zones and of an instance's store call, in milliseconds.
    pub max_delay_ms: u64,
    /// The start of a store outage that lasts for the rest of the part with faults, in seconds; `None`
    /// for no such outage.
    pub store_down_from_s: Option<u64>,
    /// Store writes whose response is lost after the write took effect.
    pub lost_response_permille: u32,
    /// Store requests of instances and store writes of operators that are lost before they take effect.
    pub lost_request_permille: u32,
    /// Store writes that take effect only after their caller has stopped waiting for the response.
    pub late_write_permille: u32,
    /// Store reads that return the version before the current one.
    pub stale_read_permille: u32,
    /// Messages between instances that are lost.
    pub message_loss_permille: u32,
    /// Chunks that an instance receives with a flipped bit.
    pub corrupt_chunk_permille: u32,
    /// Watch events that are not delivered, and, with the same probability, delivered once more.
    pub watch_skip_permille: u32,
    /// The probability, in each second, of each of these faults: store outage, zone partitioned,
    /// instance paused, instance replaced by an empty one.
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
            lost_response_permille: 60,
            lost_request_permille: 60,
            late_write_permille: 40,
            stale_read_permille: 60,
            message_loss_permille: 50,
            corrupt_chunk_permille: 30,
            watch_skip_permille: 200,
            incident_permille: 60,
        }
    }
}

impl RunSettings {
    /// Returns the same settings with lost messages as the only random fault.
    #[must_use]
    pub const fn with_lost_messages_only(self) -> Self {
        Self {
            lost_response_permille: 0,
            lost_request_permille: 0,
            late_write_permille: 0,
            stale_read_permille: 0,
            corrupt_chunk_permille: 0,
            watch_skip_permille: 0,
            incident_permille: 0,
            ..self
        }
    }

    /// Returns the same settings without random faults.
    #[must_use]
    pub const fn without_faults(self) -> Self {
        Self {
            message_loss_permille: 0,
            ..self.with_lost_messages_only()
        }
    }
}
