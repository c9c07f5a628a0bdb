//! A server of the model: slots, a queue, and the objects that it has handled.

use std::collections::{HashMap, VecDeque};

use damaskvane_routing::pool::LoadReport;

/// Time for which a server remembers an object.
const MEMORY_MS: u64 = 30_000;

#[derive(Debug)]
pub struct Server {
    pub slots: u32,
    pub running: u32,
    pub waiting: VecDeque<usize>,
    objects: HashMap<u64, u64>,
}

impl Server {
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            waiting: VecDeque::new(),
            objects: HashMap::new(),
        }
    }

    pub const fn free(&self) -> u32 {
        self.slots - self.running
    }

    /// Returns whether the server remembers the object, and remembers it from now on.
    pub fn remember(&mut self, now_ms: u64, object: u64) -> bool {
        let before = self.objects.insert(object, now_ms);
        before.is_some_and(|at_ms| now_ms - at_ms < MEMORY_MS)
    }

    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: self.slots,
        }
    }
}
