//! Fills destinations with the demand of the sources, nearest first and level by level.

use crate::planner::capacity::Capacity;
use crate::planner::demand::Demand;
use crate::planner::flows::Flows;
use crate::planner::inputs::Inputs;
use crate::planner::links::Budgets;
use crate::{input, plan, rate, staleness};

/// The height of a level of use above the policy's knee, in thousandths.
const LEVEL_PERMILLE: u32 = 50;

/// The highest level: all that is usable.
const LEVEL_LIMIT_PERMILLE: u32 = 1_000;

/// How often a level is gone through for what a first division left over.
const ROUNDS: usize = 2;

/// What a source keeps in one step of what it has beyond the even part while others lack theirs.
const KEPT_SURPLUS_PERMILLE: u32 = 800;

const UNLIMITED: rate::Rate = rate::Rate::from_milli(u64::MAX);

const DISTANCES: [input::Distance; 3] = [
    input::Distance::SameZone,
    input::Distance::SameRegion,
    input::Distance::Elsewhere,
];

struct Fill<'a> {
    inputs: &'a Inputs<'a>,
    links: &'a mut Budgets,
    capacity: &'a Capacity,
    remaining: Demand,
    used: Vec<rate::Rate>,
    /// What the clients of a source may still send from their caches, less what is planned again.
    cached: Flows,
    /// By how much the flow to a destination may still rise above what caches may send.
    rise: Vec<rate::Rate>,
    planned: Flows,
}

/// Works out the flows of one service and charges the links for them.
pub(super) fn fill(
    inputs: &Inputs<'_>,
    links: &mut Budgets,
    capacity: &Capacity,
    demand: &Demand,
    cached: &Flows,
) -> Flows {
    let (first, rest) = fair_parts(demand, capacity.usable_sum());
    let rise = |destination| rise_limit(inputs, capacity, cached.sum_to(destination), destination);
    let mut fill = Fill {
        inputs,
        links,
        capacity,
        remaining: first,
        used: vec![rate::Rate::ZERO; inputs.zone_count()],
        cached: cached.clone(),
        rise: (0..inputs.zone_count()).map(rise).collect(),
        planned: Flows::none(inputs),
    };
    fill.movements();
    fill.all_levels();
    let rest = fill.beyond_fair_part(rest);
    for (remaining, rest) in fill.remaining.iter_mut().zip(rest) {
        *remaining += rest;
    }
    fill.all_levels();
    fill.planned
}

/// Splits demand into a part that all capacity can carry, the same for every source, and the rest.
///
/// Near clients would otherwise keep everything in a shortage and far ones lose everything.
fn fair_parts(demand: &Demand, usable: rate::Rate) -> (Demand, Demand) {
    let offered: rate::Rate = demand.iter().copied().sum();
    let fits = usable.min(offered);
    let part = |rate: &rate::Rate| rate.scaled(fits.milli(), offered.milli());
    let first: Demand = demand.iter().map(part).collect();
    let rest = demand.iter().zip(&first);
    let rest = rest
        .map(|(rate, first)| rate.saturating_sub(*first))
        .collect();
    (first, rest)
}

fn rise_limit(
    inputs: &Inputs<'_>,
    capacity: &Capacity,
    cached: rate::Rate,
    destination: usize,
) -> rate::Rate {
    let limit = capacity.limits[destination];
    let free = limit.usable.saturating_sub(cached);
    if !inputs.previous.is_some_and(plan::ServicePlan::has_history) {
        return free;
    }
    let step_permille = match limit.decision {
        // Numbers that are old may hide an overload; what they allowed once is kept, no more.
        staleness::Decision::Hold | staleness::Decision::Exclude => 0,
        _ if capacity.any_excluded() => inputs.settings.failover_step_permille,
        _ => inputs.settings.step_permille,
    };
    free.min(limit.capacity.permille(step_permille))
}

