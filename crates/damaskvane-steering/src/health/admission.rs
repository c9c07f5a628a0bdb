//! What a backend server gets.
//!
//! ```
//! use damaskvane_steering::health;
//!
//! assert!(health::Admission::Full.takes_work());
//! assert!(!health::Admission::Excluded { reason: health::ExclusionReason::Leaving }.takes_work());
//! ```

/// What a backend server gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Its full part of the work.
    Full,
    /// A part of its slots.
    Part {
        /// The part, in thousandths.
        permille: u32,
    },
    /// One request at a time, to see whether it works again.
    Probe,
    /// Nothing new.
    Excluded {
        /// Why.
        reason: ExclusionReason,
    },
}

/// Why a backend server gets nothing new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExclusionReason {
    /// It leaves, or is not of the pool.
    Leaving,
    /// Its requests fail.
    Failures,
    /// Its report says so, and nothing seen speaks against it.
    Report,
}

impl Admission {
    /// Whether new work may be sent.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        !matches!(self, Self::Excluded { .. })
    }

    /// How many of a server's slots may be used; a probe uses one.
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
