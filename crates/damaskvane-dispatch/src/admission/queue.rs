//! The admission queue.
//!
//! ```
//! use damaskvane_dispatch::admission;
//!
//! let queue: admission::Queue<u32> = admission::Queue::new(admission::QueueSettings::default());
//! assert!(queue.is_empty());
//! ```

use std::collections;

use damaskvane_core::{ids, time};

use crate::admission::{lane, queued_request, rejected, settings};
use crate::refusal;

/// Waiting requests of every service; the services take turns.
#[derive(Debug)]
pub struct Queue<R> {
    settings: settings::QueueSettings,
    lanes: collections::BTreeMap<ids::ServiceId, lane::Lane<R>>,
    last_served: Option<ids::ServiceId>,
    next_serial: u64,
}

impl<R> Queue<R> {
    /// An empty queue.
    #[must_use]
    pub const fn new(settings: settings::QueueSettings) -> Self {
        Self {
            settings,
            lanes: collections::BTreeMap::new(),
            last_served: None,
            next_serial: 0,
        }
    }

    /// Adds a request; returns who is given up for it, which may be itself.
    pub fn push(
        &mut self,
        now: time::TimeMs,
        waiting: queued_request::QueuedRequest<R>,
    ) -> Vec<rejected::Rejected<R>> {
        let serial = self.next_serial;
        self.next_serial += 1;
        let service = waiting.service.clone();
        let lane = self
            .lanes
            .entry(service.clone())
            .or_insert_with(lane::Lane::new);
        lane.rate.note_waiting(now);
        lane.push(
            serial,
            lane::Entry {
                waiting,
                since: now,
            },
        );
        let mut given_up = self.expire(now);
        given_up.extend(self.shed(now, &service));
        given_up
    }

    /// Takes the next request of a service that has a free slot.
    pub fn pop(
        &mut self,
        now: time::TimeMs,
        has_slot: impl Fn(&ids::ServiceId) -> bool,
    ) -> Option<R> {
        let service = self.next_service(has_slot)?;
        let lane = self.lanes.get_mut(&service)?;
        let entry = lane.pop_first()?;
        lane.rate.note_departure(now);
        if lane.len() == 0 {
            lane.rate.note_empty();
        }
        self.last_served = Some(service);
        Some(entry.waiting.request)
    }

    /// Gives up the requests that have waited too long or would not finish in time.
    pub fn expire(&mut self, now: time::TimeMs) -> Vec<rejected::Rejected<R>> {
        let max_wait = time::SpanMs::new(self.settings.max_wait_ms);
        let min_run = time::SpanMs::new(self.settings.min_run_ms);
        let is_short = |entry: &lane::Entry<R>| entry.waiting.deadline.time_left(now) < min_run;
        let mut given_up = Vec::new();
        for lane in self.lanes.values_mut() {
            let over = lane.take_where(|entry| is_short(entry) || entry.since + max_wait <= now);
            for entry in over {
                let reason = if is_short(&entry) {
                    refusal::RefusalReason::DeadlineTooShort
                } else {
                    refusal::RefusalReason::QueueTimeout
                };
                given_up.push(rejected::Rejected {
                    request: entry.waiting.request,
                    reason,
                    retry_after: retry_after(&self.settings, lane, reason, now),
                });
            }
            if lane.len() == 0 {
                lane.rate.note_empty();
            }
        }
        given_up
    }

    /// Takes out the requests that need no answer from here any more.
    pub fn remove_where(&mut self, is_over: impl Fn(&R) -> bool) {
        for lane in self.lanes.values_mut() {
            lane.take_where(|entry| is_over(&entry.waiting.request));
            if lane.len() == 0 {
                lane.rate.note_empty();
            }
        }
    }

    /// How many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.values().map(lane::Lane::len).sum()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Gives up at once what can't drain within the longest wait, so that nobody waits for nothing.
    fn shed(
        &mut self,
        now: time::TimeMs,
        service: &ids::ServiceId,
    ) -> Option<rejected::Rejected<R>> {
        let lane = self.lanes.get_mut(service)?;
        let is_full = lane.len() > self.settings.max_waiting;
        let drains_in = lane.rate.time_for(now, lane.len());
        let is_hopeless =
            drains_in.is_some_and(|time| time > time::SpanMs::new(self.settings.max_wait_ms));
        if !is_full && !is_hopeless {
            return None;
        }
        let entry = lane.pop_last()?;
        let reason = if is_full {
            refusal::RefusalReason::QueueFull
        } else {
            refusal::RefusalReason::Overloaded
        };
        Some(rejected::Rejected {
            request: entry.waiting.request,
            reason,
            retry_after: retry_after(&self.settings, lane, reason, now),
        })
    }

    /// The first service after the one served last: a flood for one must not starve the others.
    fn next_service(&self, has_slot: impl Fn(&ids::ServiceId) -> bool) -> Option<ids::ServiceId> {
        let is_ready = |service: &&ids::ServiceId| {
            self.lanes.get(*service).is_some_and(|lane| lane.len() > 0) && has_slot(service)
        };
        let is_later = |service: &&ids::ServiceId| Some(*service) > self.last_served.as_ref();
        let mut ready = self.lanes.keys().filter(is_ready);
        let first = ready.clone().next();
        ready.find(is_later).or(first).cloned()
    }
}

fn retry_after<R>(
    settings: &settings::QueueSettings,
    lane: &lane::Lane<R>,
    reason: refusal::RefusalReason,
    now: time::TimeMs,
) -> time::SpanMs {
    let waiting = lane.len() + 1;
    let drains_in = lane.rate.time_for(now, waiting).map(time::SpanMs::get);
    let wanted_ms = drains_in.unwrap_or_else(|| reason.default_retry_after().get());
    let longest_ms = settings.max_retry_after_ms.max(settings.min_retry_after_ms);
    time::SpanMs::new(wanted_ms.clamp(settings.min_retry_after_ms, longest_ms))
}
