//! Send times of the rounds of heartbeats; in a round, this instance sends one heartbeat to each
//! neighbour.

use std::collections::VecDeque;

use damaskvane_core::time::TimeMs;

/// Number of rounds whose send times are kept. A neighbour confirms a heartbeat by an echo, which
/// returns the round's number; echoes of older rounds arrive too late to be used.
const MAX_ROUNDS: usize = 64;

/// A round of heartbeats which reported that this instance could not reach the platform.
#[derive(Debug, Clone, Copy)]
pub(super) struct CutOffRound {
    pub(super) sequence: u64,
    pub(super) sent_at: TimeMs,
}

/// The latest rounds of heartbeats since the start of this process.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    last: u64,
    sent_at: VecDeque<TimeMs>,
}

impl Rounds {
    /// Records a round that is sent at `now`, and returns its sequence number.
    pub(super) fn begin(&mut self, now: TimeMs) -> u64 {
        self.last += 1;
        self.sent_at.push_back(now);
        if self.sent_at.len() > MAX_ROUNDS {
            self.sent_at.pop_front();
        }
        self.last
    }

    /// Returns the time at which a round was sent, or `None` if the round is too old or was never sent.
    pub(super) fn sent_at(&self, sequence: u64) -> Option<TimeMs> {
        let back = usize::try_from(self.last.checked_sub(sequence)?).ok()?;
        let index = self.sent_at.len().checked_sub(back + 1)?;
        self.sent_at.get(index).copied()
    }
}
