//! State of the platform's store as this instance observes it: whether the store is up, and when it responded last.
//!
//! The health check detects within about a second that the store is down. A watch is a call that returns when the store
//! has changes. Watches wait long, which saves calls, and are restarted after an outage, because a watch that was
//! pending during an outage may never return. A relay is an instance that sends the store's changes to other instances.

use std::cell::Cell;

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::peers::IncarnationKey;
use tokio::sync::{Notify, watch};

/// Source of the store's changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store, which this instance watches itself.
    Store,
    /// Another instance, which relays changes of the store.
    Relay,
    /// No source is selected: no relay sends fresh data, and this instance checks whether the store answers.
    Undecided,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reachability {
    Up,
    Down,
}

/// Minimum time since the store's previous response, in milliseconds, after which a response is reported to subscribers
/// at once. Subscribers are the instances that receive changes from this instance.
const NOTIFY_GAP_MS: u64 = 100;

/// Time in milliseconds in which further responses that history is gone are taken for the same loss: each collection gets
/// one.
const SAME_LOSS_MS: u64 = 200;

/// Reachability of the store and the source of its changes.
#[derive(Debug)]
pub struct StoreHealth {
    reachability: watch::Sender<Reachability>,
    source: watch::Sender<Source>,
    /// Incarnation (one start of an instance's process) that received the store's last response, of this or another
    /// instance.
    answered_instance: Cell<Option<IncarnationKey>>,
    /// Time of the store's last response to any instance; `None` if no response is known. A process that started while
    /// the store is down must not be taken for a process that received a response a moment ago.
    answered_at: Cell<Option<TimeMs>>,
    /// Notifies waiting tasks of a response of the store that came after a gap of `NOTIFY_GAP_MS` or more.
    answers: Notify,
    /// Time of the store's last response to a health check of this instance.
    directly_answered_at: Cell<Option<TimeMs>>,
    /// Time of the first such response after a health check that the store did not answer.
    directly_regained_at: Cell<Option<TimeMs>>,
    /// Number of calls of this instance that the store did not answer.
    failed_calls: watch::Sender<u64>,
    /// Time of the last loss of the store's history that a watch of this instance has met.
    history_lost_at: watch::Sender<Option<TimeMs>>,
    /// The newest revision of the store that this instance has read.
    revision: watch::Sender<u64>,
    /// Time of the last reading of the revision.
    revision_read_at: Cell<Option<TimeMs>>,
    /// Whether the store did not answer the last health check of this instance, even if a relay reports its responses.
    is_direct_access_lost: Cell<bool>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            reachability: watch::Sender::new(Reachability::Up),
            source: watch::Sender::new(Source::Undecided),
            answered_instance: Cell::new(None),
            answered_at: Cell::new(None),
            answers: Notify::new(),
            directly_answered_at: Cell::new(None),
            directly_regained_at: Cell::new(None),
            failed_calls: watch::Sender::new(0),
            history_lost_at: watch::Sender::new(None),
            revision: watch::Sender::new(0),
            revision_read_at: Cell::new(None),
            is_direct_access_lost: Cell::new(false),
        }
    }
}

impl StoreHealth {
    /// Records that the store answered `instance` at the time `at`. Returns the duration of the outage if the store was
    /// marked as down.
    pub fn record_answer(&self, at: TimeMs, instance: IncarnationKey) -> Option<SpanMs> {
        let before = self.answered_at.get();
        let gap = at.since(before.unwrap_or(TimeMs::ZERO));
        if before.is_none_or(|before| before <= at) {
            self.answered_at.set(Some(at));
            self.answered_instance.set(Some(instance));
        }
        if gap.get() >= NOTIFY_GAP_MS {
            self.answers.notify_waiters();
        }
        let was_down = self.reachability.send_if_modified(|reachability| {
            let was_down = *reachability == Reachability::Down;
            *reachability = Reachability::Up;
            was_down
        });
        was_down.then_some(gap)
    }

    /// Records that the store did not answer a call of this instance. Pending watches restart, because a hanging watch
    /// may never return, even if a relay reports responses of the store meanwhile.
    pub fn record_failed_call(&self) {
        self.failed_calls
            .send_modify(|failed_calls| *failed_calls += 1);
    }

    /// Waits until a call that is sent now may never get a response: the store does not answer a later call of this
    /// instance, or it is marked as down and answers again, as calls that it received meanwhile may be lost.
    pub async fn until_call_may_hang(&self) {
        let mut failed_calls = self.failed_calls.subscribe();
        // The sender lives as long as the node, so waiting doesn't fail.
        let failed = async {
            let _ = failed_calls.changed().await;
        };
        let returned = async {
            if self.is_up() {
                return core::future::pending().await;
            }
            self.until_up().await;
        };
        tokio::select! {
            () = failed => {}
            () = returned => {}
        }
    }

    /// Records that a watch of one collection got the response that history is gone.
    pub fn record_history_lost(&self, now: TimeMs) {
        self.history_lost_at.send_if_modified(|last| {
            let is_new = last.is_none_or(|at| now.since(at).get() >= SAME_LOSS_MS);
            if is_new {
                *last = Some(now);
            }
            is_new
        });
    }

