//! Byte budgets of the links between regions.

use std::collections::BTreeMap;

use damaskvane_core::ids;

use crate::{input, rate};

const BITS_PER_BYTE: u64 = 8;
const BITS_PER_MEGABIT: u64 = 1_000_000;

type Direction = (ids::RegionId, ids::RegionId);

/// What is left of every link's budget in each direction, in bits a second.
///
/// All services share the links, so one set of budgets is passed through the whole plan. Both
/// directions are charged with the whole request and answer: the declared size does not say how
/// it divides.
pub(super) struct Budgets {
    left_bits: BTreeMap<Direction, u64>,
}

impl Budgets {
    pub(super) fn new(topology: &input::Topology) -> Self {
        let mut left_bits = BTreeMap::new();
        for ((left, right), budget) in &topology.links {
            let bits = u64::from(budget.get()) * BITS_PER_MEGABIT;
            left_bits.insert((left.clone(), right.clone()), bits);
        }
        Self { left_bits }
    }

    /// The flow that still fits between two zones; none where the link has no limit.
    pub(super) fn room(
        &self,
        topology: &input::Topology,
        service: &input::Service,
        source: &ids::AvailabilityZoneId,
        destination: &ids::AvailabilityZoneId,
    ) -> Option<rate::Rate> {
        let link = link_of(topology, source, destination)?;
        let left_bits = self.left_bits.get(&link)?;
        Some(rate::Rate::per_second(*left_bits).scaled(1, bits(service)))
    }

    /// Charges a flow between two zones.
    pub(super) fn charge(
        &mut self,
        topology: &input::Topology,
        service: &input::Service,
        pair: (&ids::AvailabilityZoneId, &ids::AvailabilityZoneId),
        flow: rate::Rate,
    ) {
        let Some(link) = link_of(topology, pair.0, pair.1) else {
            return;
        };
        if let Some(left_bits) = self.left_bits.get_mut(&link) {
            let used = flow.scaled(bits(service), 1_000).milli();
            *left_bits = left_bits.saturating_sub(used.saturating_add(1));
        }
    }
}

fn bits(service: &input::Service) -> u64 {
    (u64::from(service.typical_bytes) * BITS_PER_BYTE).max(1)
}

fn link_of(
    topology: &input::Topology,
    source: &ids::AvailabilityZoneId,
    destination: &ids::AvailabilityZoneId,
) -> Option<Direction> {
    let from = topology.zones.get(source)?;
    let to = topology.zones.get(destination)?;
    (from != to).then(|| (from.min(to).clone(), from.max(to).clone()))
}
