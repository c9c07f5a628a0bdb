//! Compares what ran with what was answered.

use std::collections;

use crate::home;
use crate::model::event;
use crate::outcome;

/// The execution log of all backend servers, and what clients were told.
#[derive(Debug, Default)]
pub(super) struct Checker {
    /// By client, which of its bodies ran.
    runs: collections::BTreeMap<u64, bool>,
    /// By client and body, the highest try that was answered with *not run*.
    not_run_through: collections::BTreeMap<(u64, bool), u32>,
    pub(super) violations: Vec<String>,
}

impl Checker {
    /// A backend server runs a client's request, dispatched for one of its tries.
    pub(super) fn note_run(&mut self, trial: event::Try) {
        let event::Try { client, number, .. } = trial;
        if self.runs.insert(client, trial.has_other_body).is_some() {
            self.violations.push(format!("request {client} ran twice"));
        }
        let is_numbered = number != home::Attempt::UNNUMBERED;
        let through = self.not_run_through.get(&(client, trial.has_other_body));
        if is_numbered && through.is_some_and(|through| number <= *through) {
            let text = format!("request {client} ran by try {number} after not run");
            self.violations.push(text);
        }
    }

    /// The home answers a try.
    pub(super) fn note_answer(&mut self, trial: event::Try, outcome: &outcome::Outcome<u64>) {
        let ran = self.runs.get(&trial.client) == Some(&trial.has_other_body);
        let is_true = match outcome {
            // Each request's answer is its own client's number.
            outcome::Outcome::Completed(answer) => ran && *answer == trial.client,
            outcome::Outcome::NotRun(_) => !ran,
            outcome::Outcome::Unknown(_) => true,
        };
        if !is_true {
            let text = format!("untrue answer to {trial:?}: {outcome:?}");
            self.violations.push(text);
        }
        if matches!(outcome, outcome::Outcome::NotRun(_)) {
            let request = (trial.client, trial.has_other_body);
            let through = self.not_run_through.entry(request).or_default();
            *through = (*through).max(trial.number);
        }
    }

    pub(super) fn runs(&self) -> u64 {
        self.runs.len() as u64
    }
}
