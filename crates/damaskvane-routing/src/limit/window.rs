//! A sliding window that counts events, for limits that hold in every time span of a given length.

use std::collections::VecDeque;

use damaskvane_core::time::TimeMs;

/// The times of the events in the last `length_ms` milliseconds.
///
/// A window that is reset at fixed times lets twice the limit through around each reset. A sliding window holds
/// the limit in any time span of its length.
#[derive(Debug, Clone)]
pub struct Window {
    length_ms: u64,
    events: VecDeque<TimeMs>,
}

impl Window {
    /// Returns an empty window of the given length.
    #[must_use]
    pub const fn new(length_ms: u64) -> Self {
        Self {
            length_ms,
            events: VecDeque::new(),
        }
    }

    /// Records an event; events have to be recorded in the order of time.
    pub fn record(&mut self, now: TimeMs) {
        self.events.push_back(now);
    }

    /// Returns the number of events in the last `length_ms` milliseconds; keeps older events in memory.
    #[must_use]
    pub fn count_recent(&self, now: TimeMs) -> usize {
        let events = self.events.iter().rev();
        let recent = events.take_while(|at| now.since(**at).get() <= self.length_ms);
        recent.count()
    }

    /// Removes the events that are older than `length_ms`, and returns the number of the remaining events.
    pub fn prune_and_count(&mut self, now: TimeMs) -> usize {
        while let Some(first) = self.events.front()
            && now.since(*first).get() > self.length_ms
        {
            self.events.pop_front();
        }
        self.events.len()
    }
}
