//! How old the proof that the configuration is current may be when a request with a key is sent.

use damaskvane_core::time::SpanMs;

/// Share of the bound that is kept for the inaccuracy of clocks and timers, which is far below it.
const MARGIN_SHARE: f64 = 0.02;

/// Time after which no instance may send a request whose key was revoked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevocationBound {
    bound: SpanMs,
}

impl RevocationBound {
    /// Creates the bound for the time from the acknowledgement of a revocation.
    #[must_use]
    pub const fn new(bound: SpanMs) -> Self {
        Self { bound }
    }

    /// Returns the greatest age of the proof with which a request may be sent.
    #[must_use]
    pub fn max_age(self) -> SpanMs {
        let bound_ms = self.bound.get() as f64;
        SpanMs::new((bound_ms * (1.0 - MARGIN_SHARE)) as u64)
    }

    /// Returns whether a request may be sent when the proof has this age; `None` means that there is no proof.
    #[must_use]
    pub fn permits(self, age: Option<SpanMs>) -> bool {
        age.is_some_and(|age| age <= self.max_age())
    }

    /// Returns the period at which a new proof is requested from the store.
    ///
    /// A proof reaches all instances in a few steps, and its source may fail in between; within the bound there is time
    /// for a successor.
    #[must_use]
    pub const fn proof_period(self) -> SpanMs {
        const PROOFS_PER_BOUND: u64 = 5;
        SpanMs::new(self.bound.get() / PROOFS_PER_BOUND)
    }
}
