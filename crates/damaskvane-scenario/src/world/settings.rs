//! Settings of the world.
//!
//! ```
//! use damaskvane_scenario::world;
//!
//! let settings = world::WorldSettings { seed: 7, ..world::WorldSettings::default() };
//! assert_eq!(settings.loss_permille, 0);
//! ```

use damaskvane_core::time;

/// Settings of the world.
#[derive(Debug, Clone)]
pub struct WorldSettings {
    /// The seed of all delays and losses.
    pub seed: u64,
    /// The shortest way of a message between instances.
    pub delay: time::SpanMs,
    /// What is added to it at most.
    pub jitter: time::SpanMs,
    /// How many of a thousand messages between instances are lost.
    pub loss_permille: u32,
    /// How many of a thousand messages between instances arrive twice.
    pub duplicated_permille: u32,
    /// By how many thousandths the time of a request on a backend server varies, up and down.
    pub run_spread_permille: u32,
    /// How many keys one incarnation of an entry instance takes.
    pub max_keys: Option<usize>,
    /// How long the outcome of a key is kept.
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
