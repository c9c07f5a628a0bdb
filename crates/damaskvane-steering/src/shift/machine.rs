//! State machine of a shift; the type of each phase has only the operations valid in it.
//!
//! ```
//! use damaskvane_steering::shift;
//!
//! let accepted = shift::Shift::accept(shift::Order::default());
//! assert_eq!(accepted.progress().phase, shift::Phase::Accepted);
//! ```

use damaskvane_core::time;

use crate::shift::ledger::Ledger;
use crate::shift::order::{Order, Signal};
use crate::shift::progress::{Phase, Progress};
use crate::shift::stage::Stage;

/// Part of the cap (the limit on all moves within a window) that forward moves may use, in
/// thousandths; the rest is reserved for reverting.
const FORWARD_PERMILLE: u32 = 667;

/// Maximum step, in thousandths of the traffic moved so far, so that most cache entries at the
/// destination stay warm.
const GROWTH_PERMILLE: u32 = 500;

/// Size of a reverting step, in thousandths of the traffic moved so far.
const REVERT_PERMILLE: u32 = 250;

/// Phase of a shift that is accepted and not started.
#[derive(Debug, Clone, Copy)]
pub struct Accepted;

/// Phase of a shift that moves forward, with the time of the last step.
#[derive(Debug, Clone, Copy)]
pub struct Ramping {
    stepped_at: Option<time::TimeMs>,
}

/// Phase of a shift that pauses or reverts.
#[derive(Debug, Clone, Copy)]
pub struct Frozen {
    stepped_at: time::TimeMs,
    unhealthy_at: time::TimeMs,
}

/// Phase of a shift that has reached its target.
#[derive(Debug, Clone, Copy)]
pub struct Complete;

/// A planned shift of traffic in phase `P`.
#[derive(Debug, Clone)]
pub struct Shift<P> {
    order: Order,
    ledger: Ledger,
    moved_permille: u32,
    phase: P,
}

impl<P> Shift<P> {
    fn with_phase<Q>(self, phase: Q) -> Shift<Q> {
        Shift {
            order: self.order,
            ledger: self.ledger,
            moved_permille: self.moved_permille,
            phase,
        }
    }

    fn progress_in(&self, phase: Phase) -> Progress {
        Progress {
            phase,
            moved_permille: self.moved_permille,
            target_permille: self.order.target_permille,
            limit_violations: self.ledger.limit_violations(),
        }
    }

    fn freeze(self, now: time::TimeMs, signal: Signal) -> Stage {
        let mut frozen = self.with_phase(Frozen {
            stepped_at: now,
            unhealthy_at: now,
        });
        if signal.reverts() {
            frozen.step_back(now);
        }
        Stage::Frozen(frozen)
    }
}

impl Shift<Accepted> {
    /// Creates a shift from the order of its ticket.
    #[must_use]
    pub const fn accept(order: Order) -> Self {
        Self {
            ledger: Ledger::new(order.cap_permille, order.window),
            order,
            moved_permille: 0,
            phase: Accepted,
        }
    }

    /// Starts the shift, with no client moved yet.
    #[must_use]
    pub fn start(self, _now: time::TimeMs) -> Shift<Ramping> {
        self.with_phase(Ramping { stepped_at: None })
    }

    /// Resumes a shift by which other instances have already moved `moved_permille` of the clients.
    /// No further client moves for one window of the cap.
    ///
    /// If a restarted instance began at zero, it would send all moved clients back at once.
    #[must_use]
    pub fn resume(self, moved_permille: u32, now: time::TimeMs) -> Shift<Ramping> {
        let ledger = Ledger::exhausted(self.order.cap_permille, self.order.window, now);
        let moved_permille = moved_permille.min(self.order.target_permille);
        let resumed = Self {
            ledger,
            moved_permille,
            ..self
        };
        resumed.with_phase(Ramping {
            stepped_at: Some(now),
        })
    }

    /// Returns the progress of the shift.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress_in(Phase::Accepted)
    }
}

impl Shift<Ramping> {
    /// Moves one step forward if the warm-up of the last step is over, or freezes the shift if
    /// `signal` requires it.
    #[must_use]
    pub fn advance(mut self, now: time::TimeMs, signal: Signal) -> Stage {
        if signal.stops() {
            return self.freeze(now, signal);
        }
        let stepped_at = self.phase.stepped_at;
        let is_warm = stepped_at.is_none_or(|at| now.since(at) >= self.order.warm_up);
        if is_warm {
            self.step_forward(now);
        }
        if self.moved_permille >= self.order.target_permille {
            return Stage::Complete(self.with_phase(Complete));
        }
        Stage::Ramping(self)
    }

    /// Returns the progress of the shift.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress_in(Phase::Ramping)
    }

    fn step_forward(&mut self, now: time::TimeMs) {
        let growth = self.moved_permille * GROWTH_PERMILLE / 1_000;
        let step = growth.max(self.order.first_step_permille);
        let reserve = self.order.cap_permille - self.order.cap_permille * FORWARD_PERMILLE / 1_000;
        let available = self.ledger.available(now).saturating_sub(reserve);
        let remaining_permille = self
            .order
            .target_permille
            .saturating_sub(self.moved_permille);
        let allowed = self
            .ledger
            .record(step.min(available).min(remaining_permille), now);
        if allowed > 0 {
            self.moved_permille += allowed;
            self.phase.stepped_at = Some(now);
        }
    }
}

impl Shift<Frozen> {
    /// Reverts while the destination shows overload or errors, and resumes after it has been
    /// healthy for the recovery time.
    #[must_use]
    pub fn advance(mut self, now: time::TimeMs, signal: Signal) -> Stage {
        if signal.stops() {
            self.phase.unhealthy_at = now;
            let waited = now.since(self.phase.stepped_at) >= self.order.warm_up;
            if signal.reverts() && waited {
                self.step_back(now);
            }
            return Stage::Frozen(self);
        }
        if now.since(self.phase.unhealthy_at) < self.order.recovery_time {
            return Stage::Frozen(self);
        }
        Stage::Ramping(self.with_phase(Ramping {
            stepped_at: Some(now),
        }))
    }

    /// Returns the progress of the shift.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress_in(Phase::Frozen)
    }

    fn step_back(&mut self, now: time::TimeMs) {
        let part = self.moved_permille * REVERT_PERMILLE / 1_000;
        let step = part.max(self.order.first_step_permille);
        let step = step
            .min(self.moved_permille)
            .min(self.ledger.available(now));
        self.moved_permille -= self.ledger.record(step, now);
        self.phase.stepped_at = now;
    }
}

impl Shift<Complete> {
    /// Stays complete, or freezes and reverts if the destination shows overload or errors.
    #[must_use]
    pub fn advance(self, now: time::TimeMs, signal: Signal) -> Stage {
        if signal.reverts() {
            return self.freeze(now, signal);
        }
        Stage::Complete(self)
    }

    /// Returns the progress of the shift.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress_in(Phase::Complete)
    }
}
