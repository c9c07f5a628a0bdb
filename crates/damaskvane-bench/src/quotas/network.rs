//! Messages between zones: they take time, get lost, and can't pass a cut.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::quotas::case::{Case, DISTURBED_FROM_MS, DISTURBED_UNTIL_MS, Pattern};

/// One-way time between zones of one region and between regions, in milliseconds.
const REGION_MS: u64 = 4;
const FAR_MS: u64 = 12;
/// Zone that is cut off.
const CUT_ZONE: usize = 2;
const LATE_MS: u64 = 1_000;

/// Messages on their way, in the order in which they arrive.
#[derive(Debug)]
pub(super) struct Network<M> {
    pattern: Pattern,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    messages: BTreeMap<u64, M>,
    next: u64,
    /// Bytes that were sent in total, and between zones.
    pub(super) bytes: u64,
    pub(super) bytes_between_zones: u64,
}

impl<M> Network<M> {
    pub(super) fn new(case: &Case) -> Self {
        Self {
            pattern: case.pattern,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            next: 0,
            bytes: 0,
            bytes_between_zones: 0,
        }
    }

    /// Counts bytes that an exchange within a zone takes; such an exchange is over within a millisecond.
    pub(super) const fn count_in_zone(&mut self, bytes: u64) {
        self.bytes += bytes;
    }

    /// Sends a message from a zone to another one.
    pub(super) fn send(
        &mut self,
        random: &mut Pcg64Mcg,
        now_ms: u64,
        (from, to): (usize, usize),
        bytes: u64,
        message: M,
    ) {
        self.bytes += bytes;
        if from != to {
            self.bytes_between_zones += bytes;
        }
        let is_disturbed = (DISTURBED_FROM_MS..DISTURBED_UNTIL_MS).contains(&now_ms);
        let is_lost = is_disturbed
            && match self.pattern {
                Pattern::Cut => (from == CUT_ZONE) != (to == CUT_ZONE),
                Pattern::OneWay => from == CUT_ZONE && to != CUT_ZONE,
                Pattern::Lossy => random.random_bool(0.1),
                _ => false,
            };
        if is_lost {
            return;
        }
        let is_late = is_disturbed && self.pattern == Pattern::Lossy && random.random_bool(0.1);
        let distance_ms = match (from == to, from / 2 == to / 2) {
            (true, _) => 1,
            (false, true) => REGION_MS,
            (false, false) => FAR_MS,
        };
        let late_ms = if is_late { LATE_MS } else { 0 };
        self.queue
            .push(Reverse((now_ms + distance_ms + late_ms, self.next)));
        self.messages.insert(self.next, message);
        self.next += 1;
    }

    /// Returns the next message that has arrived.
    pub(super) fn arrived(&mut self, now_ms: u64) -> Option<M> {
        let Reverse((at_ms, number)) = *self.queue.peek()?;
        if at_ms > now_ms {
            return None;
        }
        self.queue.pop();
        self.messages.remove(&number)
    }
}
