//! Whether a backend server accepts connections, and when the next health probe is due.

use damaskvane_core::time::{SpanMs, TimeMs};

/// Liveness of a server, derived from its last connections and health probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The server accepts connections.
    Up,
    /// A connection broke, so the server may have restarted under the same name. It then gets few requests, like any
    /// server that has started recently, until a probe succeeds.
    Suspect {
        /// Time of the next probe.
        probe_at: TimeMs,
    },
    /// The server accepted no connection, or sent no response to a request or probe.
    Down {
        /// Time of the next probe.
        probe_at: TimeMs,
        /// Number of consecutive failed probes.
        failed_probes: u32,
    },
    /// A server of another name responds at the address.
    Replaced,
}

/// Delay from the moment that a server is found down to its first probe.
const FIRST_PROBE_DELAY_MS: u64 = 400;
/// Maximum delay between two probes of a server that is down; a server that is up again is used after this time at the
/// latest.
const MAX_PROBE_DELAY_MS: u64 = 2_000;

impl Liveness {
    /// Returns the state of a server that has just been found down, with the first probe due after 400 ms.
    #[must_use]
    pub fn down(now: TimeMs) -> Self {
        Self::Down {
            probe_at: now + SpanMs::new(FIRST_PROBE_DELAY_MS),
            failed_probes: 0,
        }
    }

    /// Returns the state after another failed probe, with the delay to the next probe doubled up to its maximum.
    #[must_use]
    pub fn still_down(self, now: TimeMs) -> Self {
        let failed_probes = match self {
            Self::Down { failed_probes, .. } => failed_probes + 1,
            _ => 1,
        };
        let delay_ms = (FIRST_PROBE_DELAY_MS << failed_probes.min(4)).min(MAX_PROBE_DELAY_MS);
        Self::Down {
            probe_at: now + SpanMs::new(delay_ms),
            failed_probes,
        }
    }

    /// Returns the time of the next probe, or `None` if the server needs no probe.
    #[must_use]
    pub const fn probe_at(self) -> Option<TimeMs> {
        match self {
            Self::Suspect { probe_at } | Self::Down { probe_at, .. } => Some(probe_at),
            Self::Up | Self::Replaced => None,
        }
    }
}
