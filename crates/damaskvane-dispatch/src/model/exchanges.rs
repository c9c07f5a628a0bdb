//! Exchanges with backend servers, and the ways in which they fail.

use damaskvane_core::time;
use rand::RngExt;

use crate::model::run::{TIME_LEFT_MS, name, request_of};
use crate::model::{event, run};
use crate::{deadline, exchange, home, refusal, retry};

const BACKEND_SERVERS: usize = 4;

/// A request at a backend server.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) at: usize,
    pub(super) trial: event::Try,
    /// Gone if the instance was killed: the backend server runs the request all the same.
    pub(super) sent: Option<exchange::Sent>,
}

impl run::Run {
    pub(super) fn dispatch(&mut self, at: usize, trial: event::Try, permit: home::DispatchPermit) {
        let time_left = time::SpanMs::new(TIME_LEFT_MS);
        let deadline = deadline::Deadline::after(self.now, time_left);
        let received = exchange::Received::keyed(request_of(trial), deadline, permit);
        if self.is_chosen(80) {
            let refused = received.refuse(refusal::RefusalReason::QueueFull);
            self.finish(at, trial, refused);
            return;
        }
        self.retries.record_first_try();
        self.send_to_backend(at, trial, received.admit());
    }

    pub(super) fn send_to_backend(
        &mut self,
        at: usize,
        trial: event::Try,
        admitted: exchange::Admitted,
    ) {
        let server = admitted.tried().len();
        let sent = admitted.send(self.now, name(format!("desk-{server}")));
        let flight = self.next_flight;
        self.next_flight += 1;
        let state = Flight {
            at,
            trial,
            sent: Some(sent),
        };
        self.flights.insert(flight, state);
        let in_ms = self.rng.random_range(1..30);
        self.schedule(in_ms, event::Event::Run { flight });
    }

    pub(super) fn run_at_backend(&mut self, flight: u64) {
        let trial = self.flights[&flight].trial;
        let permille = self.settings.backend_fault_permille;
        let before = [
            retry::RetryReason::BackendRefused,
            retry::RetryReason::ConnectFailed,
            retry::RetryReason::ConnectionLost,
        ];
        for failure in before {
            if self.is_chosen(permille) {
                self.end_exchange(flight, Some(failure));
                return;
            }
        }
        self.checker.note_run(trial);
        let after = [
            retry::RetryReason::ConnectionLost,
            retry::RetryReason::SilentConnection,
            retry::RetryReason::AnswerCut,
            retry::RetryReason::AnswerCrossed,
        ];
        for failure in after {
            if self.is_chosen(permille) {
                self.end_exchange(flight, Some(failure));
                return;
            }
        }
        self.end_exchange(flight, None);
    }

    pub(super) fn end_exchange(&mut self, flight: u64, failure: Option<retry::RetryReason>) {
        let is_much_too_late = self.is_chosen(30);
        let longest_ms = if is_much_too_late { 15_000 } else { 200 };
        let in_ms = self.rng.random_range(1..longest_ms);
        self.schedule(in_ms, event::Event::Back { flight, failure });
    }

    pub(super) fn back(&mut self, flight: u64, failure: Option<retry::RetryReason>) {
        let at = self.flights[&flight].at;
        if let Some(in_ms) = self.pause_left(at) {
            self.schedule(in_ms, event::Event::Back { flight, failure });
            return;
        }
        let Some(Flight {
            trial,
            sent: Some(sent),
            ..
        }) = self.flights.remove(&flight)
        else {
            return;
        };
        let whole = exchange::BackendResponse {
            request: request_of(trial),
            declared_bytes: 8,
            received_bytes: 8,
            response: trial.client,
        };
        // Crossed and cut answers carry somebody else's content; only the life cycle can tell.
        let crossed = exchange::BackendResponse {
            request: name("somebody-else".into()),
            response: u64::MAX,
            ..whole
        };
        let progress = match failure {
            None => sent.answered(exchange::BackendResponse {
                request: request_of(trial),
                response: trial.client,
                ..crossed
            }),
            Some(retry::RetryReason::AnswerCrossed) => sent.answered(crossed),
            Some(retry::RetryReason::AnswerCut) => sent.answered(exchange::BackendResponse {
                request: request_of(trial),
                received_bytes: 3,
                ..crossed
            }),
            Some(failure) => sent.failed(failure),
        };
        match progress {
            exchange::Progress::Answered(answered) => self.finish(at, trial, answered),
            exchange::Progress::Retry { admitted, .. } => self.retry(at, trial, admitted),
        }
    }

    pub(super) fn retry(&mut self, at: usize, trial: event::Try, admitted: exchange::Admitted) {
        let untried = BACKEND_SERVERS.saturating_sub(admitted.tried().len());
        let decision = self
            .retries
            .decide(self.now, &admitted, untried, &mut self.rng);
        match decision {
            retry::RetryDecision::Retry { .. } => self.send_to_backend(at, trial, admitted),
            retry::RetryDecision::Stop(stop) => {
                let refused = admitted.refuse(stop.refusal());
                self.finish(at, trial, refused);
            }
        }
    }
}
