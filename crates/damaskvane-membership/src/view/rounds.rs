//! Send times of the rounds of heartbeats.

use std::collections::VecDeque;

use damaskvane_core::time::TimeMs;

/// Number of rounds that are kept; echoes of older rounds arrive too late to be used.
const MAX_ROUNDS: usize = 64;

/// A round of heartbeats that reported a lost platform.
#[derive(Debug, Clone, Copy)]
pub(super) struct CutOffRound {
    pub(super) sequence: u64,
    pub(super) sent_at: TimeMs,
}

/// The latest rounds of heartbeats of this incarnation.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    last: u64,
    sent_at: VecDeque<TimeMs>,
}

impl Rounds {
    /// Begins a round and returns its sequence number.
    pub(super) fn begin(&mut self, now: TimeMs) -> u64 {
        self.last += 1;
        self.sent_at.push_back(now);
        if self.sent_at.len() > MAX_ROUNDS {
            self.sent_at.pop_front();
        }
        self.last
    }

    /// Returns the time at which a round began, or `None` if the round is too old or was never sent.
    pub(super) fn sent_at(&self, sequence: u64) -> Option<TimeMs> {
        let back = usize::try_from(self.last.checked_sub(sequence)?).ok()?;
        let index = self.sent_at.len().checked_sub(back + 1)?;
        self.sent_at.get(index).copied()
    }
}
