//! Bandwidth budgets of the links between regions.

use crate::planner::inputs::Geometry;
use crate::planner::matrix::Matrix;
use crate::{input, rate};

const BITS_PER_BYTE: u64 = 8;
const BITS_PER_MEGABIT: u64 = 1_000_000;

/// Remaining budget of every link, in bits per second; `None` for a link without a limit.
///
/// All services share the links, so one set of budgets is used for the whole plan. A link has its
/// budget in each direction. A request uses one direction and its response the other, but the
/// declared size covers both together. The whole size is therefore subtracted from the budget of
/// the pair of regions, whichever region sends.
pub(super) struct Budgets {
    remaining_bits: Matrix<Option<u64>>,
}

impl Budgets {
    pub(super) fn new(geometry: &Geometry<'_>) -> Self {
        let mut remaining_bits = Matrix::new(geometry.region_ids.len());
        for ((left, right), budget) in &geometry.topology.links {
            let left = geometry.region_ids.binary_search(&left);
            let right = geometry.region_ids.binary_search(&right);
            if let (Ok(left), Ok(right)) = (left, right) {
                let bits = u64::from(budget.get()) * BITS_PER_MEGABIT;
                *remaining_bits.at_mut(left.min(right), left.max(right)) = Some(bits);
            }
        }
        Self { remaining_bits }
    }

    /// Returns the flow that still fits between two zones, or `None` where the link has no limit.
    pub(super) fn available(
        &self,
        geometry: &Geometry<'_>,
        service: &input::Service,
        source: usize,
        destination: usize,
    ) -> Option<rate::Rate> {
        let (left, right) = link_of(geometry, source, destination)?;
        let remaining_bits = self.remaining_bits.at(left, right)?;
        Some(rate::Rate::per_second(remaining_bits).scaled(1, bits(service)))
    }

    /// Subtracts a flow between two zones from the budget of their link.
    pub(super) fn charge(
        &mut self,
        geometry: &Geometry<'_>,
        service: &input::Service,
        (source, destination): (usize, usize),
        flow: rate::Rate,
    ) {
        let Some((left, right)) = link_of(geometry, source, destination) else {
            return;
        };
        if let Some(remaining_bits) = self.remaining_bits.at_mut(left, right) {
            let used = flow.scaled(bits(service), 1_000).milli();
            *remaining_bits = remaining_bits.saturating_sub(used.saturating_add(1));
        }
    }
}

fn bits(service: &input::Service) -> u64 {
    (u64::from(service.typical_bytes) * BITS_PER_BYTE).max(1)
}

fn link_of(geometry: &Geometry<'_>, source: usize, destination: usize) -> Option<(usize, usize)> {
    let (from, to) = (geometry.regions[source], geometry.regions[destination]);
    (from != to).then(|| (from.min(to), from.max(to)))
}
