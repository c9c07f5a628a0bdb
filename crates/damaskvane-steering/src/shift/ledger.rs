//! Every move of a shift, so that the cap is asserted over any window.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::shift;
//!
//! let mut ledger = shift::Ledger::new(100, time::SpanMs::new(60_000));
//! assert_eq!(ledger.enter(80, time::TimeMs::ZERO), 80);
//! assert_eq!(ledger.room(time::TimeMs::new(59_999)), 20);
//! assert_eq!(ledger.room(time::TimeMs::new(60_000)), 100);
//! ```

use std::collections::VecDeque;

use damaskvane_core::time;

/// The moves of the last window.
#[derive(Debug, Clone)]
pub struct Ledger {
    cap_permille: u32,
    window: time::SpanMs,
    moves: VecDeque<(time::TimeMs, u32)>,
    limit_violations: u64,
}

impl Ledger {
    /// An empty ledger.
    #[must_use]
    pub const fn new(cap_permille: u32, window: time::SpanMs) -> Self {
        Self {
            cap_permille,
            window,
            moves: VecDeque::new(),
            limit_violations: 0,
        }
    }

    /// A ledger that allows no move before a whole window has passed.
    ///
    /// An instance that takes over a shift does not know what moved just before.
    #[must_use]
    pub fn spent(cap_permille: u32, window: time::SpanMs, now: time::TimeMs) -> Self {
        let mut ledger = Self::new(cap_permille, window);
        ledger.moves.push_back((now, cap_permille));
        ledger
    }

    /// What has moved in the window that ends now.
    #[must_use]
    pub fn moved(&self, now: time::TimeMs) -> u32 {
        let recent = self.moves.iter();
        let recent = recent.filter(|(moved_at, _)| now.since(*moved_at) < self.window);
        recent.map(|(_, moved)| moved).sum()
    }

    /// What may still move now.
    #[must_use]
    pub fn room(&self, now: time::TimeMs) -> u32 {
        self.cap_permille.saturating_sub(self.moved(now))
    }

    /// Enters a move and returns what of it is allowed.
    ///
    /// The machine asks for no more than the room. Should a change to it break that, a shift would
    /// pass the cap its ticket promises; the rest of the move is refused instead, and counted.
    pub fn enter(&mut self, moved_permille: u32, now: time::TimeMs) -> u32 {
        self.moves
            .retain(|(moved_at, _)| now.since(*moved_at) < self.window);
        let room = self.room(now);
        debug_assert!(moved_permille <= room, "{moved_permille} moves over {room}");
        if moved_permille > room {
            self.limit_violations += 1;
        }
        let allowed = moved_permille.min(room);
        if allowed > 0 {
            self.moves.push_back((now, allowed));
        }
        allowed
    }

    /// Moves that were cut because they broke the cap; always zero unless the code is wrong.
    #[must_use]
    pub const fn limit_violations(&self) -> u64 {
        self.limit_violations
    }
}
