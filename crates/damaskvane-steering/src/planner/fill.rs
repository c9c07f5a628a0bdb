//! Fills destinations with the demand of the sources, nearest first and level by level.

use std::collections::BTreeMap;

use damaskvane_core::ids;

use crate::planner::Inputs;
use crate::planner::capacity::Capacity;
use crate::planner::demand::Demand;
use crate::planner::links::Budgets;
use crate::{input, plan, rate, staleness};

/// The height of a level of use above the policy's knee, in thousandths.
const LEVEL_PERMILLE: u32 = 50;

/// How often a level is gone through for what a first division left over.
const ROUNDS: usize = 2;

const DISTANCES: [input::Distance; 3] = [
    input::Distance::SameZone,
    input::Distance::SameRegion,
    input::Distance::Elsewhere,
];

/// Flows from sources to destinations.
#[derive(Debug, Default)]
pub(super) struct Flows<'a> {
    pub(super) flows:
        BTreeMap<(&'a ids::AvailabilityZoneId, &'a ids::AvailabilityZoneId), rate::Rate>,
}

struct Fill<'a, 'b> {
    inputs: &'b Inputs<'a>,
    links: &'b mut Budgets,
    capacity: &'b Capacity<'a>,
    remaining: Demand<'a>,
    used: Demand<'a>,
    /// What the clients of a source may still send from their caches, less what is planned again.
    cached: BTreeMap<(&'a ids::AvailabilityZoneId, &'a ids::AvailabilityZoneId), rate::Rate>,
    /// By how much the flow to a destination may still rise above what caches may send.
    rise: Demand<'a>,
    flows: Flows<'a>,
}

/// Works out the flows of one service and charges the links for them.
pub(super) fn fill<'a>(
    inputs: &Inputs<'a>,
    links: &mut Budgets,
    capacity: &Capacity<'a>,
    demand: &Demand<'a>,
) -> Flows<'a> {
    let mut fill = Fill::new(inputs, links, capacity, demand);
    let (first, rest) = fair_parts(demand, capacity.usable_sum());
    fill.remaining = first;
    fill.all_levels();
    // Links, steps or static shares can leave capacity that the even part could not use.
    for (zone, rate) in rest {
        *fill.remaining.entry(zone).or_default() += rate;
    }
    fill.all_levels();
    fill.flows
}

/// Splits demand into a part that all capacity can carry, the same for every source, and the rest.
///
/// Near clients would otherwise keep everything in a shortage and far ones lose everything.
fn fair_parts<'a>(demand: &Demand<'a>, usable: rate::Rate) -> (Demand<'a>, Demand<'a>) {
    let offered: rate::Rate = demand.values().copied().sum();
    let fits = usable.min(offered);
    let part = |rate: rate::Rate| rate.scaled(fits.milli(), offered.milli());
    let first: Demand<'_> = demand
        .iter()
        .map(|(zone, rate)| (*zone, part(*rate)))
        .collect();
    let rest = demand.iter();
    let rest = rest
        .map(|(zone, rate)| (*zone, rate.saturating_sub(part(*rate))))
        .collect();
    (first, rest)
}

impl<'a, 'b> Fill<'a, 'b> {
    fn new(
        inputs: &'b Inputs<'a>,
        links: &'b mut Budgets,
        capacity: &'b Capacity<'a>,
        demand: &Demand<'a>,
    ) -> Self {
        let mut fill = Self {
            inputs,
            links,
            capacity,
            remaining: Demand::new(),
            used: Demand::new(),
            cached: BTreeMap::new(),
            rise: Demand::new(),
            flows: Flows::default(),
        };
        for destination in &inputs.zones {
            let cached = fill.note_cached(destination, demand);
            let rise = fill.rise_limit(destination, cached);
            fill.rise.insert(destination, rise);
        }
        fill
    }

    fn note_cached(
        &mut self,
        destination: &'a ids::AvailabilityZoneId,
        demand: &Demand<'a>,
    ) -> rate::Rate {
        let Some(previous) = self.inputs.previous else {
            return rate::Rate::ZERO;
        };
        let mut sum = rate::Rate::ZERO;
        for (source, demand) in demand {
            let cached = demand.ppm(previous.cached_ppm(source, destination));
            self.cached.insert((source, destination), cached);
            sum += cached;
        }
        sum
    }

    fn rise_limit(&self, destination: &ids::AvailabilityZoneId, cached: rate::Rate) -> rate::Rate {
        let limit = self.capacity.limit(destination);
        let free = limit.usable.saturating_sub(cached);
        if !self
            .inputs
            .previous
            .is_some_and(plan::ServicePlan::has_history)
        {
            return free;
        }
        let settings = self.inputs.settings;
        let step_permille = match limit.decision {
            // Numbers that are old may hide an overload; what they allowed once is kept, no more.
            staleness::Decision::Hold | staleness::Decision::Exclude => 0,
            _ if self.capacity.any_excluded() => settings.rescue_step_permille,
            _ => settings.step_permille,
        };
        free.min(limit.capacity.permille(step_permille))
    }

    fn all_levels(&mut self) {
        let mut level_permille = self.inputs.settings.policy.knee_permille();
        loop {
            for distance in DISTANCES {
                self.one_distance(level_permille.min(1_000), distance);
            }
            if level_permille >= 1_000 {
                break;
            }
            level_permille += LEVEL_PERMILLE;
        }
    }

    fn one_distance(&mut self, level_permille: u32, distance: input::Distance) {
        for _ in 0..ROUNDS {
            let zones = self.inputs.zones.clone();
            let wishes = self.wishes(level_permille, distance);
            for destination in zones {
                self.serve(level_permille, destination, &wishes);
            }
        }
    }

