//! What an instance tells the other instances about requests that crash servers.

use damaskvane_core::time::TimeMs;
use damaskvane_dispatch::quarantine::{Incident, RequestIdentity};

/// What this instance has to send to the other instances.
#[derive(Debug, Clone)]
pub enum CrashNotice {
    /// This instance detected a crash.
    Incident(Incident),
    /// A suspect request completed at this instance.
    Completed {
        /// The suspect.
        request: RequestIdentity,
        /// When the request completed.
        at: TimeMs,
        /// Whether other instances may hold copies of the request until they learn of this.
        is_urgent: bool,
    },
}
