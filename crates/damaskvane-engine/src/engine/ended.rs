//! An exchange ended: the request is answered or tried again.
//!
//! ```text
//! answered whole -> final answer
//! failed -> another backend server, if that is safe, within the budget and before the deadline
//! ```

use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{exchange, retry};

use crate::engine::Engine;
use crate::engine::pending::{Flight, LocalId, Stage};
use crate::event::{Action, ExchangeEnd, ExchangeNumber};

impl Engine {
    pub(super) fn ended(&mut self, now: time::TimeMs, exchange: ExchangeNumber, end: ExchangeEnd) {
        let Some(flight) = self.flights.remove(&exchange) else {
            return;
        };
        self.free_slot(now, &flight, &end);
        let progress = match end {
            ExchangeEnd::Answered(answer) => {
                let length = answer.body.len() as u64;
                flight.sent.answered(exchange::BackendAnswer {
                    request: self.request_id(flight.id),
                    declared_bytes: length,
                    received_bytes: length,
                    answer: Arc::new(answer),
                })
            }
            ExchangeEnd::Refused => flight.sent.failed(retry::RetryReason::BackendRefused),
            ExchangeEnd::NotSent => flight.sent.failed(retry::RetryReason::ConnectFailed),
            ExchangeEnd::Lost => flight.sent.failed(retry::RetryReason::ConnectionLost),
            ExchangeEnd::Silent => flight.sent.failed(retry::RetryReason::SilentConnection),
            ExchangeEnd::Cut => flight.sent.failed(retry::RetryReason::AnswerCut),
            ExchangeEnd::Crossed => flight.sent.failed(retry::RetryReason::AnswerCrossed),
        };
        match progress {
            exchange::Progress::Answered(answered) => {
                let origin = self
                    .requests
                    .remove(&flight.id)
                    .and_then(|pending| pending.origin);
                self.finish(now, origin, answered);
            }
            exchange::Progress::Retry { reason, admitted } => {
                self.retry(now, flight.id, reason, admitted);
            }
        }
    }

    /// The answer's request id was compared with the request's own by the exchange; a mismatch comes
    /// here as [`ExchangeEnd::Crossed`].
    fn request_id(&self, id: LocalId) -> ids::RequestId {
        self.requests.get(&id).map_or_else(
            || "gone".parse().expect("a valid identifier"),
            |pending| pending.request.request_id.clone(),
        )
    }

    /// A slot is free again when the backend server is known to have finished. After a lost or silent
    /// connection it may still run the request, until the deadline that it was sent: one would see
    /// it run more than its slots if the slot were used again before.
    fn free_slot(&mut self, now: time::TimeMs, flight: &Flight, end: &ExchangeEnd) {
        let is_over = matches!(end, ExchangeEnd::Answered(_)) || end.proves_not_run();
        if is_over {
            self.slots.release(&flight.backend_server);
            return;
        }
        let until = self
            .requests
            .get(&flight.id)
            .map_or(now, |pending| now + pending.deadline.time_left(now));
        self.slots.linger(&flight.backend_server, until);
    }

    fn retry(
        &mut self,
        now: time::TimeMs,
        id: LocalId,
        reason: retry::RetryReason,
        admitted: exchange::Admitted,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let service = pending.request.service.clone();
        let has_client = pending.origin.is_some();
        let untried = self.untried(&service, &admitted);
        let decision = match self.retries.get_mut(&service) {
            Some(policy) if has_client => policy.decide(now, &admitted, untried, &mut self.rng),
            _ => retry::RetryDecision::Stop(retry::RetryStop::NoOtherServer),
        };
        match decision {
            retry::RetryDecision::Retry { after } => {
                self.actions.push(Action::CountRetry(reason));
                if let Some(pending) = self.requests.get_mut(&id) {
                    let until = now + after;
                    pending.stage = Stage::Backoff { admitted, until };
                }
            }
            retry::RetryDecision::Stop(stop) => {
                let origin = self.requests.remove(&id).and_then(|pending| pending.origin);
                self.finish(now, origin, admitted.refuse(stop.refusal()));
            }
        }
    }

    fn untried(&self, service: &ids::ServiceId, admitted: &exchange::Admitted) -> usize {
        self.directory
            .backend_servers
            .iter()
            .filter(|(_, server)| server.service == *service && !server.draining)
            .filter(|(id, _)| !admitted.tried().contains(id))
            .count()
    }
}
