//! Check that no destination zone is assigned more than its capacity.

use crate::planner::capacity::Capacity;
use crate::planner::flows::Flows;
use crate::planner::inputs::Inputs;
use crate::rate;

/// Clears all flows to each destination whose usable capacity is exceeded, and returns the number
/// of such destinations.
///
/// The algorithm that assigns flows stays within capacity by construction. If a later change of the
/// code breaks this, all instances together would send a zone more than it can carry, and that zone
/// would refuse requests while others have free capacity. Release builds clear the flows and count
/// the violation; debug builds panic.
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
        debug_assert!(within_capacity, "planned flow {sum} exceeds {limit:?}");
        debug_assert!(
            within_cached,
            "flow {worst} including cached lookup results exceeds {limit:?}"
        );
        if !within_capacity || !within_cached {
            broken += 1;
            for source in 0..inputs.zone_count() {
                *planned.flows.at_mut(source, destination) = rate::Rate::ZERO;
            }
        }
    }
    broken
}
