//! The timer service: parts subscribe to a period, and the owner of the clock advances it.
//!
//! ```
//! use damaskvane_core::{time, timer};
//!
//! let mut service = timer::TimerService::new(time::TimeMs::ZERO);
//! let heartbeat = service.subscribe(time::SpanMs::new(500));
//! assert!(service.advance(time::TimeMs::new(499)).is_empty());
//! assert_eq!(service.advance(time::TimeMs::new(500)), vec![heartbeat]);
//! ```

use crate::time::{SpanMs, TimeMs};

/// Names one subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(usize);

#[derive(Debug)]
struct Subscription {
    period: SpanMs,
    due: TimeMs,
}

/// Tells subscribers when their period has passed.
///
/// After a pause of the process a subscription fires once, not once for each missed period: a burst
/// of overdue heartbeats would tell neighbours nothing and cost them as many messages.
#[derive(Debug)]
pub struct TimerService {
    now: TimeMs,
    subscriptions: Vec<Subscription>,
}

impl TimerService {
    /// A service whose clock starts at `now`.
    #[must_use]
    pub const fn new(now: TimeMs) -> Self {
        Self {
            now,
            subscriptions: Vec::new(),
        }
    }

    /// Subscribes to a period; the first firing is one period from now.
    pub fn subscribe(&mut self, period: SpanMs) -> TimerId {
        self.subscriptions.push(Subscription {
            period,
            due: self.now + period,
        });
        TimerId(self.subscriptions.len() - 1)
    }

    /// Moves the clock and returns the subscriptions that are due, in order of subscription.
    ///
    /// A clock that steps back is ignored: nothing fires until it passes the latest point seen.
    pub fn advance(&mut self, now: TimeMs) -> Vec<TimerId> {
        self.now = self.now.max(now);
        let now = self.now;
        let mut fired = Vec::new();
        for (index, subscription) in self.subscriptions.iter_mut().enumerate() {
            if subscription.due <= now {
                subscription.due = now + subscription.period;
                fired.push(TimerId(index));
            }
        }
        fired
    }

    /// The earliest point at which a subscription is due.
    #[must_use]
    pub fn next_due(&self) -> Option<TimeMs> {
        self.subscriptions.iter().map(|entry| entry.due).min()
    }
}
