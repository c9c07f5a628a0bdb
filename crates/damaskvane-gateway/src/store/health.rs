//! Whether the store answers this instance.
//!
//! One watch, the sentinel, waits for short times only and so finds out soon that the store is away. All
//! other watches wait long, which saves calls, and start anew when the sentinel fails: a watch that hung
//! through an outage may never return.

use std::cell::Cell;

use damaskvane_core::time::{SpanMs, TimeMs};
use tokio::sync::watch;

/// What the sentinel found last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reachability {
    Up,
    Down,
}

/// The store, as the sentinel finds it.
#[derive(Debug)]
pub struct StoreHealth {
    reachability: watch::Sender<Reachability>,
    answered_at: Cell<TimeMs>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            reachability: watch::Sender::new(Reachability::Up),
            answered_at: Cell::new(TimeMs::ZERO),
        }
    }
}

impl StoreHealth {
    /// Notes that the store answered; returns how long it was away, if it was.
    pub fn answered(&self, now: TimeMs) -> Option<SpanMs> {
        let away = now.since(self.answered_at.get());
        self.answered_at.set(now);
        let was_down = self.reachability.send_if_modified(|reachability| {
            let was_down = *reachability == Reachability::Down;
            *reachability = Reachability::Up;
            was_down
        });
        was_down.then_some(away)
    }

    /// Notes that the sentinel failed; returns whether that is news.
    pub fn failed(&self) -> bool {
        self.reachability.send_if_modified(|reachability| {
            let was_up = *reachability == Reachability::Up;
            *reachability = Reachability::Down;
            was_up
        })
    }

    /// The time since the store answered last.
    #[must_use]
    pub fn age(&self, now: TimeMs) -> SpanMs {
        now.since(self.answered_at.get())
    }

    /// Waits until the sentinel finds the store away.
    pub async fn until_down(&self) {
        self.until(Reachability::Down).await;
    }

    /// Waits until the sentinel finds the store there.
    pub async fn until_up(&self) {
        self.until(Reachability::Up).await;
    }

    async fn until(&self, wanted: Reachability) {
        let mut changes = self.reachability.subscribe();
        // The sender lives as long as the node, so waiting doesn't fail.
        let _ = changes.wait_for(|current| *current == wanted).await;
    }
}
