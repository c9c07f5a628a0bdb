//! The planned stop.
//!
//! Look-ups stop naming the instance at once, and clients that still have its address are served for a
//! while, each answer with the word that the connection closes. Then the listener and all idle
//! connections close, what is at work finishes, and the process ends before it would be killed.

use core::time::Duration;
use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

use crate::node::Node;

/// How long clients may still come after the stop began: look-ups' answers live this long at most for
/// most clients. Requests that come later may not end within the grace time.
const SERVING_S: f64 = 2.6;
/// The part of the grace time that is kept as a reserve for the end of the process.
const RESERVE_S: f64 = 0.5;
/// The pause between two looks whether all requests have ended.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// How far the stop has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// No stop.
    Serving,
    /// The instance is no longer named and asks clients to leave.
    Leaving,
    /// No connection takes another request.
    Closing,
}

/// The state of the stop, and the requests that it waits for.
#[derive(Debug)]
pub struct Stop {
    phase: watch::Sender<StopPhase>,
    requests: Cell<usize>,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(StopPhase::Serving),
            requests: Cell::new(0),
        }
    }
}

impl Stop {
    /// Whether a stop has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() != StopPhase::Serving
    }

    /// Follows the phases.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<StopPhase> {
        self.phase.subscribe()
    }

    /// Counts a request until the guard is dropped.
    pub fn track_request(node: &Rc<Node>) -> RequestGuard {
        let stop = &node.stop;
        stop.requests.set(stop.requests.get() + 1);
        RequestGuard(Rc::clone(node))
    }

    /// Requests at work.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.get()
    }
}

/// A request at work.
#[derive(Debug)]
pub struct RequestGuard(Rc<Node>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let requests = &self.0.stop.requests;
        requests.set(requests.get().saturating_sub(1));
    }
}

/// Stops the instance; returns when the process may end.
pub async fn run(node: &Rc<Node>) {
    let grace_s = node.settings().grace_s;
    let begun = tokio::time::Instant::now();
    let end = begun + Duration::from_secs_f64((grace_s - RESERVE_S).max(0.0));
    node.stop.phase.send_replace(StopPhase::Leaving);
    let serving = Duration::from_secs_f64(SERVING_S.min(grace_s / 2.0));
    tokio::time::sleep_until(begun + serving).await;
    node.stop.phase.send_replace(StopPhase::Closing);
    // Answers that were just made still have to be written.
    tokio::time::sleep(LOOK_PAUSE).await;
    while node.stop.requests() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    tokio::time::sleep(LOOK_PAUSE).await;
}
