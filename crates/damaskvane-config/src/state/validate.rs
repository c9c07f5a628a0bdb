//! Validates a complete state, before submission and again before an instance applies it.

mod blocks;
mod capacity;
mod ranges;
mod references;

use crate::problem::Problem;
use crate::state::config_state::ConfigState;

/// Returns all problems of a state; client blocks are not checked again if they are unchanged.
pub(super) fn validate(state: &ConfigState, blocks_unchanged: bool) -> Vec<Problem> {
    let mut problems = references::check(state);
    problems.extend(ranges::check(state));
    // Capacity checks over objects that don't exist would only repeat the problems found so far.
    if problems.is_empty() {
        problems.extend(capacity::check(state));
        if !blocks_unchanged {
            problems.extend(blocks::check(state));
        }
    }
    problems
}
