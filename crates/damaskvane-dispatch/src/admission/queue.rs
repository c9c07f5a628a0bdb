//! The admission queue of an entry instance, with one queue per service.
//!
//! A slot is the right to run one request on a backend server.
//!
//! ```
//! use damaskvane_dispatch::admission;
//!
//! let queue: admission::Queue<u32> = admission::Queue::new(admission::QueueSettings::default());
//! assert!(queue.is_empty());
//! ```

use std::collections;

use damaskvane_core::{ids, time};

use crate::admission::{queued_request, rejected, service_queue, settings};
use crate::refusal;

/// Queued requests of all services; the services are served in turn.
#[derive(Debug)]
pub struct Queue<R> {
    settings: settings::QueueSettings,
    service_queues: collections::BTreeMap<ids::ServiceId, service_queue::ServiceQueue<R>>,
    last_served: Option<ids::ServiceId>,
    next_serial: u64,
}

impl<R> Queue<R> {
    /// Returns an empty queue.
    #[must_use]
    pub const fn new(settings: settings::QueueSettings) -> Self {
        Self {
            settings,
            service_queues: collections::BTreeMap::new(),
            last_served: None,
            next_serial: 0,
        }
    }

    /// Adds a request and returns the requests rejected as a result, which may include the new one.
    pub fn push(
        &mut self,
        now: time::TimeMs,
        request: queued_request::QueuedRequest<R>,
    ) -> Vec<rejected::Rejected<R>> {
        let serial = self.next_serial;
        self.next_serial += 1;
        let service = request.service.clone();
        let service_queue = self
            .service_queues
            .entry(service.clone())
            .or_insert_with(service_queue::ServiceQueue::new);
        service_queue.rate.record_waiting(now);
        service_queue.push(
            serial,
            service_queue::Entry {
                queued: request,
                since: now,
            },
        );
        let mut rejected = self.expire(now);
        rejected.extend(self.shed(now, &service));
        rejected
    }

    /// Removes and returns the next request of a service for which `has_slot` returns `true`.
    pub fn pop(
        &mut self,
        now: time::TimeMs,
        has_slot: impl Fn(&ids::ServiceId) -> bool,
    ) -> Option<R> {
        let service = self.next_service(has_slot)?;
        let service_queue = self.service_queues.get_mut(&service)?;
        let entry = service_queue.pop_first()?;
        service_queue.rate.record_departure(now);
        if service_queue.len() == 0 {
            service_queue.rate.reset();
        }
        self.last_served = Some(service);
        Some(entry.queued.request)
    }

    /// Rejects the requests that have waited too long, or whose deadline leaves too little time to run.
    pub fn expire(&mut self, now: time::TimeMs) -> Vec<rejected::Rejected<R>> {
        let max_wait = time::SpanMs::new(self.settings.max_wait_ms);
        let min_run = time::SpanMs::new(self.settings.min_run_ms);
        let has_short_deadline =
            |entry: &service_queue::Entry<R>| entry.queued.deadline.time_left(now) < min_run;
        let mut rejected = Vec::new();
        for service_queue in self.service_queues.values_mut() {
            let removed = service_queue
                .remove_where(|entry| has_short_deadline(entry) || entry.since + max_wait <= now);
            for entry in removed {
                let reason = if has_short_deadline(&entry) {
                    refusal::RefusalReason::DeadlineTooShort
                } else {
                    refusal::RefusalReason::QueueTimeout
                };
                rejected.push(rejected::Rejected {
                    request: entry.queued.request,
                    reason,
                    retry_after: retry_after(&self.settings, service_queue, reason, now),
                });
            }
            if service_queue.len() == 0 {
                service_queue.rate.reset();
            }
        }
        rejected
    }

    /// Removes the requests for which `predicate` holds, for instance because they were answered.
    pub fn remove_where(&mut self, predicate: impl Fn(&R) -> bool) {
        for service_queue in self.service_queues.values_mut() {
            service_queue.remove_where(|entry| predicate(&entry.queued.request));
            if service_queue.len() == 0 {
                service_queue.rate.reset();
            }
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.service_queues
            .values()
            .map(service_queue::ServiceQueue::len)
            .sum()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Rejects one request if the service's queue is full, or takes longer to drain than `max_wait_ms`.
    ///
    /// The request would time out in the queue otherwise, and its client would wait in vain.
    fn shed(
        &mut self,
        now: time::TimeMs,
        service: &ids::ServiceId,
    ) -> Option<rejected::Rejected<R>> {
        let service_queue = self.service_queues.get_mut(service)?;
        let is_full = service_queue.len() > self.settings.max_waiting;
        let drains_in = service_queue.rate.time_to_drain(now, service_queue.len());
        let exceeds_max_wait =
            drains_in.is_some_and(|time| time > time::SpanMs::new(self.settings.max_wait_ms));
        if !is_full && !exceeds_max_wait {
            return None;
        }
        let entry = service_queue.pop_last()?;
        let reason = if is_full {
            refusal::RefusalReason::QueueFull
        } else {
            refusal::RefusalReason::Overloaded
        };
        Some(rejected::Rejected {
            request: entry.queued.request,
            reason,
            retry_after: retry_after(&self.settings, service_queue, reason, now),
        })
    }

    /// Returns the next service in turn that has a queued request and a free slot.
    ///
    /// The turns prevent a flood of requests for one service from starving the other services.
    fn next_service(&self, has_slot: impl Fn(&ids::ServiceId) -> bool) -> Option<ids::ServiceId> {
        let is_ready = |service: &&ids::ServiceId| {
            self.service_queues
                .get(*service)
                .is_some_and(|service_queue| service_queue.len() > 0)
                && has_slot(service)
        };
        let is_later = |service: &&ids::ServiceId| Some(*service) > self.last_served.as_ref();
        let mut ready = self.service_queues.keys().filter(is_ready);
        let first = ready.clone().next();
        ready.find(is_later).or(first).cloned()
    }
}

fn retry_after<R>(
    settings: &settings::QueueSettings,
    service_queue: &service_queue::ServiceQueue<R>,
    reason: refusal::RefusalReason,
    now: time::TimeMs,
) -> time::SpanMs {
    let waiting = service_queue.len() + 1;
    let drains_in = service_queue
        .rate
        .time_to_drain(now, waiting)
        .map(time::SpanMs::get);
    let estimated_ms = drains_in.unwrap_or_else(|| reason.default_retry_after().get());
    let max_ms = settings.max_retry_after_ms.max(settings.min_retry_after_ms);
    time::SpanMs::new(estimated_ms.clamp(settings.min_retry_after_ms, max_ms))
}
