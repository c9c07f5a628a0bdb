//! Settings of the engine.
//!
//! ```
//! use damaskvane_engine::engine;
//!
//! let settings = engine::EngineSettings { max_hops: 1, ..engine::EngineSettings::default() };
//! assert_eq!(settings.max_hops, 1);
//! ```

use damaskvane_core::time;
use damaskvane_dispatch::{admission, home, quarantine, retry, shutdown};

/// Settings of the engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The table of idempotency keys.
    pub keys: home::HomeSettings,
    /// Retries; the share comes from each service's declaration.
    pub retries: retry::RetrySettings,
    /// Requests that wait for a slot.
    pub queue: admission::QueueSettings,
    /// Requests that crash backend servers.
    pub quarantine: quarantine::QuarantineSettings,
    /// How often a request is passed on from instance to instance at most.
    pub max_hops: u32,
    /// A planned stop; the look-up TTL comes from the declared services.
    pub shutdown: shutdown::ShutdownSettings,
    /// After how long a part of a handover is sent again.
    pub handover_resend: time::SpanMs,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            keys: home::HomeSettings::default(),
            retries: retry::RetrySettings::default(),
            queue: admission::QueueSettings::default(),
            quarantine: quarantine::QuarantineSettings::default(),
            max_hops: 3,
            shutdown: shutdown::ShutdownSettings::default(),
            handover_resend: time::SpanMs::new(200),
        }
    }
}
