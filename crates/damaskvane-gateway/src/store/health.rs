//! Whether what the instance knows of the store is fresh.
//!
//! The store's contact task finds out within about a second that the store is away. Watches wait long, which
//! saves calls, and start anew after an outage: one that hung through it may never return.

use std::cell::Cell;

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::peers::StartKey;
use tokio::sync::{Notify, watch};

/// Where changes come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From the store itself.
    Store,
    /// From an instance of the zone that watches the store.
    Relay,
    /// From nowhere for a moment: nobody is known who tells of them, and whether the store answers is found out.
    Undecided,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reachability {
    Up,
    Down,
}

/// An answer that comes so much later than the one before is told to listeners at once.
const TOLD_AT_ONCE_MS: u64 = 100;

/// The store, as the instance finds it.
#[derive(Debug)]
pub struct StoreHealth {
    reachability: watch::Sender<Reachability>,
    source: watch::Sender<Source>,
    /// Which instance the store answered last, this one or another that it hears of.
    answered: Cell<Option<StartKey>>,
    /// When the store answered last; none if it never has. A process that has just started without the store
    /// must not pass for one that heard from it a moment ago.
    answered_at: Cell<Option<TimeMs>>,
    /// Tells of answers of the store.
    answers: Notify,
    /// When the store answered this instance itself last.
    own_answered_at: Cell<Option<TimeMs>>,
    /// Counts the questions of this instance that the store left open.
    failures: watch::Sender<u64>,
    /// Whether the store does not answer this instance itself, whatever a relay tells.
    is_own_contact_lost: Cell<bool>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            reachability: watch::Sender::new(Reachability::Up),
            source: watch::Sender::new(Source::Undecided),
            answered: Cell::new(None),
            answered_at: Cell::new(None),
            answers: Notify::new(),
            own_answered_at: Cell::new(None),
            failures: watch::Sender::new(0),
            is_own_contact_lost: Cell::new(false),
        }
    }
}

impl StoreHealth {
    /// Notes that the store answered an instance at a time; returns how long it was away, if it was.
    pub fn record_answer(&self, at: TimeMs, instance: StartKey) -> Option<SpanMs> {
        let before = self.answered_at.get();
        let away = at.since(before.unwrap_or(TimeMs::ZERO));
        if before.is_none_or(|before| before <= at) {
            self.answered_at.set(Some(at));
            self.answered.set(Some(instance));
        }
        if away.get() >= TOLD_AT_ONCE_MS {
            self.answers.notify_waiters();
        }
        let was_down = self.reachability.send_if_modified(|reachability| {
            let was_down = *reachability == Reachability::Down;
            *reachability = Reachability::Up;
            was_down
        });
        was_down.then_some(away)
    }

    /// Notes that the store did not answer this instance. Watches that were under way start anew: one that
    /// hangs may never return, whatever a relay says of the store meanwhile.
    pub fn record_failed_call(&self) {
        self.failures.send_modify(|failures| *failures += 1);
    }

    /// Waits until the store does not answer a question of this instance.
    pub async fn until_failed_call(&self) {
        let mut failures = self.failures.subscribe();
        // The sender lives as long as the node, so waiting doesn't fail.
        let _ = failures.changed().await;
    }

    /// Notes that the store is away; returns whether that is news.
    pub fn failed(&self) -> bool {
        self.reachability.send_if_modified(|reachability| {
            let was_up = *reachability == Reachability::Up;
            *reachability = Reachability::Down;
            was_up
        })
    }

    /// Notes that the store answered this instance itself at a time.
    pub fn own_answered(&self, at: TimeMs) {
        self.own_answered_at.set(Some(at));
        self.is_own_contact_lost.set(false);
    }

    /// Notes that the store did not answer this instance itself.
    pub fn own_contact_lost(&self) {
        self.is_own_contact_lost.set(true);
    }

    /// When the store answered this instance itself last.
    #[must_use]
    pub const fn own_answered_at(&self) -> Option<TimeMs> {
        self.own_answered_at.get()
    }

    /// Whether the store does not answer this instance itself.
    #[must_use]
    pub const fn is_own_contact_lost(&self) -> bool {
        self.is_own_contact_lost.get()
    }

    /// Which instance the store answered last.
    #[must_use]
    pub const fn answered_instance(&self) -> Option<StartKey> {
        self.answered.get()
    }

    /// The time since the store answered last, to this instance or to its relay; the longest span if it never
    /// has.
    #[must_use]
    pub fn age(&self, now: TimeMs) -> SpanMs {
        let answered_at = self.answered_at.get();
        answered_at.map_or(SpanMs::new(u64::MAX), |at| now.since(at))
    }

    /// Where changes come from.
    #[must_use]
    pub fn source(&self) -> Source {
        *self.source.borrow()
    }

    /// Changes the source; returns whether it was another one.
    pub fn set_source(&self, source: Source) -> bool {
        self.source.send_if_modified(|current| {
            let is_other = *current != source;
            *current = source;
            is_other
        })
    }

    /// Waits until changes come from this source.
    pub async fn until_source(&self, wanted: Source) {
        let mut changes = self.source.subscribe();
        // The sender lives as long as the node, so waiting doesn't fail.
        let _ = changes.wait_for(|current| *current == wanted).await;
    }

    /// Waits until changes no longer come from this source.
    pub async fn until_other_source(&self, than: Source) {
        let mut changes = self.source.subscribe();
        let _ = changes.wait_for(|current| *current != than).await;
    }

    /// Waits until the store answers, this instance or the one it hears from.
    pub async fn until_answered(&self) {
        self.answers.notified().await;
    }

    /// Waits until the store is there.
    pub async fn until_up(&self) {
        self.until(Reachability::Up).await;
    }

    async fn until(&self, wanted: Reachability) {
        let mut changes = self.reachability.subscribe();
        let _ = changes.wait_for(|current| *current == wanted).await;
    }
}