    /// Waits until a watch of another collection meets a loss of history.
    ///
    /// A watch that was pending when the store discarded its history may not get the changes that were discarded, nor
    /// notice the loss: it waits for the next change, which may come much later.
    pub async fn until_history_lost(&self) {
        let mut losses = self.history_lost_at.subscribe();
        // The sender lives as long as the node, so waiting doesn't fail.
        let _ = losses.changed().await;
    }

    /// Records that the store's revision was read at the time `at`, not from an old state.
    pub fn record_revision(&self, at: TimeMs, revision: u64) {
        self.revision_read_at.set(Some(at));
        self.revision.send_if_modified(|newest| {
            let is_newer = revision > *newest;
            *newest = revision.max(*newest);
            is_newer
        });
    }

    /// Returns the time at which the store's revision was last read, or `None` if it never was.
    #[must_use]
    pub const fn revision_read_at(&self) -> Option<TimeMs> {
        self.revision_read_at.get()
    }

    /// Waits until a revision of the store after `revision` was read, and returns the newest one.
    pub async fn until_revision_after(&self, revision: u64) -> u64 {
        let mut readings = self.revision.subscribe();
        // The sender lives as long as the node, so waiting doesn't fail.
        let newest = readings.wait_for(|newest| *newest > revision).await;
        newest.map_or(revision, |newest| *newest)
    }

    /// Marks the store as down. Returns whether the store was marked as up before.
    pub fn mark_down(&self) -> bool {
        self.reachability.send_if_modified(|reachability| {
            let was_up = *reachability == Reachability::Up;
            *reachability = Reachability::Down;
            was_up
        })
    }

    /// Records that the store answered a health check of this instance at the time `at`.
    pub fn record_direct_answer(&self, at: TimeMs) {
        self.directly_answered_at.set(Some(at));
        if self.is_direct_access_lost.replace(false) {
            self.directly_regained_at.set(Some(at));
        }
    }

    /// Records that the store did not answer a health check of this instance.
    pub fn record_direct_failure(&self) {
        self.is_direct_access_lost.set(true);
    }

    /// Returns the time of the store's last response to a health check of this instance, or `None` if there was no
    /// response.
    #[must_use]
    pub const fn directly_answered_at(&self) -> Option<TimeMs> {
        self.directly_answered_at.get()
    }

    /// Returns the time at which the store last answered a health check of this instance after it had not answered one,
    /// or `None` if that never happened.
    #[must_use]
    pub const fn directly_regained_at(&self) -> Option<TimeMs> {
        self.directly_regained_at.get()
    }

    /// Returns whether the store did not answer the last health check of this instance.
    #[must_use]
    pub const fn is_direct_access_lost(&self) -> bool {
        self.is_direct_access_lost.get()
    }

    /// Returns the incarnation that received the store's last response, or `None` if no response is known.
    #[must_use]
    pub const fn answered_instance(&self) -> Option<IncarnationKey> {
        self.answered_instance.get()
    }

    /// Returns the time since the store's last response to this instance or to its relay, or the longest span if no
    /// response is known.
    #[must_use]
    pub fn age(&self, now: TimeMs) -> SpanMs {
        let answered_at = self.answered_at.get();
        answered_at.map_or(SpanMs::new(u64::MAX), |at| now.since(at))
    }

    /// Returns the current source of the store's changes.
    #[must_use]
    pub fn source(&self) -> Source {
        *self.source.borrow()
    }

    /// Sets the source of changes. Returns whether the source differs from the previous source.
    pub fn set_source(&self, source: Source) -> bool {
        self.source.send_if_modified(|current| {
            let is_other = *current != source;
            *current = source;
            is_other
        })
    }

    /// Waits until the source of changes is `source`.
    pub async fn until_source_is(&self, source: Source) {
        let mut changes = self.source.subscribe();
        // The sender lives as long as the node, so waiting doesn't fail.
        let _ = changes.wait_for(|current| *current == source).await;
    }

    /// Waits until the source of changes is no longer `source`.
    pub async fn until_source_is_not(&self, source: Source) {
        let mut changes = self.source.subscribe();
        let _ = changes.wait_for(|current| *current != source).await;
    }

    /// Waits for a response of the store, to this instance or to its relay, after a gap of at least `NOTIFY_GAP_MS`.
    pub async fn until_answered(&self) {
        self.answers.notified().await;
    }

    /// Returns whether the store is marked as up.
    #[must_use]
    pub fn is_up(&self) -> bool {
        *self.reachability.borrow() == Reachability::Up
    }

    /// Waits until the store is marked as up.
    pub async fn until_up(&self) {
        self.until_reachability(Reachability::Up).await;
    }

    async fn until_reachability(&self, target: Reachability) {
        let mut changes = self.reachability.subscribe();
        let _ = changes.wait_for(|current| *current == target).await;
    }
}
