//! Asserts that no destination is promised more than its capacity.

use crate::planner::capacity::Capacity;
use crate::planner::flows::Flows;
use crate::planner::inputs::Inputs;
use crate::rate;

/// Cuts every promise that breaks the capacity of its destination and counts the cuts.
///
/// The filling keeps within capacity by construction. Should a later change break that, a zone would
/// be sent more than it can carry by all instances at once, which shows as refusals in a zone while
/// others are free. The promise is cut instead, counted, and a run under test aborts.
pub(super) fn enforce(
    inputs: &Inputs<'_>,
    capacity: &Capacity,
    cached: &Flows,
    planned: &mut Flows,
) -> u32 {
    let mut broken = 0;
    for (destination, limit) in capacity.limits.iter().enumerate() {
        let sum = planned.sum_to(destination);
        let rise = planned.rise_to(destination, cached);
        let worst = cached.sum_to(destination) + rise;
        let within_capacity = sum <= limit.usable;
        let within_cached = rise == rate::Rate::ZERO || worst <= limit.usable;
        debug_assert!(within_capacity, "{sum} promised over {limit:?}");
        debug_assert!(within_cached, "{worst} with cached answers over {limit:?}");
        if !within_capacity || !within_cached {
            broken += 1;
            for source in 0..inputs.zone_count() {
                *planned.flows.at_mut(source, destination) = rate::Rate::ZERO;
            }
        }
    }
    broken
}
