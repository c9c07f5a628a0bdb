//! The comparison and its findings.
//!
//! ```
//! use damaskvane_bench::checker;
//!
//! assert_eq!(checker::Verdict::default().ran_twice.len(), 0);
//! ```

use core::fmt;
use std::collections::{HashMap, HashSet};

use damaskvane_standins::backend;
use serde::Serialize;

use crate::client::{Given, Outcome, Try};

/// The most findings of one kind that are printed.
const PRINTED: usize = 5;

/// What the comparison found. Every list is empty when the promises held.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// How many executions were compared.
    pub executions: usize,
    /// How many answers were compared.
    pub answers: usize,
    /// How many answers said *not run*, in all tries.
    pub not_run_claims: usize,
    /// Keys that ran more than once.
    pub ran_twice: Vec<String>,
    /// Tries and keys that ran though their answer said *not run*.
    pub false_not_run: Vec<String>,
    /// Requests whose whole answer was another's, cut or changed.
    pub wrong_answers: Vec<String>,
    /// Completed requests that no backend server ran.
    pub never_ran: Vec<String>,
}

impl Verdict {
    /// Whether nothing was found.
    #[must_use]
    pub const fn holds(&self) -> bool {
        self.ran_twice.is_empty()
            && self.false_not_run.is_empty()
            && self.wrong_answers.is_empty()
            && self.never_ran.is_empty()
    }
}

/// When each key and each try ran.
#[derive(Debug, Default)]
struct Runs<'a> {
    by_key: HashMap<&'a str, Vec<u64>>,
    tries: HashSet<&'a str>,
}

impl<'a> Runs<'a> {
    fn of(executions: &'a [backend::Execution]) -> Self {
        let mut runs = Self::default();
        for execution in executions {
            runs.tries.insert(&execution.request_id);
            if !execution.idempotency_key.is_empty() {
                let starts = runs.by_key.entry(&execution.idempotency_key).or_default();
                starts.push(execution.started_unix_ms);
            }
        }
        runs
    }

    /// Whether the key had started when an answer was given, or ever where that answer is final.
    fn key_ran(&self, key: &str, before_unix_ms: u64) -> bool {
        let starts = self.by_key.get(key);
        starts.is_some_and(|starts| starts.iter().any(|start| *start < before_unix_ms))
    }

    fn completed_ran(&self, one: &Given) -> bool {
        self.by_key.contains_key(one.idempotency_key.as_str())
            || one
                .tries
                .iter()
                .any(|own| self.tries.contains(own.request_id.as_str()))
    }
}

/// Compares executions with answers.
#[must_use]
pub fn check(executions: &[backend::Execution], given: &[Given]) -> Verdict {
    let runs = Runs::of(executions);
    let mut verdict = Verdict {
        executions: executions.len(),
        answers: given.len(),
        ..Verdict::default()
    };
    let twice = runs.by_key.iter().filter(|(_, starts)| starts.len() > 1);
    verdict.ran_twice = twice
        .map(|(key, starts)| format!("{key} ran {} times", starts.len()))
        .collect();
    verdict.ran_twice.sort();
    for one in given {
        for own in &one.tries {
            check_claim(&runs, one, own, &mut verdict);
        }
        check_end(&runs, one, &mut verdict);
    }
    verdict
}

fn check_claim(runs: &Runs<'_>, one: &Given, own: &Try, verdict: &mut Verdict) {
    if own.outcome != Outcome::NotRun {
        return;
    }
    verdict.not_run_claims += 1;
    let key = &one.idempotency_key;
    let ran = runs.tries.contains(own.request_id.as_str())
        || (!key.is_empty() && !is_unsent(own) && runs.key_ran(key, own.answered_unix_ms));
    if ran {
        let text = format!("try {} by {}: {}", own.request_id, own.instance, own.reason);
        verdict.false_not_run.push(text);
    }
}

fn check_end(runs: &Runs<'_>, one: &Given, verdict: &mut Verdict) {
    if let Some(fault) = one.fault {
        verdict
            .wrong_answers
            .push(format!("{}: {fault:?}", one.name));
    }
    let key = &one.idempotency_key;
    let later = one.outcome == Outcome::NotRun && !key.is_empty() && runs.key_ran(key, u64::MAX);
    if later {
        verdict
            .false_not_run
            .push(format!("request {}: {}", one.name, one.reason));
    }
    if one.outcome == Outcome::Completed && one.status == 200 && !runs.completed_ran(one) {
        verdict.never_ran.push(one.name.clone());
    }
}

/// Whether the client itself knows that it sent nothing: that says nothing about earlier tries.
fn is_unsent(own: &Try) -> bool {
    matches!(
        own.reason.as_str(),
        "no-lookup" | "connect-refused" | "bad-request"
    )
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "compared {} executions with {} answers, {} of whose tries said not-run",
            self.executions, self.answers, self.not_run_claims
        )?;
        let lists = [
            ("ran twice", &self.ran_twice),
            ("false not-run", &self.false_not_run),
            ("wrong answers", &self.wrong_answers),
            ("completed but never ran", &self.never_ran),
        ];
        for (title, list) in lists {
            writeln!(f, "{title}: {}", list.len())?;
            for finding in list.iter().take(PRINTED) {
                writeln!(f, "  {finding}")?;
            }
        }
        Ok(())
    }
}
