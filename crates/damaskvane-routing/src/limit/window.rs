//! Counts events in a sliding window.

use std::collections::VecDeque;

use damaskvane_core::time::TimeMs;

/// The events of the last so many milliseconds.
///
/// A window that starts anew at fixed points lets twice the limit through around such a point; this one
/// holds for any span of its length.
#[derive(Debug, Clone)]
pub struct Window {
    length_ms: u64,
    events: VecDeque<TimeMs>,
}

impl Window {
    /// An empty window.
    #[must_use]
    pub const fn new(length_ms: u64) -> Self {
        Self {
            length_ms,
            events: VecDeque::new(),
        }
    }

    /// Notes an event.
    pub fn record(&mut self, now: TimeMs) {
        self.events.push_back(now);
    }

    /// The events that are at most the window's length old.
    #[must_use]
    pub fn counted(&self, now: TimeMs) -> usize {
        let events = self.events.iter().rev();
        let recent = events.take_while(|at| now.since(**at).get() <= self.length_ms);
        recent.count()
    }

    /// The same; events that are older are forgotten.
    pub fn count(&mut self, now: TimeMs) -> usize {
        while let Some(first) = self.events.front()
            && now.since(*first).get() > self.length_ms
        {
            self.events.pop_front();
        }
        self.events.len()
    }
}
