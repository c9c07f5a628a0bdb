//! One key that has been dispatched.

use damaskvane_core::{ids, time};

use crate::fingerprint;
use crate::home::{handover, permit, scope};
use crate::outcome;

/// The serial of a key that the predecessor dispatched; permits given here count from 1.
pub(super) const PREDECESSORS_SERIAL: u64 = 0;

/// A key that was dispatched here or by the predecessor, and what is known of it.
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
    /// Dispatched, here or by the predecessor, without an outcome yet.
    Running {
        given_up_at: time::TimeMs,
        waiters: Vec<permit::WaiterId>,
    },
    /// The outcome is `Completed` or `Unknown`; *not run* leaves no record.
    Done {
        outcome: outcome::Outcome<A>,
        until: time::TimeMs,
    },
}

impl<A> State<A> {
    /// When the state ends: the outcome is given up, or its window is over.
    pub(super) const fn due(&self) -> time::TimeMs {
        match self {
            Self::Running { given_up_at, .. } => *given_up_at,
            Self::Done { until, .. } => *until,
        }
    }

    /// Whether an outcome may still arrive: it runs, or was given up.
    pub(super) const fn is_open(&self) -> bool {
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
            State::Running { given_up_at, .. } => handover::HandoverState::Running {
                time_left: given_up_at.since(now),
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
