//! Settings of the quarantine.
//!
//! ```
//! use damaskvane_dispatch::quarantine;
//!
//! assert_eq!(quarantine::QuarantineSettings::default().incidents, 2);
//! ```

use serde::{Deserialize, Serialize};

/// When a request is refused, for how long, and how many are remembered.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineSettings {
    /// Incidents after which a request is refused.
    pub incidents: usize,
    /// How long a suspicion lasts.
    pub suspicion_ms: u64,
    /// How long a request is refused.
    pub expiry_ms: u64,
    /// Deaths of connections to one backend server within this span are one incident.
    pub gather_ms: u64,
    /// How many suspects are remembered; beyond it, the one that expires first is forgotten.
    pub max_suspects: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            incidents: 2,
            suspicion_ms: 300_000,
            expiry_ms: 600_000,
            gather_ms: 200,
            max_suspects: 4_096,
        }
    }
}
