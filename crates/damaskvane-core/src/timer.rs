//! Periodic timers on a clock that the caller advances.
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

/// Identifies one subscription of a [`TimerService`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(usize);

#[derive(Debug)]
struct Subscription {
    period: SpanMs,
    due: TimeMs,
}

/// Reports which periodic subscriptions are due whenever the caller advances the clock.
///
/// After a pause of the process a subscription fires once, not once for each missed period. A burst
/// of overdue heartbeats would carry no information and cost the neighbours as many messages.
#[derive(Debug)]
pub struct TimerService {
    now: TimeMs,
    subscriptions: Vec<Subscription>,
}

impl TimerService {
    /// Creates a service without subscriptions whose clock starts at `now`.
    #[must_use]
    pub const fn new(now: TimeMs) -> Self {
        Self {
            now,
            subscriptions: Vec::new(),
        }
    }

    /// Adds a subscription that fires every `period`, for the first time one period from now.
    pub fn subscribe(&mut self, period: SpanMs) -> TimerId {
        self.subscriptions.push(Subscription {
            period,
            due: self.now + period,
        });
        TimerId(self.subscriptions.len() - 1)
    }

    /// Advances the clock to `now` and returns the due subscriptions in the order of subscription.
    ///
    /// A `now` before the latest one is ignored: nothing fires until the clock passes that latest
    /// time.
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

    /// Returns the earliest time at which a subscription is due; `None` without subscriptions.
    #[must_use]
    pub fn next_due(&self) -> Option<TimeMs> {
        self.subscriptions.iter().map(|entry| entry.due).min()
    }
}
