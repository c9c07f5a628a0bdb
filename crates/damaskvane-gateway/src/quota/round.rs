//! One round of borrowing: a pool asks all other pools of its team at the same time.

use std::cell::Cell;

use tokio::sync::Notify;

use damaskvane_core::time::TimeMs;

/// State of the last round of borrowing for a team. Requests that need a token wait for the running round.
#[derive(Debug, Default)]
pub(super) struct Round {
    pub(super) is_done: Cell<bool>,
    /// Time before which no other round begins.
    pub(super) next_at: Cell<TimeMs>,
    pub(super) progress: Notify,
}