    /// Divides what remains of each source over the destinations at a distance, by their room.
    fn wishes(&self, level_permille: u32, distance: input::Distance) -> Flows<'a> {
        let mut wishes = Flows::default();
        for source in &self.inputs.zones {
            let remaining = self.remaining.get(source).copied().unwrap_or_default();
            if remaining == rate::Rate::ZERO {
                continue;
            }
            let zones = self.inputs.zones.iter();
            let near = zones.filter(|zone| self.inputs.topology.distance(source, zone) == distance);
            let room = near.map(|zone| (*zone, self.room(level_permille, source, zone)));
            let room: Vec<_> = room.filter(|(_, room)| *room > rate::Rate::ZERO).collect();
            let sum: rate::Rate = room.iter().map(|(_, room)| *room).sum();
            for (zone, room) in room {
                let wish = remaining.min(sum).scaled(room.milli(), sum.milli());
                wishes.flows.insert((source, zone), wish);
            }
        }
        wishes
    }

    /// Gives the sources that wish for a destination an equal part of their wishes.
    fn serve(
        &mut self,
        level_permille: u32,
        destination: &'a ids::AvailabilityZoneId,
        wishes: &Flows<'a>,
    ) {
        let wishes = wishes
            .flows
            .iter()
            .filter(|((_, to), _)| *to == destination);
        let wishes: Vec<_> = wishes.map(|((from, _), wish)| (*from, *wish)).collect();
        let wished: rate::Rate = wishes.iter().map(|(_, wish)| *wish).sum();
        let room = self.level_room(level_permille, destination);
        for (source, wish) in wishes {
            let part = wish.scaled(room.min(wished).milli(), wished.milli());
            let flow = part.min(self.room(level_permille, source, destination));
            self.add(source, destination, flow);
        }
    }

    fn level_room(&self, level_permille: u32, destination: &ids::AvailabilityZoneId) -> rate::Rate {
        let usable = self.capacity.limit(destination).usable;
        let used = self.used.get(destination).copied().unwrap_or_default();
        usable.permille(level_permille).saturating_sub(used)
    }

    fn room(
        &self,
        level_permille: u32,
        source: &'a ids::AvailabilityZoneId,
        destination: &'a ids::AvailabilityZoneId,
    ) -> rate::Rate {
        let cached = self
            .cached
            .get(&(source, destination))
            .copied()
            .unwrap_or_default();
        let rise = self.rise.get(destination).copied().unwrap_or_default();
        let room = self
            .level_room(level_permille, destination)
            .min(cached + rise);
        let room = room.min(self.static_room(source, destination));
        let topology = self.inputs.topology;
        let link = self
            .links
            .room(topology, self.inputs.service, source, destination);
        link.map_or(room, |link| room.min(link))
    }

    /// What a zone without a report may get from one source: its own clients all but the static
    /// share, every other source its part of the static share.
    fn static_room(
        &self,
        source: &'a ids::AvailabilityZoneId,
        destination: &'a ids::AvailabilityZoneId,
    ) -> rate::Rate {
        let limit = self.capacity.limit(destination);
        if limit.decision != staleness::Decision::StaticShare {
            return rate::Rate::from_milli(u64::MAX);
        }
        let service = self.inputs.service;
        let others = self.inputs.zones.len() - 1;
        let allowed = if source == destination {
            let reserved = limit.capacity.permille(service.static_share_permille);
            limit.capacity.saturating_sub(reserved)
        } else {
            service.static_share(destination, others)
        };
        let planned = self.flows.flows.get(&(source, destination)).copied();
        allowed.saturating_sub(planned.unwrap_or_default())
    }

    fn add(
        &mut self,
        source: &'a ids::AvailabilityZoneId,
        destination: &'a ids::AvailabilityZoneId,
        flow: rate::Rate,
    ) {
        if flow == rate::Rate::ZERO {
            return;
        }
        let pair = (source, destination);
        *self.flows.flows.entry(pair).or_default() += flow;
        *self.used.entry(destination).or_default() += flow;
        let cached = self.cached.entry(pair).or_default();
        let rises_by = flow.saturating_sub(*cached);
        *cached = cached.saturating_sub(flow);
        let rise = self.rise.entry(destination).or_default();
        *rise = rise.saturating_sub(rises_by);
        let remaining = self.remaining.entry(source).or_default();
        *remaining = remaining.saturating_sub(flow);
        self.links
            .charge(self.inputs.topology, self.inputs.service, pair, flow);
    }
}

impl Flows<'_> {
    /// Turns flows into shares of each source's demand.
    pub(super) fn into_sources(
        self,
        inputs: &Inputs<'_>,
        demand: &Demand<'_>,
    ) -> BTreeMap<ids::AvailabilityZoneId, plan::SourcePlan> {
        let mut sources = BTreeMap::new();
        for (source, demand) in demand {
            let flows = self.flows.iter().filter(|((from, _), _)| from == source);
            let shares = flows.map(|((_, to), flow)| plan::Share {
                zone: (*to).clone(),
                share_ppm: flow.share_of(*demand),
            });
            let mut shares: Vec<_> = shares.filter(|share| share.share_ppm > 0).collect();
            shares.sort_by_key(|share| inputs.topology.latency_ms(source, &share.zone));
            let planned = plan::SourcePlan {
                demand: *demand,
                shares,
                retry_after: inputs.settings.retry_after,
            };
            sources.insert((*source).clone(), planned);
        }
        sources
    }
}
