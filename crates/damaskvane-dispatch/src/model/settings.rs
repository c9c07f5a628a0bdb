//! How often things fail in the model.
//!
//! ```
//! use damaskvane_dispatch::model;
//!
//! let calm = model::ModelSettings { fault_every_ms: u64::MAX, ..Default::default() };
//! assert_eq!(calm.instances, 4);
//! ```

use crate::home;

/// Sizes and rates of faults.
#[derive(Debug, Clone)]
pub struct ModelSettings {
    /// How many entry instances there are.
    pub instances: usize,
    /// How many requests are under way.
    pub clients: usize,
    /// How many tries a client makes.
    pub max_tries: u32,
    /// The mean time between two kills, pauses or planned restarts.
    pub fault_every_ms: u64,
    /// Messages in a thousand that are lost.
    pub lost_permille: u32,
    /// Exchanges with a backend server, in a thousand, that go wrong in each of the ways there are.
    pub backend_fault_permille: u32,
    /// The key tables' settings; short windows and small bounds, so that runs reach them.
    pub home: home::HomeSettings,
}

impl Default for ModelSettings {
    fn default() -> Self {
        Self {
            instances: 4,
            clients: 40,
            max_tries: 6,
            fault_every_ms: 700,
            lost_permille: 30,
            backend_fault_permille: 30,
            home: home::HomeSettings {
                window_ms: 8_000,
                max_entries: 150,
                max_tombstones: 600,
                answer_grace_ms: 1_500,
                max_superseded: 60,
                handover_records: 20,
                ..Default::default()
            },
        }
    }
}
