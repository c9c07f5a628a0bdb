//! A backend server: slots, a short queue, and a memory of objects.

use std::collections::VecDeque;

use damaskvane_routing::pool::LoadReport;

use crate::placement::deployment::ServiceModel;

/// A request at a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) flight: usize,
    pub(super) object: u64,
    /// Its work where the object isn't remembered.
    pub(super) work_ms: f64,
    /// The part of it that a remembered object saves.
    pub(super) warm_gain: f64,
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
#[derive(Debug)]
pub(super) struct Backend {
    slots: u32,
    queue: usize,
    memory: usize,
    running: u32,
    waiting: VecDeque<Job>,
    /// The objects it remembers, the latest last.
    remembered: VecDeque<u64>,
    /// How much longer its work takes now.
    pub(super) slowness: f64,
}

impl Backend {
    pub(super) const fn new(model: &ServiceModel) -> Self {
        Self {
            slots: model.slots,
            queue: model.queue,
            memory: model.remembered,
            running: 0,
            waiting: VecDeque::new(),
            remembered: VecDeque::new(),
            slowness: 1.0,
        }
    }

    pub(super) fn arrive(&mut self, job: Job) -> Arrival {
        if self.running < self.slots {
            self.running += 1;
            return Arrival::Runs(self.work_ms(job));
        }
        if self.waiting.len() >= self.queue {
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
            slots: self.slots,
        }
    }

    pub(super) fn remembers(&self, object: u64) -> bool {
        self.remembered.contains(&object)
    }

    /// How long a request of this work that arrived now would take, in the mean.
    pub(super) fn expected_ms(&self, job: Job) -> f64 {
        let saved = if self.remembers(job.object) {
            job.warm_gain
        } else {
            0.0
        };
        let queued = self.waiting.iter();
        let ahead_ms: f64 = queued.map(|one| one.work_ms * (1.0 - one.warm_gain)).sum();
        let own_ms = job.work_ms * (1.0 - saved);
        let is_full = self.running >= self.slots;
        let wait_ms = if is_full {
            ahead_ms / f64::from(self.slots) + own_ms / 2.0 / f64::from(self.slots)
        } else {
            0.0
        };
        (wait_ms + own_ms) * self.slowness
    }

    /// Whether one more request would be turned away.
    pub(super) fn is_full(&self) -> bool {
        self.running >= self.slots && self.waiting.len() >= self.queue
    }

    fn work_ms(&mut self, job: Job) -> u64 {
        let known = self.remembered.iter().position(|one| *one == job.object);
        if let Some(place) = known {
            self.remembered.remove(place);
        } else if self.remembered.len() >= self.memory {
            self.remembered.pop_front();
        }
        self.remembered.push_back(job.object);
        let saved = if known.is_some() { job.warm_gain } else { 0.0 };
        (job.work_ms * (1.0 - saved) * self.slowness) as u64
    }
}
