//! Settings of the engine.
//!
//! ```
//! use damaskvane_engine::engine;
//!
//! let settings = engine::EngineSettings { most_hops: 1, ..engine::EngineSettings::default() };
//! assert_eq!(settings.most_hops, 1);
//! ```

use damaskvane_core::time;
use damaskvane_dispatch::{home, quarantine, retry};

/// Settings of the engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The table of idempotency keys.
    pub keys: home::HomeSettings,
    /// Retries; the share comes from each service's declaration.
    pub retries: retry::RetrySettings,
    /// Requests that crash backend servers.
    pub quarantine: quarantine::QuarantineSettings,
    /// How often a request is passed on from instance to instance at most.
    pub most_hops: u32,
    /// How long it takes until look-ups of all instances leave out one that begins to leave.
    pub leaving_spreads: time::SpanMs,
    /// After how long a part of a handover is sent again.
    pub handover_resend: time::SpanMs,
    /// How long a successor gets to take a handover.
    pub handover_timeout: time::SpanMs,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            keys: home::HomeSettings::default(),
            retries: retry::RetrySettings::default(),
            quarantine: quarantine::QuarantineSettings::default(),
            most_hops: 3,
            leaving_spreads: time::SpanMs::new(2_000),
            handover_resend: time::SpanMs::new(200),
            handover_timeout: time::SpanMs::new(5_000),
        }
    }
}
