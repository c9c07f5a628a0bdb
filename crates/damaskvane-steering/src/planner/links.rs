//! Byte budgets of the links between regions.

use crate::planner::inputs::Geometry;
use crate::planner::matrix::Matrix;
use crate::{input, rate};

const BITS_PER_BYTE: u64 = 8;
const BITS_PER_MEGABIT: u64 = 1_000_000;

/// What is left of every link's budget, in bits a second.
///
/// All services share the links, so one set of budgets is passed through the whole plan. Each link
/// has its budget each way; a request goes one way and its answer the other, and the declared size
/// does not say how it divides. The whole is therefore charged to the pair, whichever region sends.
pub(super) struct Budgets {
    left_bits: Matrix<Option<u64>>,
}

impl Budgets {
    pub(super) fn new(geometry: &Geometry<'_>) -> Self {
        let mut left_bits = Matrix::new(geometry.region_ids.len());
        for ((left, right), budget) in &geometry.topology.links {
            let left = geometry.region_ids.binary_search(&left);
            let right = geometry.region_ids.binary_search(&right);
            if let (Ok(left), Ok(right)) = (left, right) {
                let bits = u64::from(budget.get()) * BITS_PER_MEGABIT;
                *left_bits.at_mut(left.min(right), left.max(right)) = Some(bits);
            }
        }
        Self { left_bits }
    }

    /// The flow that still fits between two zones; none where the link has no limit.
    pub(super) fn room(
        &self,
        geometry: &Geometry<'_>,
        service: &input::Service,
        source: usize,
        destination: usize,
    ) -> Option<rate::Rate> {
        let (left, right) = link_of(geometry, source, destination)?;
        let left_bits = self.left_bits.at(left, right)?;
        Some(rate::Rate::per_second(left_bits).scaled(1, bits(service)))
    }

    /// Charges a flow between two zones.
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
        if let Some(left_bits) = self.left_bits.at_mut(left, right) {
            let used = flow.scaled(bits(service), 1_000).milli();
            *left_bits = left_bits.saturating_sub(used.saturating_add(1));
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
