//! Counters of applied, rejected and faulty heads and chunks.
//!
//! A head lists all objects of one configuration version; a chunk holds the state of one object.
//!
//! ```
//! use damaskvane_config::apply;
//!
//! let before = apply::ApplyCounts::default();
//! let after = apply::ApplyCounts { stray_chunks: 2, ..before };
//! assert!(after.increases_since(before).eq([("stray_chunk", 2)]));
//! ```

/// Counters of one applier since its instance started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ApplyCounts {
    /// Heads that became active.
    pub applied: u64,
    /// Heads whose chunks had all arrived but whose state failed validation.
    pub rejected: u64,
    /// Received bytes that could not be decoded as a head.
    pub malformed: u64,
    /// Received chunks that no pending head names, corrupted and oversized ones included.
    pub stray_chunks: u64,
    /// Prevented switches to a version that is not higher; above 0 only by a program fault.
    pub unsafe_switches: u64,
    /// Reports of peers with the same version and another state hash.
    ///
    /// Above 0 only by a fault in a chunk, the store or the program.
    pub state_mismatches: u64,
}

impl ApplyCounts {
    /// Returns the label and the increase of each counter that increased since `before`.
    ///
    /// The counter of applied heads is left out: the caller counts those itself, on
    /// [`relay::Action::Activated`](crate::relay::Action::Activated).
    pub fn increases_since(self, before: Self) -> impl Iterator<Item = (&'static str, u64)> {
        [
            ("refused_head", self.rejected - before.rejected),
            ("malformed_head", self.malformed - before.malformed),
            ("stray_chunk", self.stray_chunks - before.stray_chunks),
            (
                "unsafe_switch",
                self.unsafe_switches - before.unsafe_switches,
            ),
            (
                "split_state",
                self.state_mismatches - before.state_mismatches,
            ),
        ]
        .into_iter()
        .filter(|(_, increase)| *increase > 0)
    }
}
