//! Exchanges with backend servers (a request and its response), and their failures.

use damaskvane_core::time;
use rand::RngExt;

use crate::model::run::{REQUEST_TIMEOUT_MS, name, request_of};
use crate::model::{event, run};
use crate::{deadline, exchange, home, refusal, retry};

const BACKEND_SERVERS: usize = 4;

/// A request that was sent to a backend server.
#[derive(Debug)]
pub(super) struct BackendExchange {
    pub(super) at: usize,
    pub(super) client_try: event::ClientTry,
    /// Absent if the instance was killed; the backend server runs the request all the same.
    pub(super) sent: Option<exchange::Sent>,
}

impl run::Run {
    pub(super) fn dispatch(
        &mut self,
        at: usize,
        client_try: event::ClientTry,
        permit: home::DispatchPermit,
    ) {
        let time_left = time::SpanMs::new(REQUEST_TIMEOUT_MS);
        let deadline = deadline::Deadline::after(self.now, time_left);
        let received = exchange::Received::keyed(request_of(client_try), deadline, permit);
        if self.is_chosen(80) {
            let refused = received.refuse(refusal::RefusalReason::QueueFull);
            self.finish(at, client_try, refused);
            return;
        }
        self.retries.record_first_try();
        self.send_to_backend(at, client_try, received.admit());
    }

    pub(super) fn send_to_backend(
        &mut self,
        at: usize,
        client_try: event::ClientTry,
        admitted: exchange::Admitted,
    ) {
        let server = admitted.tried().len();
        let sent = admitted.send(self.now, name(format!("desk-{server}")));
        let id = self.next_exchange_id;
        self.next_exchange_id += 1;
        let state = BackendExchange {
            at,
            client_try,
            sent: Some(sent),
        };
        self.backend_exchanges.insert(id, state);
        let delay_ms = self.rng.random_range(1..30);
        self.schedule(delay_ms, event::Event::Run { id });
    }

    pub(super) fn run_at_backend(&mut self, id: u64) {
        let client_try = self.backend_exchanges[&id].client_try;
        let permille = self.settings.backend_fault_permille;
        let before = [
            retry::RetryReason::BackendRefused,
            retry::RetryReason::ConnectFailed,
            retry::RetryReason::ConnectionLost,
        ];
        for failure in before {
            if self.is_chosen(permille) {
                self.end_exchange(id, Some(failure));
                return;
            }
        }
        self.checker.record_run(client_try);
        let after = [
            retry::RetryReason::ConnectionLost,
            retry::RetryReason::SilentConnection,
            retry::RetryReason::AnswerCut,
            retry::RetryReason::AnswerCrossed,
        ];
        for failure in after {
            if self.is_chosen(permille) {
                self.end_exchange(id, Some(failure));
                return;
            }
        }
        self.end_exchange(id, None);
    }

    pub(super) fn end_exchange(&mut self, id: u64, failure: Option<retry::RetryReason>) {
        let is_delayed = self.is_chosen(30);
        let max_delay_ms = if is_delayed { 15_000 } else { 200 };
        let delay_ms = self.rng.random_range(1..max_delay_ms);
        self.schedule(delay_ms, event::Event::ExchangeEnd { id, failure });
    }

    pub(super) fn handle_exchange_end(&mut self, id: u64, failure: Option<retry::RetryReason>) {
        let at = self.backend_exchanges[&id].at;
        if let Some(delay_ms) = self.remaining_pause_ms(at) {
            self.schedule(delay_ms, event::Event::ExchangeEnd { id, failure });
            return;
        }
        let Some(BackendExchange {
            client_try,
            sent: Some(sent),
            ..
        }) = self.backend_exchanges.remove(&id)
        else {
            return;
        };
        let complete = exchange::BackendResponse {
            request: request_of(client_try),
            declared_bytes: 8,
            received_bytes: 8,
            response: client_try.client,
        };
        // Mismatched and truncated responses carry the content of another request; only the life cycle of the
        // exchange detects them.
        let mismatched = exchange::BackendResponse {
            request: name("other-request".into()),
            response: u64::MAX,
            ..complete
        };
        let progress = match failure {
            None => sent.answered(exchange::BackendResponse {
                request: request_of(client_try),
                response: client_try.client,
                ..mismatched
            }),
            Some(retry::RetryReason::AnswerCrossed) => sent.answered(mismatched),
            Some(retry::RetryReason::AnswerCut) => sent.answered(exchange::BackendResponse {
                request: request_of(client_try),
                received_bytes: 3,
                ..mismatched
            }),
            Some(failure) => sent.failed(failure),
        };
        match progress {
            exchange::Progress::Answered(answered) => self.finish(at, client_try, answered),
            exchange::Progress::Retry { admitted, .. } => self.retry(at, client_try, admitted),
        }
    }

    pub(super) fn retry(
        &mut self,
        at: usize,
        client_try: event::ClientTry,
        admitted: exchange::Admitted,
    ) {
        let untried = BACKEND_SERVERS.saturating_sub(admitted.tried().len());
        let decision = self
            .retries
            .decide(self.now, &admitted, untried, &mut self.rng);
        match decision {
            retry::RetryDecision::Retry { .. } => self.send_to_backend(at, client_try, admitted),
            retry::RetryDecision::Stop(stop) => {
                let refused = admitted.refuse(stop.refusal_reason());
                self.finish(at, client_try, refused);
            }
        }
    }
}
