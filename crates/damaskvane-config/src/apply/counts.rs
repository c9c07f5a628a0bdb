//! Counts of what an adopter met.
//!
//! ```
//! use damaskvane_config::apply;
//!
//! let before = apply::AdoptCounts::default();
//! let after = apply::AdoptCounts { stray_chunks: 2, ..before };
//! assert!(after.increases_since(before).eq([("stray_chunk", 2)]));
//! ```

/// Counts of what the adopter met.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdoptCounts {
    /// Heads that came into force.
    pub adopted: u64,
    /// Heads that were whole but not valid.
    pub refused: u64,
    /// Bytes that were no head.
    pub malformed: u64,
    /// Chunks that no waiting head names; a corrupted chunk is one of these.
    pub stray_chunks: u64,
    /// Switches that would have made the version fall; always 0 unless the program is wrong.
    pub unsafe_switches: u64,
    /// Peers with the same version and another state; always 0 unless a store or program is wrong.
    pub state_mismatches: u64,
}

impl AdoptCounts {
    /// The counts that rose, each by its word for the counters page. Heads that came into force are
    /// left out: who acts on them counts them.
    pub fn increases_since(self, before: Self) -> impl Iterator<Item = (&'static str, u64)> {
        [
            ("refused_head", self.refused - before.refused),
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
        .filter(|(_, risen)| *risen > 0)
    }
}
