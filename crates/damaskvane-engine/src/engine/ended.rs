//! An exchange ended: the request is answered or tried again.
//!
//! ```text
//! answered whole -> final answer
//! failed -> another backend server, if that is safe, within the budget and before the deadline
//! ```

use std::sync::Arc;

use damaskvane_core::time;
use damaskvane_dispatch::{exchange, retry};

use crate::engine::Engine;
use crate::engine::pending::{LocalId, Stage};
use crate::event::{Action, ExchangeEnd, ExchangeNumber};

impl Engine {
    pub(super) fn ended(&mut self, now: time::TimeMs, exchange: ExchangeNumber, end: ExchangeEnd) {
        let Some(flight) = self.flights.remove(&exchange) else {
            return;
        };
        self.note_end(now, &flight, &end);
        let took = now.since(flight.sent.sent_at());
        self.servers
            .ended(now, &flight.service, flight.taken, took, &end);
        if !matches!(end, ExchangeEnd::Answered(_) | ExchangeEnd::Refused) {
            self.load
                .services
                .entry(flight.service.clone())
                .or_default()
                .errors += 1;
        }
        let progress = match end {
            // The exchange compared the answer's request id with the request's own; a mismatch comes
            // here as Crossed, a wrong length as Cut.
            ExchangeEnd::Answered(answer) => {
                let length = answer.body.len() as u64;
                flight.sent.answered(exchange::BackendResponse {
                    request: flight.request_id,
                    declared_bytes: length,
                    received_bytes: length,
                    response: Arc::new(answer),
                })
            }
            ExchangeEnd::Refused => flight.sent.failed(retry::RetryReason::BackendRefused),
            ExchangeEnd::NotSent => flight.sent.failed(retry::RetryReason::ConnectFailed),
            ExchangeEnd::Lost => flight.sent.failed(retry::RetryReason::ConnectionLost),
            ExchangeEnd::Timeout => flight.sent.failed(retry::RetryReason::SilentConnection),
            ExchangeEnd::TruncatedResponse => flight.sent.failed(retry::RetryReason::AnswerCut),
            ExchangeEnd::MismatchedResponse => {
                flight.sent.failed(retry::RetryReason::AnswerCrossed)
            }
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
        let untried = self.servers.count(now, &service, admitted.tried());
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
                self.finish(now, origin, admitted.refuse(stop.refusal_reason()));
            }
        }
    }
}