impl Fill<'_> {
    /// What the sources may have beyond the part that is the same for all.
    ///
    /// Links, steps or static shares can leave capacity that the even part could not use. But while
    /// some source has not got its even part, those that have more give it up step by step: the room
    /// would otherwise go back to them each time, since only their clients are in the caches.
    fn beyond_fair_part(&self, rest: Demand) -> Demand {
        if self
            .remaining
            .iter()
            .all(|remaining| *remaining == rate::Rate::ZERO)
        {
            return rest;
        }
        let kept = |(source, rest): (usize, rate::Rate)| {
            let planned = self.planned.flows.from(source).iter().copied().sum();
            let surplus = self.previous_flow(source).saturating_sub(planned);
            rest.min(surplus.permille(KEPT_SURPLUS_PERMILLE))
        };
        rest.into_iter().enumerate().map(kept).collect()
    }

    fn previous_flow(&self, source: usize) -> rate::Rate {
        let previous = self.inputs.previous;
        let zone = self.inputs.geometry.zones[source];
        let planned = previous.and_then(|plan| plan.sources.get(zone));
        planned.map_or(rate::Rate::ZERO, |planned| {
            planned.demand.ppm(plan::WHOLE_PPM - planned.refused_ppm())
        })
    }

    /// Places the parts that tickets move, as far as their destinations have room.
    fn movements(&mut self) {
        let inputs = self.inputs;
        let movements = inputs.geometry.topology.movements.iter();
        for movement in movements.filter(|movement| movement.service == *inputs.id) {
            let source = inputs.geometry.index(&movement.source);
            let destination = inputs.geometry.index(&movement.destination);
            if let (Some(source), Some(destination)) = (source, destination) {
                let wish = self.remaining[source].permille(movement.moved_permille);
                let room = self.room(LEVEL_LIMIT_PERMILLE, source, destination);
                self.add(source, destination, wish.min(room));
            }
        }
    }

    fn all_levels(&mut self) {
        let mut level_permille = self.inputs.settings.policy.knee_permille();
        while self
            .remaining
            .iter()
            .any(|remaining| *remaining > rate::Rate::ZERO)
        {
            for distance in DISTANCES {
                self.one_distance(level_permille.min(LEVEL_LIMIT_PERMILLE), distance);
            }
            if level_permille >= LEVEL_LIMIT_PERMILLE {
                break;
            }
            level_permille += LEVEL_PERMILLE;
        }
    }

    fn one_distance(&mut self, level_permille: u32, distance: input::Distance) {
        for _ in 0..ROUNDS {
            let wishes = self.wishes(level_permille, distance);
            for destination in 0..self.inputs.zone_count() {
                self.serve(level_permille, destination, &wishes);
            }
        }
    }

    /// Divides what remains of each source over the destinations at a distance, by their room.
    fn wishes(&self, level_permille: u32, distance: input::Distance) -> Flows {
        let mut wishes = Flows::none(self.inputs);
        let zones = 0..self.inputs.zone_count();
        for (source, remaining) in self.remaining.iter().enumerate() {
            if *remaining == rate::Rate::ZERO {
                continue;
            }
            let geometry = self.inputs.geometry;
            let near = zones
                .clone()
                .filter(|zone| geometry.distance(source, *zone) == distance);
            let room = near.map(|zone| (zone, self.room(level_permille, source, zone)));
            let room: Vec<_> = room.filter(|(_, room)| *room > rate::Rate::ZERO).collect();
            let sum: rate::Rate = room.iter().map(|(_, room)| *room).sum();
            for (zone, room) in room {
                let wish = (*remaining).min(sum).scaled(room.milli(), sum.milli());
                *wishes.flows.at_mut(source, zone) = wish;
            }
        }
        wishes
    }

    /// Gives the sources that wish for a destination an equal part of their wishes.
    fn serve(&mut self, level_permille: u32, destination: usize, wishes: &Flows) {
        let wished = wishes.sum_to(destination);
        if wished == rate::Rate::ZERO {
            return;
        }
        let room = self.level_room(level_permille, destination).min(wished);
        for source in 0..self.inputs.zone_count() {
            let wish = wishes.flows.at(source, destination);
            let part = wish.scaled(room.milli(), wished.milli());
            let flow = part.min(self.room(level_permille, source, destination));
            self.add(source, destination, flow);
        }
    }

    fn level_room(&self, level_permille: u32, destination: usize) -> rate::Rate {
        let usable = self.capacity.limits[destination].usable;
        usable
            .permille(level_permille)
            .saturating_sub(self.used[destination])
    }

    fn room(&self, level_permille: u32, source: usize, destination: usize) -> rate::Rate {
        let room = self.level_room(level_permille, destination);
        if room == rate::Rate::ZERO {
            return room;
        }
        let cached = self.cached.flows.at(source, destination);
        let room = room.min(cached + self.rise[destination]);
        let room = room.min(self.unmeasured_room(source, destination));
        let inputs = self.inputs;
        let link = self
            .links
            .room(inputs.geometry, inputs.service, source, destination);
        link.map_or(room, |link| room.min(link))
    }

    /// What a zone may get from one source where its report is old or gone.
    fn unmeasured_room(&self, source: usize, destination: usize) -> rate::Rate {
        let allowed = match self.capacity.limits[destination].decision {
            staleness::Decision::Measured => return UNLIMITED,
            staleness::Decision::Exclude => rate::Rate::ZERO,
            staleness::Decision::Hold => self.held(source, destination),
            staleness::Decision::StaticShare => self.static_share(source, destination),
        };
        allowed.saturating_sub(self.planned.flows.at(source, destination))
    }

    /// The flow of the previous plan. The share alone would let the flow rise with the demand.
    fn held(&self, source: usize, destination: usize) -> rate::Rate {
        let zones = &self.inputs.geometry.zones;
        let previous = self.inputs.previous;
        let planned = previous.and_then(|plan| plan.sources.get(zones[source]));
        planned.map_or(rate::Rate::ZERO, |planned| planned.flow(zones[destination]))
    }

    /// Its own clients get all but the static share, every other source its part of that.
    fn static_share(&self, source: usize, destination: usize) -> rate::Rate {
        let capacity = self.capacity.limits[destination].capacity;
        let service = self.inputs.service;
        if source == destination {
            return capacity.saturating_sub(capacity.permille(service.static_share_permille));
        }
        let zone = self.inputs.geometry.zones[destination];
        service.static_share(zone, self.inputs.zone_count() - 1)
    }

    fn add(&mut self, source: usize, destination: usize, flow: rate::Rate) {
        if flow == rate::Rate::ZERO {
            return;
        }
        let cached = self.cached.flows.at_mut(source, destination);
        let rises_by = flow.saturating_sub(*cached);
        *cached = cached.saturating_sub(flow);
        *self.planned.flows.at_mut(source, destination) += flow;
        self.used[destination] += flow;
        self.rise[destination] = self.rise[destination].saturating_sub(rises_by);
        self.remaining[source] = self.remaining[source].saturating_sub(flow);
        let inputs = self.inputs;
        self.links
            .charge(inputs.geometry, inputs.service, (source, destination), flow);
    }
}
