//! Checks over a whole state, before submission and again before adoption.

mod blocks;
mod capacity;
mod ranges;
mod references;

use crate::problem::Problem;
use crate::state::config_state::ConfigState;

/// Every problem of a state; with `same_blocks`, its client blocks were compared before.
pub(super) fn validate(state: &ConfigState, same_blocks: bool) -> Vec<Problem> {
    let mut problems = references::check(state);
    problems.extend(ranges::check(state));
    // Sums over objects that don't exist would only repeat what was found already.
    if problems.is_empty() {
        problems.extend(capacity::check(state));
        if !same_blocks {
            problems.extend(blocks::check(state));
        }
    }
    problems
}
