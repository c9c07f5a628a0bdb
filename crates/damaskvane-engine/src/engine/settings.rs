//! The settings of the engine.
//!
//! ```
//! use damaskvane_engine::engine;
//!
//! let settings = engine::EngineSettings { max_hops: 1, ..engine::EngineSettings::default() };
//! assert_eq!(settings.max_hops, 1);
//! ```

use damaskvane_core::time;
use damaskvane_dispatch::{admission, home, quarantine, retry, shutdown};

/// The settings of the engine and of its parts.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The limits of the table of idempotency keys.
    pub keys: home::HomeSettings,
    /// The limits of retries; the share of retries comes from each service's declaration instead.
    pub retries: retry::RetrySettings,
    /// The limits of the admission queue, in which requests wait for a slot, the right to run one request on a
    /// backend server.
    pub queue: admission::QueueSettings,
    /// The limits of the quarantine of requests that crash backend servers.
    pub quarantine: quarantine::QuarantineSettings,
    /// The maximum number of times that a request is forwarded from instance to instance.
    pub max_hops: u32,
    /// The time limits of a planned stop; the time for which clients cache lookup responses comes from the
    /// declared services instead.
    pub shutdown: shutdown::ShutdownSettings,
    /// The delay after which an unacknowledged part of a handover, the transfer of the key table to a
    /// successor, is sent again.
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
