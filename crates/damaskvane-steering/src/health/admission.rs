//! Share of new requests that a backend server receives.
//!
//! A slot is the right to run one request on the server.
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
    /// The full share: all slots of the server.
    Full,
    /// A part of the server's slots.
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
    /// The server is about to leave the pool, or is not in the pool.
    Leaving,
    /// Consecutive requests to the server failed.
    Failures,
    /// The server's health report is unhealthy, and no recent response contradicts it.
    Report,
}

impl Admission {
    /// Returns whether new requests may be sent to the server.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        !matches!(self, Self::Excluded { .. })
    }

    /// Returns how many of a server's `slots` new requests may use; one for [`Self::Probe`].
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
