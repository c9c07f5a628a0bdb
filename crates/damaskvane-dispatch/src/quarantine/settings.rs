//! Settings of the quarantine, which refuses requests that crash backend servers.
//!
//! An incident is one crash of a backend server; a suspect is a request that was in flight on the server.
//!
//! ```
//! use damaskvane_dispatch::quarantine;
//!
//! assert_eq!(quarantine::QuarantineSettings::default().incidents, 2);
//! ```

use serde::{Deserialize, Serialize};

/// After how many incidents and for how long a request is refused, and the bounds of the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuarantineSettings {
    /// The number of incidents after which a request is refused.
    pub incidents: usize,
    /// How long a request stays a suspect after an incident, in milliseconds.
    pub suspicion_ms: u64,
    /// How long a quarantined request is refused, in milliseconds.
    pub expiry_ms: u64,
    /// The time in milliseconds within which broken connections to one backend server count as one incident.
    pub gather_ms: u64,
    /// The time in milliseconds after a crash in which further crashes are the same wave. One wave counts as one
    /// incident for a request that is suspected whoever sends it. Longer than a harmless request takes to complete
    /// on another backend server.
    pub wave_ms: u64,
    /// The number of crashes after which a request that is suspected whoever sends it runs as a trial: one copy at a time.
    pub trial_crashes: usize,
    /// The time in milliseconds after the last crash in which only the instance that reported a crash first runs trials.
    /// Longer than a wave, so that this instance's second trial proves whether the request crashes servers.
    pub trial_turn_ms: u64,
    /// The time in milliseconds after the last crash in which the request runs as a trial at all.
    pub trial_ms: u64,
    /// How long a completed run of a request is remembered that is no suspect, in milliseconds: longer than a report of a
    /// crash may take that is lost and sent again.
    pub completion_memory_ms: u64,
    /// The maximum number of suspects; when it is reached, the suspect that expires first is removed.
    pub max_suspects: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            incidents: 2,
            suspicion_ms: 300_000,
            expiry_ms: 600_000,
            gather_ms: 200,
            wave_ms: 500,
            trial_crashes: 2,
            trial_turn_ms: 750,
            trial_ms: 1_000,
            completion_memory_ms: 2_000,
            max_suspects: 4_096,
        }
    }
}
