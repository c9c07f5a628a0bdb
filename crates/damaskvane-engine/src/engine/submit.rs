//! The arrival of a request: its idempotency key is looked up, then the request is queued, joined to a running
//! attempt, forwarded or answered.
//!
//! The home of a key is the instance that alone may dispatch the key, that is, send its request to a server.
//!
//! ```text
//! keyed request -> key table -> dispatch here | join a running attempt | replay | forward to its home
//! ```

use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{admission, deadline, exchange, home, refusal};

use crate::engine::Engine;
use crate::engine::pending::{LocalId, Origin, Pending, Stage};
use crate::event::RequestNumber;
use crate::{directory, message};

impl Engine {
    pub(super) fn submit(
        &mut self,
        now: time::TimeMs,
        origin: Origin,
        request: message::ServiceRequest,
        hops: u32,
    ) {
        let service = self.directory.services.get(&request.service);
        let longest = service.map_or(request.time_left, |service| service.request_timeout);
        let deadline = deadline::Deadline::after(now, request.time_left.min(longest));
        let request = Arc::new(request);
        let Some(idempotency) = &request.idempotency else {
            let received = exchange::Received::repeatable(request.request_id.clone(), deadline);
            self.enqueue(now, origin, request, received);
            return;
        };
        let attempt = home::Attempt {
            key: idempotency.key.clone(),
            home: idempotency.home.clone(),
            fingerprint: request.fingerprint(),
            try_number: idempotency.try_number,
            time_left: deadline.time_left(now),
        };
        match self.keys.begin(now, &attempt) {
            home::BeginDecision::Dispatch(permit) => {
                let received =
                    exchange::Received::keyed(request.request_id.clone(), deadline, permit);
                self.enqueue(now, origin, request, received);
            }
            home::BeginDecision::Join(waiter) => {
                let scope = home::Scope::new(attempt.home.instance, attempt.key);
                let stage = Stage::Joined { scope, waiter };
                let id = self.insert(origin, request, deadline, stage);
                self.waiters.insert(waiter, id);
            }
            home::BeginDecision::Answer(outcome) => self.respond(Some(origin), outcome),
            home::BeginDecision::Forward(home) => {
                self.forward(now, origin, request, deadline, home, hops);
            }
        }
    }

    fn enqueue(
        &mut self,
        now: time::TimeMs,
        origin: Origin,
        request: Arc<message::ServiceRequest>,
        received: exchange::Received,
    ) {
        if let Some((reason, retry_after)) = self.admission_refusal(&request.service, now) {
            self.count_refused(&request.service);
            let answered = received.refuse_with_retry_after(reason, retry_after);
            self.finish(now, Some(origin), answered);
            return;
        }
        if let Some(policy) = self.retries.get_mut(&request.service) {
            policy.record_first_try();
        }
        let deadline = received.deadline();
        let service = request.service.clone();
        let priority = request.priority;
        let id = self.insert(origin, request, deadline, Stage::Queued(received));
        let rejected = self.queue.push(
            now,
            admission::QueuedRequest {
                request: id,
                service,
                priority,
                deadline,
            },
        );
        self.abandon_rejected(now, rejected);
    }

    pub(super) fn count_refused(&mut self, service: &ids::ServiceId) {
        let load = self.load.services.entry(service.clone()).or_default();
        load.refused += 1;
    }

    /// Returns why a new request of a service is refused before it is queued, and the time until a retry; `None`
    /// if it may be queued.
    fn admission_refusal(
        &self,
        service: &ids::ServiceId,
        now: time::TimeMs,
    ) -> Option<(refusal::RefusalReason, time::SpanMs)> {
        let refused = |reason: refusal::RefusalReason| Some((reason, reason.default_retry_after()));
        if self.directory.version == ids::ConfigVersion::default() {
            return refused(refusal::RefusalReason::NoConfiguration);
        }
        let Some(settings) = self.directory.services.get(service) else {
            return refused(refusal::RefusalReason::ServiceUnknown);
        };
        if self.shutdown_state.takes_no_requests() {
            return refused(refusal::RefusalReason::InstanceLeaving);
        }
        if self.servers.candidate_count(now, service, &[]) == 0 {
            return refused(refusal::RefusalReason::NoBackendServer);
        }
        let waiting = self.waiting_count(service);
        if waiting >= settings.queue_limit as usize {
            let retry_after = self.queue_drain_time(now, service, settings, waiting);
            return Some((refusal::RefusalReason::QueueFull, retry_after));
        }
        None
    }

    fn waiting_count(&self, service: &ids::ServiceId) -> usize {
        self.requests
            .values()
            .filter(|pending| pending.request.service == *service && pending.stage.is_waiting())
            .count()
    }

    /// Returns the estimated time until the `waiting` requests of a service are served, from the slots of its
    /// backend servers and its typical duration.
    fn queue_drain_time(
        &self,
        now: time::TimeMs,
        service: &ids::ServiceId,
        settings: &directory::Service,
        waiting: usize,
    ) -> time::SpanMs {
        let slots = u64::from(self.servers.capacity(now, service).get());
        let rounds = (waiting as u64).div_ceil(slots.max(1));
        time::SpanMs::new(rounds * settings.typical_duration.get())
    }

    pub(super) fn insert(
        &mut self,
        origin: Origin,
        request: Arc<message::ServiceRequest>,
        deadline: deadline::Deadline,
        stage: Stage,
    ) -> LocalId {
        let id = LocalId(self.next_id());
        if let Origin::Client(number) = origin {
            self.clients.insert(number, id);
        }
        self.requests.insert(
            id,
            Pending {
                origin: Some(origin),
                fingerprint: request.fingerprint(),
                request,
                deadline,
                stage,
            },
        );
        id
    }

    pub(super) fn handle_client_disconnect(&mut self, now: time::TimeMs, number: RequestNumber) {
        let Some(id) = self.clients.remove(&number) else {
            return;
        };
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.origin = None;
        match &pending.stage {
            // The slot stays in use until the exchange ends, because only then the backend server is known to
            // be free for another request. A non-repeatable request continues, so that its next attempt gets
            // the outcome.
            Stage::Running(exchange) => {
                let exchange = *exchange;
                if pending.request.is_repeatable() {
                    self.cancel(exchange);
                }
            }
            Stage::Queued(_) | Stage::Requeued(_) | Stage::Backoff { .. } => {
                self.abandon(now, id, refusal::RefusalReason::ClientGone);
            }
            Stage::Joined { scope, waiter } => {
                self.keys.remove_waiter(scope, *waiter);
                self.waiters.remove(waiter);
                self.requests.remove(&id);
            }
            Stage::Forwarded { .. } => {
                self.requests.remove(&id);
            }
        }
    }
}
