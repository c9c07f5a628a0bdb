//! Operators who submit drafts one after the other.

use damaskvane_config::manifest::Head;
use damaskvane_config::submit::{Call, Outcome, Step, StoreResponse, Submission};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::config_run::draft;

/// What an operator does next.
#[derive(Debug)]
pub(super) enum Move {
    /// Make a call on the store.
    Call(Call),
    /// Wait so many milliseconds.
    Wait(u64),
    /// The submission with this write identity has ended.
    Ended(String, Outcome),
}

/// One operator.
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

    pub(super) fn answer(&mut self, call: &Call, answer: StoreResponse) {
        if let Some((_, submission)) = &mut self.submission {
            submission.handle_response(call, answer);
        }
    }

    /// The next move; starts a new draft against `head` where none is under way.
    pub(super) fn next(&mut self, rng: &mut Pcg64Mcg, head: &Head) -> Move {
        let Some((write_id, submission)) = &mut self.submission else {
            self.serial += 1;
            let draft = draft::draft(rng, head, self.index, self.serial);
            self.submission = Some((draft.write_id.clone(), Submission::new(draft)));
            // The draft waits while others submit theirs.
            return Move::Wait(rng.random_range(0..400));
        };
        match submission.next_step() {
            Step::Call(call) => Move::Call(call),
            Step::Pause => Move::Wait(rng.random_range(50..500)),
            Step::Done(outcome) => {
                let write_id = write_id.clone();
                self.submission = None;
                Move::Ended(write_id, outcome)
            }
        }
    }
}
