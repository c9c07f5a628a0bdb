//! Operators that submit drafts, each one after the other.

use damaskvane_config::manifest::Head;
use damaskvane_config::submit::{Call, Outcome, Step, StoreResponse, Submission};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::config_run::draft;

/// The next action of an operator.
#[derive(Debug)]
pub(super) enum OperatorAction {
    /// Call the store.
    Call(Call),
    /// Wait for a number of milliseconds.
    Wait(u64),
    /// Report the outcome of the submission with this write id.
    Ended(String, Outcome),
}

/// An operator with at most one submission in progress.
#[derive(Debug)]
pub(super) struct Operator {
    index: usize,
    serial: u64,
    submission: Option<(String, Submission)>,
}

impl Operator {
    pub(super) const fn new(index: usize) -> Self {
        Self {
            index,
            serial: 0,
            submission: None,
        }
    }

    pub(super) const fn is_idle(&self) -> bool {
        self.submission.is_none()
    }

    pub(super) fn handle_response(&mut self, call: &Call, response: StoreResponse) {
        if let Some((_, submission)) = &mut self.submission {
            submission.handle_response(call, response);
        }
    }

    /// Returns the next action; starts a new draft against `head` if no submission is in progress.
    pub(super) fn next_action(&mut self, rng: &mut Pcg64Mcg, head: &Head) -> OperatorAction {
        let Some((write_id, submission)) = &mut self.submission else {
            self.serial += 1;
            let draft = draft::draft(rng, head, self.index, self.serial);
            self.submission = Some((draft.write_id.clone(), Submission::new(draft)));
            // The wait lets other operators submit first, so that drafts conflict.
            return OperatorAction::Wait(rng.random_range(0..400));
        };
        match submission.next_step() {
            Step::Call(call) => OperatorAction::Call(call),
            Step::Pause => OperatorAction::Wait(rng.random_range(50..500)),
            Step::Done(outcome) => {
                let write_id = write_id.clone();
                self.submission = None;
                OperatorAction::Ended(write_id, outcome)
            }
        }
    }
}
