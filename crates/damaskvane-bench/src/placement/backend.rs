//! A backend server: slots, a short queue, and a memory of objects.

use std::collections::VecDeque;

use damaskvane_routing::pool::LoadReport;

use crate::placement::deployment::{QUEUE, REMEMBERED, SLOTS, WARM_GAIN};

/// A request at a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) flight: usize,
    pub(super) object: u64,
    /// Its work where the object isn't remembered.
    pub(super) work_ms: f64,
}

/// What became of a request that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Arrival {
    /// It runs, for so long.
    Runs(u64),
    /// It waits.
    Waits,
    /// It was turned away.
    Shed,
}

/// A backend server.
#[derive(Debug, Default)]
pub(super) struct Backend {
    running: u32,
    waiting: VecDeque<Job>,
    /// The objects it remembers, the latest last.
    remembered: VecDeque<u64>,
    /// How much longer its work takes now.
    pub(super) slowness: f64,
}

impl Backend {
    pub(super) fn arrive(&mut self, job: Job) -> Arrival {
        if self.running < SLOTS {
            self.running += 1;
            return Arrival::Runs(self.work_ms(job));
        }
        if self.waiting.len() >= QUEUE {
            return Arrival::Shed;
        }
        self.waiting.push_back(job);
        Arrival::Waits
    }

    /// Ends a request; the one that runs in its place, and for how long.
    pub(super) fn end(&mut self) -> Option<(Job, u64)> {
        let Some(next) = self.waiting.pop_front() else {
            self.running -= 1;
            return None;
        };
        let work_ms = self.work_ms(next);
        Some((next, work_ms))
    }

    pub(super) fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: SLOTS,
        }
    }

    fn work_ms(&mut self, job: Job) -> u64 {
        let known = self.remembered.iter().position(|one| *one == job.object);
        if let Some(place) = known {
            self.remembered.remove(place);
        } else if self.remembered.len() >= REMEMBERED {
            self.remembered.pop_front();
        }
        self.remembered.push_back(job.object);
        let saved = if known.is_some() { WARM_GAIN } else { 0.0 };
        (job.work_ms * (1.0 - saved) * self.slowness.max(1.0)) as u64
    }
}
