//! Share of new requests that a backend server receives.
//!
//! ```
//! use damaskvane_steering::health;
//!
//! assert!(health::Admission::Full.takes_work());
//! assert!(!health::Admission::Excluded { reason: health::ExclusionReason::Leaving }.takes_work());
//! ```

/// Share of new requests that a backend server receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Its full share.
    Full,
    /// A part of its slots.
    Part {
        /// Part of the slots, in thousandths.
        permille: u32,
    },
    /// One request at a time, to test whether the server has recovered.
    Probe,
    /// No new requests.
    Excluded {
        /// Why the server is excluded.
        reason: ExclusionReason,
    },
}

/// Reason why a backend server receives no new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExclusionReason {
    /// The server leaves, or is not in the pool.
    Leaving,
    /// Consecutive requests to the server failed.
    Failures,
    /// The server's health report is unhealthy, and no recent response contradicts it.
    Report,
}

impl Admission {
    /// Returns whether new requests may be sent.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        !matches!(self, Self::Excluded { .. })
    }

    /// Returns how many of a server's `slots` may be used; one for a probe.
    #[must_use]
    pub const fn slots(self, slots: u32) -> u32 {
        match self {
            Self::Full => slots,
            Self::Part { permille } => {
                let part = slots * permille / 1_000;
                if part == 0 { 1 } else { part }
            }
            Self::Probe => 1,
            Self::Excluded { .. } => 0,
        }
    }
}
