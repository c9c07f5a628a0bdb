//! The end of an exchange: the request gets its final response or is retried.
//!
//! ```text
//! complete response -> final response
//! failed -> another backend server, if that is safe, within the budget and before the deadline
//! ```

use std::sync::Arc;

use damaskvane_core::time;
use damaskvane_dispatch::{exchange, retry};

use crate::engine::Engine;
use crate::engine::pending::{LocalId, Stage};
use crate::event::{Action, ExchangeEnd, ExchangeNumber};

impl Engine {
    pub(super) fn handle_exchange_end(
        &mut self,
        now: time::TimeMs,
        exchange: ExchangeNumber,
        end: ExchangeEnd,
    ) {
        let Some(active) = self.active_exchanges.remove(&exchange) else {
            return;
        };
        self.record_evidence(now, &active, &end);
        let took = now.since(active.sent.sent_at());
        self.servers
            .record_end(now, &active.service, active.slot_permit, took, &end);
        if !matches!(end, ExchangeEnd::Answered(_) | ExchangeEnd::Refused) {
            self.load
                .services
                .entry(active.service.clone())
                .or_default()
                .errors += 1;
        }
        let progress = match end {
            // The driver, which does the I/O, has compared the request id and the length of the response; it
            // reports a wrong id as `MismatchedResponse` and a wrong length as `TruncatedResponse`.
            ExchangeEnd::Answered(response) => {
                let length = response.body.len() as u64;
                active.sent.answered(exchange::BackendResponse {
                    request: active.request_id,
                    declared_bytes: length,
                    received_bytes: length,
                    response: Arc::new(response),
                })
            }
            ExchangeEnd::Refused => active.sent.failed(retry::RetryReason::BackendRefused),
            ExchangeEnd::NotSent => active.sent.failed(retry::RetryReason::ConnectFailed),
            ExchangeEnd::Lost => active.sent.failed(retry::RetryReason::ConnectionLost),
            ExchangeEnd::Timeout => active.sent.failed(retry::RetryReason::SilentConnection),
            ExchangeEnd::TruncatedResponse => active.sent.failed(retry::RetryReason::AnswerCut),
            ExchangeEnd::MismatchedResponse => {
                active.sent.failed(retry::RetryReason::AnswerCrossed)
            }
        };
        match progress {
            exchange::Progress::Answered(answered) => {
                let origin = self
                    .requests
                    .remove(&active.id)
                    .and_then(|pending| pending.origin);
                self.finish(now, origin, answered);
            }
            exchange::Progress::Retry { reason, admitted } => {
                self.retry(now, active.id, reason, admitted);
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
        let untried = self
            .servers
            .candidate_count(now, &service, admitted.tried());
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
