//! The life cycle of a shift; each phase allows only what makes sense in it.
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

/// The part of the cap that moves forward may use, in thousandths; the rest is kept for going back.
const FORWARD_PERMILLE: u32 = 667;

/// A step is at most this part of what has moved, in thousandths, so that caches stay mostly warm.
const GROWTH_PERMILLE: u32 = 500;

/// A step back takes this part of what has moved, in thousandths.
const BACK_PERMILLE: u32 = 250;

/// Accepted and not started.
#[derive(Debug, Clone, Copy)]
pub struct Accepted;

/// Moves forward; the time of the last step.
#[derive(Debug, Clone, Copy)]
pub struct Ramping {
    stepped_at: Option<time::TimeMs>,
}

/// Holds or goes back.
#[derive(Debug, Clone, Copy)]
pub struct Frozen {
    stepped_at: time::TimeMs,
    troubled_at: time::TimeMs,
}

/// All is moved.
#[derive(Debug, Clone, Copy)]
pub struct Complete;

/// A shift of traffic in phase `P`.
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
            troubled_at: now,
        });
        if signal.turns_back() {
            frozen.step_back(now);
        }
        Stage::Frozen(frozen)
    }
}

impl Shift<Accepted> {
    /// A shift as its ticket orders it.
    #[must_use]
    pub const fn accept(order: Order) -> Self {
        Self {
            ledger: Ledger::new(order.cap_permille, order.window),
            order,
            moved_permille: 0,
            phase: Accepted,
        }
    }

    /// Starts to move.
    #[must_use]
    pub fn start(self, _now: time::TimeMs) -> Shift<Ramping> {
        self.with_phase(Ramping { stepped_at: None })
    }

    /// Takes over a shift that others have brought so far; nothing moves for one window.
    ///
    /// A restarted instance that began at zero would send everyone back at once.
    #[must_use]
    pub fn resume(self, moved_permille: u32, now: time::TimeMs) -> Shift<Ramping> {
        let ledger = Ledger::spent(self.order.cap_permille, self.order.window, now);
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

    /// How far the shift is.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress_in(Phase::Accepted)
    }
}

impl Shift<Ramping> {
    /// Steps forward when the last step is warm, or freezes.
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

    /// How far the shift is.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress_in(Phase::Ramping)
    }

    fn step_forward(&mut self, now: time::TimeMs) {
        let growth = self.moved_permille * GROWTH_PERMILLE / 1_000;
        let step = growth.max(self.order.first_step_permille);
        let reserve = self.order.cap_permille - self.order.cap_permille * FORWARD_PERMILLE / 1_000;
        let room = self.ledger.room(now).saturating_sub(reserve);
        let left = self
            .order
            .target_permille
            .saturating_sub(self.moved_permille);
        let allowed = self.ledger.enter(step.min(room).min(left), now);
        if allowed > 0 {
            self.moved_permille += allowed;
            self.phase.stepped_at = Some(now);
        }
    }
}

impl Shift<Frozen> {
    /// Goes back while there is trouble, and on once it has been calm long enough.
    #[must_use]
    pub fn advance(mut self, now: time::TimeMs, signal: Signal) -> Stage {
        if signal.stops() {
            self.phase.troubled_at = now;
            let waited = now.since(self.phase.stepped_at) >= self.order.warm_up;
            if signal.turns_back() && waited {
                self.step_back(now);
            }
            return Stage::Frozen(self);
        }
        if now.since(self.phase.troubled_at) < self.order.recovery_time {
            return Stage::Frozen(self);
        }
        Stage::Ramping(self.with_phase(Ramping {
            stepped_at: Some(now),
        }))
    }

    /// How far the shift is.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress_in(Phase::Frozen)
    }

    fn step_back(&mut self, now: time::TimeMs) {
        let part = self.moved_permille * BACK_PERMILLE / 1_000;
        let step = part.max(self.order.first_step_permille);
        let step = step.min(self.moved_permille).min(self.ledger.room(now));
        self.moved_permille -= self.ledger.enter(step, now);
        self.phase.stepped_at = now;
    }
}

impl Shift<Complete> {
    /// Stays complete, unless the destination shows trouble.
    #[must_use]
    pub fn advance(self, now: time::TimeMs, signal: Signal) -> Stage {
        if signal.turns_back() {
            return self.freeze(now, signal);
        }
        Stage::Complete(self)
    }

    /// How far the shift is.
    #[must_use]
    pub fn progress(&self) -> Progress {
        self.progress_in(Phase::Complete)
    }
}
