//! Record of a shift's moves that enforces the cap over any window.
//!
//! The cap limits the part of the clients that is moved, forward and back, within a window of time.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::shift;
//!
//! let mut ledger = shift::Ledger::new(100, time::SpanMs::new(60_000));
//! assert_eq!(ledger.record(80, time::TimeMs::ZERO), 80);
//! assert_eq!(ledger.available(time::TimeMs::new(59_999)), 20);
//! assert_eq!(ledger.available(time::TimeMs::new(60_000)), 100);
//! ```

use std::collections::VecDeque;

use damaskvane_core::time;

/// Moves of the last window, and the cap on their sum.
#[derive(Debug, Clone)]
pub struct Ledger {
    cap_permille: u32,
    window: time::SpanMs,
    moves: VecDeque<(time::TimeMs, u32)>,
    limit_violations: u64,
}

impl Ledger {
    /// Creates an empty ledger.
    ///
    /// `cap_permille` limits the sum of the moves in any `window`, in thousandths of the clients.
    #[must_use]
    pub const fn new(cap_permille: u32, window: time::SpanMs) -> Self {
        Self {
            cap_permille,
            window,
            moves: VecDeque::new(),
            limit_violations: 0,
        }
    }

    /// Creates a ledger that allows no move before a whole window has passed.
    ///
    /// For an instance that resumes a shift and has no record of the moves in the last window.
    #[must_use]
    pub fn exhausted(cap_permille: u32, window: time::SpanMs, now: time::TimeMs) -> Self {
        let mut ledger = Self::new(cap_permille, window);
        ledger.moves.push_back((now, cap_permille));
        ledger
    }

    /// Returns the sum of the moves in the window that ends at `now`, in thousandths of the
    /// clients.
    #[must_use]
    pub fn moved(&self, now: time::TimeMs) -> u32 {
        let recent = self.moves.iter();
        let recent = recent.filter(|(moved_at, _)| now.since(*moved_at) < self.window);
        recent.map(|(_, moved)| moved).sum()
    }

    /// Returns the part of the clients that the cap allows to move at `now`, in thousandths.
    #[must_use]
    pub fn available(&self, now: time::TimeMs) -> u32 {
        self.cap_permille.saturating_sub(self.moved(now))
    }

    /// Records a move and returns the part of it that the cap allows.
    ///
    /// The shift never requests more than is available. If a later change of the code breaks this,
    /// the rest of the move is refused and the move is counted as a violation; otherwise the shift
    /// would exceed the cap that its ticket promises.
    pub fn record(&mut self, moved_permille: u32, now: time::TimeMs) -> u32 {
        self.moves
            .retain(|(moved_at, _)| now.since(*moved_at) < self.window);
        let available = self.available(now);
        debug_assert!(
            moved_permille <= available,
            "move of {moved_permille} exceeds the available {available}"
        );
        if moved_permille > available {
            self.limit_violations += 1;
        }
        let allowed = moved_permille.min(available);
        if allowed > 0 {
            self.moves.push_back((now, allowed));
        }
        allowed
    }

    /// Returns the number of moves that were reduced because they exceeded the cap.
    ///
    /// A value above zero indicates a programming error.
    #[must_use]
    pub const fn limit_violations(&self) -> u64 {
        self.limit_violations
    }
}
