//! Whether a backend server can be reached.

use damaskvane_core::time::{SpanMs, TimeMs};

/// What the last connections said of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It takes connections.
    Up,
    /// A connection broke: the server may have restarted, and be cold, under the name it had.
    Doubtful {
        /// When to ask it.
        probe_at: TimeMs,
    },
    /// It took no connection, or nothing came back.
    Down {
        /// When to ask it.
        probe_at: TimeMs,
        /// Probes in a row that found it down.
        failures: u32,
    },
    /// Another server answers at its address.
    Replaced,
}

/// The first pause between probes of a server that is down.
const FIRST_PAUSE_MS: u64 = 400;
/// The longest pause: a server that comes back is used again after this time at the latest.
const LONGEST_PAUSE_MS: u64 = 2_000;

impl Liveness {
    /// Down, to be asked after a first pause.
    #[must_use]
    pub fn down(now: TimeMs) -> Self {
        Self::Down {
            probe_at: now + SpanMs::new(FIRST_PAUSE_MS),
            failures: 0,
        }
    }

    /// Still down: the pause doubles up to its bound.
    #[must_use]
    pub fn still_down(self, now: TimeMs) -> Self {
        let failures = match self {
            Self::Down { failures, .. } => failures + 1,
            _ => 1,
        };
        let pause_ms = (FIRST_PAUSE_MS << failures.min(4)).min(LONGEST_PAUSE_MS);
        Self::Down {
            probe_at: now + SpanMs::new(pause_ms),
            failures,
        }
    }

    /// When a probe is due, if one is wanted.
    #[must_use]
    pub const fn probe_at(self) -> Option<TimeMs> {
        match self {
            Self::Doubtful { probe_at } | Self::Down { probe_at, .. } => Some(probe_at),
            Self::Up | Self::Replaced => None,
        }
    }
}
