//! Settings of the simulated network, backend servers and key tables.
//!
//! ```
//! use damaskvane_scenario::world;
//!
//! let settings = world::WorldSettings { seed: 7, ..world::WorldSettings::default() };
//! assert_eq!(settings.loss_permille, 0);
//! ```

use damaskvane_core::time;

/// Settings of a [`World`](super::World).
#[derive(Debug, Clone)]
pub struct WorldSettings {
    /// The seed of all random delays, losses and run times.
    pub seed: u64,
    /// The minimum delay of a message.
    pub delay: time::SpanMs,
    /// The maximum random delay that is added to the minimum.
    pub jitter: time::SpanMs,
    /// How many of 1,000 messages between entry instances are lost.
    pub loss_permille: u32,
    /// How many of 1,000 messages between entry instances arrive twice.
    pub duplicated_permille: u32,
    /// The maximum deviation of a request's run time from its mean, up or down, in thousandths.
    pub run_spread_permille: u32,
    /// The maximum number of keys of one incarnation; `None` for the engine's default.
    pub max_keys: Option<usize>,
    /// The time for which the outcome of a key is retained; `None` for the engine's default.
    pub key_window: Option<time::SpanMs>,
}

impl Default for WorldSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            delay: time::SpanMs::new(1),
            jitter: time::SpanMs::new(2),
            loss_permille: 0,
            duplicated_permille: 0,
            run_spread_permille: 0,
            max_keys: None,
            key_window: None,
        }
    }
}
