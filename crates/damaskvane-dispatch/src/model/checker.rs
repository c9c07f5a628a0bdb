//! Compares the requests that backend servers ran with the answers to clients.

use std::collections;

use crate::home;
use crate::model::event;
use crate::outcome;

/// The execution log of all backend servers, and the answers *not run* that clients were sent.
#[derive(Debug, Default)]
pub(super) struct Checker {
    /// For each client whose request ran, whether it ran with the other body. A client sends that body by fault
    /// on some attempts, under the same key.
    runs: collections::BTreeMap<u64, bool>,
    /// For each client and body, the highest number of an attempt that was answered with *not run*.
    max_not_run_try: collections::BTreeMap<(u64, bool), u32>,
    pub(super) violations: Vec<String>,
}

impl Checker {
    /// Records that a backend server runs a client's request, dispatched for one of the client's attempts.
    pub(super) fn record_run(&mut self, client_try: event::ClientTry) {
        let event::ClientTry { client, number, .. } = client_try;
        if self
            .runs
            .insert(client, client_try.has_other_body)
            .is_some()
        {
            self.violations.push(format!("request {client} ran twice"));
        }
        let is_numbered = number != home::Attempt::UNNUMBERED;
        let max_try = self
            .max_not_run_try
            .get(&(client, client_try.has_other_body));
        if is_numbered && max_try.is_some_and(|max_try| number <= *max_try) {
            let text = format!("request {client} ran for try {number} after not run");
            self.violations.push(text);
        }
    }

    /// Records the home's answer to an attempt, and checks the answer against the execution log.
    pub(super) fn record_answer(
        &mut self,
        client_try: event::ClientTry,
        outcome: &outcome::Outcome<u64>,
    ) {
        let ran = self.runs.get(&client_try.client) == Some(&client_try.has_other_body);
        let is_correct = match outcome {
            // A backend server responds with the number of the request's client.
            outcome::Outcome::Completed(answer) => ran && *answer == client_try.client,
            outcome::Outcome::NotRun(_) => !ran,
            outcome::Outcome::Unknown(_) => true,
        };
        if !is_correct {
            let text = format!("false answer to {client_try:?}: {outcome:?}");
            self.violations.push(text);
        }
        if matches!(outcome, outcome::Outcome::NotRun(_)) {
            let request = (client_try.client, client_try.has_other_body);
            let max_try = self.max_not_run_try.entry(request).or_default();
            *max_try = (*max_try).max(client_try.number);
        }
    }

    pub(super) fn runs(&self) -> u64 {
        self.runs.len() as u64
    }
}
