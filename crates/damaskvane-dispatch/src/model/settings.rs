//! The sizes and fault rates of the model.
//!
//! ```
//! use damaskvane_dispatch::model;
//!
//! let without_faults = model::ModelSettings { fault_every_ms: u64::MAX, ..Default::default() };
//! assert_eq!(without_faults.instances, 4);
//! ```

use crate::home;

/// The sizes of the model and the rates of its faults.
#[derive(Debug, Clone)]
pub struct ModelSettings {
    /// The number of entry instances.
    pub instances: usize,
    /// The number of clients that have a request in progress at a time.
    pub clients: usize,
    /// The maximum number of attempts of a client.
    pub max_tries: u32,
    /// The mean time in milliseconds between two faults of instances, such as kills and pauses.
    pub fault_every_ms: u64,
    /// The number of messages in a thousand that are lost.
    pub lost_permille: u32,
    /// The number of exchanges with a backend server, in a thousand, that fail with each kind of failure.
    pub backend_fault_permille: u32,
    /// The settings of the key tables; the default has short windows and small bounds, so that runs reach the
    /// ends of the windows and the bounds.
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
