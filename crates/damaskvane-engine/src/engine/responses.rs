//! Final responses to clients, to instances that forwarded a request, and to the waiters: attempts that joined
//! a running attempt with the same idempotency key.
//!
//! ```text
//! Answered -> key table (keyed requests) -> origin and waiters
//! ```

use std::sync::Arc;

use damaskvane_core::time;
use damaskvane_dispatch::{admission, exchange, home, outcome, refusal};

use crate::engine::Engine;
use crate::engine::pending::{LocalId, Origin, Stage};
use crate::event::Action;
use crate::{message, peer};

type Outcome = outcome::Outcome<Arc<message::BackendResponse>>;

impl Engine {
    /// Ends a request: records the outcome for its key, then responds to its origin (the client or the
    /// forwarding instance) and to all waiters.
    pub(super) fn finish(
        &mut self,
        now: time::TimeMs,
        origin: Option<Origin>,
        answered: exchange::Answered<Arc<message::BackendResponse>>,
    ) {
        let (permit, outcome) = answered.into_parts();
        match permit {
            Some(permit) => {
                let finish = self.keys.finish(now, permit, outcome);
                let outcome = finish.outcome.clone();
                self.respond_to_waiters(finish);
                self.respond(origin, outcome);
            }
            None => self.respond(origin, outcome),
        }
    }

    pub(super) fn respond_to_waiters(
        &mut self,
        finish: home::FinishedKey<Arc<message::BackendResponse>>,
    ) {
        for waiter in finish.waiters {
            let Some(id) = self.waiters.remove(&waiter) else {
                continue;
            };
            if let Some(pending) = self.requests.remove(&id) {
                self.respond(pending.origin, finish.outcome.clone());
            }
        }
    }

    pub(super) fn respond(&mut self, origin: Option<Origin>, outcome: Outcome) {
        if let Some(reason) = outcome.reason() {
            self.actions.push(Action::CountRefusal(reason));
        }
        match origin {
            None => {}
            Some(Origin::Client(number)) => {
                self.clients.remove(&number);
                self.actions.push(Action::Respond { number, outcome });
            }
            Some(Origin::Peer {
                forwarder,
                correlation,
                request_id,
            }) => {
                let to = forwarder.instance.clone();
                let response = peer::ForwardResponse {
                    forwarder,
                    correlation,
                    request_id,
                    outcome,
                };
                self.actions.push(Action::Send {
                    to,
                    message: Box::new(peer::PeerMessage::ForwardResponse(response)),
                });
            }
        }
    }

    /// Abandons the requests that the admission queue rejected.
    pub(super) fn abandon_rejected(
        &mut self,
        now: time::TimeMs,
        rejected: impl IntoIterator<Item = admission::Rejected<LocalId>>,
    ) {
        for rejected in rejected {
            self.abandon_with_retry_after(
                now,
                rejected.request,
                rejected.reason,
                rejected.retry_after,
            );
        }
    }

    /// Ends a request that this instance has not sent to a backend server at present, and responds at once to the
    /// request's origin: with a refusal for `reason`, or, if the request was forwarded or joined a running attempt,
    /// with an unknown outcome.
    pub(super) fn abandon(
        &mut self,
        now: time::TimeMs,
        id: LocalId,
        reason: refusal::RefusalReason,
    ) {
        self.abandon_with_retry_after(now, id, reason, reason.default_retry_after());
    }

    /// Abandons a request as [`Self::abandon`] does, with the time after which the client may retry.
    pub(super) fn abandon_with_retry_after(
        &mut self,
        now: time::TimeMs,
        id: LocalId,
        reason: refusal::RefusalReason,
        retry_after: time::SpanMs,
    ) {
        self.queue.remove_where(|queued| *queued == id);
        self.deferred.retain(|deferred| *deferred != id);
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        if is_capacity_refusal(reason) {
            self.count_refused(&pending.request.service);
        }
        match pending.stage {
            Stage::Queued(received) => {
                let answered = received.refuse_with_retry_after(reason, retry_after);
                self.finish(now, pending.origin, answered);
            }
            Stage::Requeued(admitted) | Stage::Backoff { admitted, .. } => {
                let answered = admitted.refuse_with_retry_after(reason, retry_after);
                self.finish(now, pending.origin, answered);
            }
            Stage::Forwarded { forwarded, .. } => {
                self.finish(now, pending.origin, forwarded.lost());
            }
            Stage::Joined { scope, waiter } => {
                self.keys.remove_waiter(&scope, waiter);
                self.waiters.remove(&waiter);
                let unknown = outcome::Outcome::unknown(refusal::RefusalReason::DeadlinePassed);
                self.respond(pending.origin, unknown);
            }
            Stage::Running(_) => {
                self.report_broken_invariant("a request at a backend server was given up");
            }
        }
    }
}

const fn is_capacity_refusal(reason: refusal::RefusalReason) -> bool {
    matches!(
        reason,
        refusal::RefusalReason::QueueTimeout
            | refusal::RefusalReason::QueueFull
            | refusal::RefusalReason::Overloaded
    )
}
