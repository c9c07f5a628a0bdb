//! The planned stop of an entry instance's process.
//!
//! Lookups, by which clients request the addresses of instances, no longer return the stopping instance. Clients that
//! have its address from an earlier lookup are served for a while; each response announces that the connection closes.
//! Then the listener and all idle connections close, running requests finish, and the process ends before the platform
//! would kill it.

use core::time::Duration;
use std::cell::Cell;
use std::rc::Rc;

use damaskvane_core::time::{SpanMs, TimeMs};
use tokio::sync::watch;

use crate::node::Node;

/// Seconds after the start of the stop for which clients are still served.
///
/// Most clients use the addresses of a lookup for at most this time. Later requests might not end before the platform
/// kills the process.
const SERVING_S: f64 = 2.6;
/// Seconds before the platform would kill the process that are reserved for the end of the process.
const RESERVE_S: f64 = 0.5;
/// Interval between two checks of whether all requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Phase of the planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// No stop has begun.
    Serving,
    /// Lookups no longer return the instance, and responses close their connections.
    Leaving,
    /// No connection accepts another request.
    Closing,
}

/// Phase and end of the stop, and the number of requests that the stop waits for.
#[derive(Debug)]
pub struct Stop {
    phase: watch::Sender<StopPhase>,
    /// When the process ends at the latest; `None` before a stop.
    ends_at: Cell<Option<TimeMs>>,
    active_requests: Cell<usize>,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(StopPhase::Serving),
            ends_at: Cell::new(None),
            active_requests: Cell::new(0),
        }
    }
}

impl Stop {
    /// Returns whether a stop has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() != StopPhase::Serving
    }

    /// Returns whether a request that was read just now is answered before the process ends, at its deadline at the latest.
    ///
    /// Before connections close, every request is taken: clients have no other address yet.
    #[must_use]
    pub fn leaves_time_until(&self, deadline: TimeMs) -> bool {
        let is_closing = *self.phase.borrow() == StopPhase::Closing;
        !is_closing || self.ends_at.get().is_none_or(|ends_at| deadline <= ends_at)
    }

    /// Returns a receiver of phase changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<StopPhase> {
        self.phase.subscribe()
    }

    /// Counts a request as running until the guard is dropped.
    pub fn track_request(node: &Rc<Node>) -> RequestGuard {
        let stop = &node.stop;
        stop.active_requests.set(stop.active_requests.get() + 1);
        RequestGuard(Rc::clone(node))
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.active_requests.get()
    }
}

/// Counts one request as running until this guard is dropped.
#[derive(Debug)]
pub struct RequestGuard(Rc<Node>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let requests = &self.0.stop.active_requests;
        requests.set(requests.get().saturating_sub(1));
    }
}

/// Runs the planned stop; returns when the process may end.
pub async fn run(node: &Rc<Node>) {
    let grace_s = node.settings().grace_s;
    let begun = tokio::time::Instant::now();
    let usable = Duration::from_secs_f64((grace_s - RESERVE_S).max(0.0));
    let end = begun + usable;
    let usable_ms = u64::try_from(usable.as_millis()).unwrap_or(u64::MAX);
    let ends_at = node.now() + SpanMs::new(usable_ms);
    node.stop.ends_at.set(Some(ends_at));
    node.stop.phase.send_replace(StopPhase::Leaving);
    let serving = Duration::from_secs_f64(SERVING_S.min(grace_s / 2.0));
    tokio::time::sleep_until(begun + serving).await;
    node.stop.phase.send_replace(StopPhase::Closing);
    // Responses that were just created still have to be written.
    tokio::time::sleep(POLL_INTERVAL).await;
    while node.stop.active_requests() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(POLL_INTERVAL).await;
}
