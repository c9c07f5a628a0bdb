//! The record of one dispatched idempotency key.
//!
//! The predecessor is a departed instance that handed its keys over to this one.

use damaskvane_core::{ids, time};

use crate::fingerprint;
use crate::home::{handover, permit, scope};
use crate::outcome;

/// The serial of keys that the predecessor dispatched; serials of permits issued here start at 1.
pub(super) const PREDECESSOR_SERIAL: u64 = 0;

/// A key that was dispatched by this instance or by the predecessor, with its state.
#[derive(Debug)]
pub(super) struct Record<A> {
    pub(super) incarnation: ids::Incarnation,
    pub(super) fingerprint: fingerprint::Fingerprint,
    pub(super) serial: u64,
    pub(super) highest_try: u32,
    pub(super) state: State<A>,
}

#[derive(Debug)]
pub(super) enum State<A> {
    /// The key was dispatched, by this instance or the predecessor, and has no outcome yet.
    Running {
        abandon_at: time::TimeMs,
        waiters: Vec<permit::WaiterId>,
    },
    /// The outcome is `Completed` or `Unknown`; *not run* leaves no record.
    Done {
        outcome: outcome::Outcome<A>,
        until: time::TimeMs,
    },
}

impl<A> State<A> {
    /// Returns when the state ends: a running key is abandoned as *unknown*, or an outcome is removed.
    pub(super) const fn due(&self) -> time::TimeMs {
        match self {
            Self::Running { abandon_at, .. } => *abandon_at,
            Self::Done { until, .. } => *until,
        }
    }

    /// Returns whether a later outcome replaces this state: the key is running, or its outcome is unknown.
    pub(super) const fn accepts_outcome(&self) -> bool {
        match self {
            Self::Running { .. } => true,
            Self::Done { outcome, .. } => matches!(outcome, outcome::Outcome::Unknown(_)),
        }
    }

    pub(super) const fn is_running(&self) -> bool {
        matches!(self, Self::Running { .. })
    }
}

impl<A: Clone> Record<A> {
    pub(super) fn hand_over(
        &self,
        scope: &scope::Scope,
        now: time::TimeMs,
    ) -> handover::HandoverRecord<A> {
        let state = match &self.state {
            State::Running { abandon_at, .. } => handover::HandoverState::Running {
                time_left: abandon_at.since(now),
            },
            State::Done { outcome, until } => handover::HandoverState::Done {
                outcome: outcome.clone(),
                time_left: until.since(now),
            },
        };
        handover::HandoverRecord {
            scope: scope.clone(),
            incarnation: self.incarnation,
            fingerprint: self.fingerprint,
            highest_try: self.highest_try,
            state,
        }
    }
}
