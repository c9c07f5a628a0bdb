//! The slots of one service in one zone, with a bounded queue before them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A request that would wait longer is refused.
const LONGEST_WAIT_US: u64 = 250_000;

#[derive(Debug)]
pub(super) struct Queue {
    free_at_us: BinaryHeap<Reverse<u64>>,
}

impl Queue {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            free_at_us: (0..slots).map(|_| Reverse(0)).collect(),
        }
    }

    /// Runs a request in the slot that is free first and says when it starts, or refuses it.
    pub(super) fn run(&mut self, arrives_us: u64, takes_us: u64) -> Option<u64> {
        let Reverse(free_at_us) = *self.free_at_us.peek()?;
        let starts_us = free_at_us.max(arrives_us);
        if starts_us - arrives_us > LONGEST_WAIT_US {
            return None;
        }
        self.free_at_us.pop();
        self.free_at_us.push(Reverse(starts_us + takes_us));
        Some(starts_us)
    }

    /// How many slots are in use.
    pub(super) fn running(&self, now_us: u64) -> u32 {
        self.free_at_us
            .iter()
            .filter(|free_at| free_at.0 > now_us)
            .count() as u32
    }
}
