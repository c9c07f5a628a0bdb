//! Assignment of the source zones' demand to destination zones, nearest first and level by level.
//!
//! A level is an upper limit on the utilization (the used part of the usable capacity) of all
//! destinations. A step is the change from one plan to the next.

use crate::planner::capacity::Capacity;
use crate::planner::demand::Demand;
use crate::planner::flows::Flows;
use crate::planner::inputs::Inputs;
use crate::planner::links::Budgets;
use crate::{input, plan, rate, staleness};

/// Difference between consecutive utilization levels above the policy's knee, in thousandths.
const LEVEL_PERMILLE: u32 = 50;

/// Highest utilization level, in thousandths: the whole usable capacity.
const LEVEL_LIMIT_PERMILLE: u32 = 1_000;

/// Number of passes over each level and distance; the second pass assigns demand that the first
/// pass could not assign.
const ROUNDS_PER_LEVEL: usize = 2;

/// Part of a source's flow beyond its fair share that the source retains per step while other
/// sources get less than their fair shares, in thousandths.
const RETAINED_SURPLUS_PERMILLE: u32 = 800;

const UNLIMITED: rate::Rate = rate::Rate::from_milli(u64::MAX);

const DISTANCES: [input::Distance; 3] = [
    input::Distance::SameZone,
    input::Distance::SameRegion,
    input::Distance::OtherRegion,
];

struct Fill<'a> {
    inputs: &'a Inputs<'a>,
    links: &'a mut Budgets,
    capacity: &'a Capacity,
    remaining: Demand,
    used: Vec<rate::Rate>,
    /// Traffic that clients may still send because of cached lookup results, minus the part that
    /// the new plan has assigned to the same destination.
    cached: Flows,
    /// How much the flow to each destination may still rise above the cached traffic.
    rise: Vec<rate::Rate>,
    planned: Flows,
}

/// Computes the flows of one service and subtracts the flows from the budgets of the links.
pub(super) fn fill(
    inputs: &Inputs<'_>,
    links: &mut Budgets,
    capacity: &Capacity,
    demand: &Demand,
    cached: &Flows,
) -> Flows {
    let (first, rest) = fair_shares(demand, capacity.usable_sum());
    let rise = |destination| rise_limit(inputs, capacity, cached.sum_to(destination), destination);
    let mut fill = Fill {
        inputs,
        links,
        capacity,
        remaining: first,
        used: vec![rate::Rate::ZERO; inputs.zone_count()],
        cached: cached.clone(),
        rise: (0..inputs.zone_count()).map(rise).collect(),
        planned: Flows::zero(inputs),
    };
    fill.place_movements();
    fill.fill_levels();
    let rest = fill.demand_beyond_fair_share(rest);
    for (remaining, rest) in fill.remaining.iter_mut().zip(rest) {
        *remaining += rest;
    }
    fill.fill_levels();
    fill.planned
}

/// Splits the demand of each source into the fair share, which the total capacity can carry, and
/// the rest.
///
/// The fair share is the same part of the demand for every source.
///
/// Without fair shares, in a shortage, clients near a zone would keep all of its capacity and
/// distant clients would lose all of theirs.
fn fair_shares(demand: &Demand, usable: rate::Rate) -> (Demand, Demand) {
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
        // An old report may hide an overload: the flow that it allowed is kept but not raised.
        staleness::Decision::Hold | staleness::Decision::Exclude => 0,
        _ if capacity.any_excluded() => inputs.settings.failover_step_permille,
        _ => inputs.settings.step_permille,
    };
    free.min(limit.capacity.permille(step_permille))
}

impl Fill<'_> {
    /// Returns the demand beyond the fair share that each source may place.
    ///
    /// The limits of links, of the rise per step or of static shares can leave capacity that the
    /// fair shares could not use. While some source gets less than its fair share, the sources with
    /// more than theirs reduce the surplus step by step. Otherwise the free capacity would return
    /// to the same sources each time, since only their clients have cached lookup results.
    fn demand_beyond_fair_share(&self, rest: Demand) -> Demand {
        if self
            .remaining
            .iter()
            .all(|remaining| *remaining == rate::Rate::ZERO)
        {
            return rest;
        }
        let retained = |(source, rest): (usize, rate::Rate)| {
            let planned = self.planned.flows.from(source).iter().copied().sum();
            let surplus = self.previous_source_flow(source).saturating_sub(planned);
            rest.min(surplus.permille(RETAINED_SURPLUS_PERMILLE))
        };
        rest.into_iter().enumerate().map(retained).collect()
    }

    fn previous_source_flow(&self, source: usize) -> rate::Rate {
        let previous = self.inputs.previous;
        let zone = self.inputs.geometry.zones[source];
        let planned = previous.and_then(|plan| plan.sources.get(zone));
        planned.map_or(rate::Rate::ZERO, |planned| {
            planned.demand.ppm(plan::WHOLE_PPM - planned.refused_ppm())
        })
    }

    /// Assigns the demand that shift tickets (operators' orders to move traffic) move, limited by
    /// the capacity available at the destinations.
    fn place_movements(&mut self) {
        let inputs = self.inputs;
        let movements = inputs.geometry.topology.movements.iter();
        for movement in movements.filter(|movement| movement.service == *inputs.id) {
            let source = inputs.geometry.index(&movement.source);
            let destination = inputs.geometry.index(&movement.destination);
            if let (Some(source), Some(destination)) = (source, destination) {
                let request = self.remaining[source].permille(movement.moved_permille);
                let available = self.available(LEVEL_LIMIT_PERMILLE, source, destination);
                self.add(source, destination, request.min(available));
            }
        }
    }

    fn fill_levels(&mut self) {
        let mut level_permille = self.inputs.settings.policy.knee_permille();
        while self
            .remaining
            .iter()
            .any(|remaining| *remaining > rate::Rate::ZERO)
        {
            for distance in DISTANCES {
                self.fill_distance(level_permille.min(LEVEL_LIMIT_PERMILLE), distance);
            }
            if level_permille >= LEVEL_LIMIT_PERMILLE {
                break;
            }
            level_permille += LEVEL_PERMILLE;
        }
    }

    fn fill_distance(&mut self, level_permille: u32, distance: input::Distance) {
        for _ in 0..ROUNDS_PER_LEVEL {
            let requests = self.requests(level_permille, distance);
            for destination in 0..self.inputs.zone_count() {
                self.allocate(level_permille, destination, &requests);
            }
        }
    }

    /// Divides the remaining demand of each source among the destinations at one distance, in
    /// proportion to their available capacity.
    fn requests(&self, level_permille: u32, distance: input::Distance) -> Flows {
        let mut requests = Flows::zero(self.inputs);
        let zones = 0..self.inputs.zone_count();
        for (source, remaining) in self.remaining.iter().enumerate() {
            if *remaining == rate::Rate::ZERO {
                continue;
            }
            let geometry = self.inputs.geometry;
            let near = zones
                .clone()
                .filter(|zone| geometry.distance(source, *zone) == distance);
            let available = near.map(|zone| (zone, self.available(level_permille, source, zone)));
            let available: Vec<_> = available
                .filter(|(_, available)| *available > rate::Rate::ZERO)
                .collect();
            let sum: rate::Rate = available.iter().map(|(_, available)| *available).sum();
            for (zone, available) in available {
                let request = (*remaining).min(sum).scaled(available.milli(), sum.milli());
                *requests.flows.at_mut(source, zone) = request;
            }
        }
        requests
    }

    /// Allocates a destination's available capacity among its sources, in proportion to their
    /// requests.
    fn allocate(&mut self, level_permille: u32, destination: usize, requests: &Flows) {
        let requested = requests.sum_to(destination);
        if requested == rate::Rate::ZERO {
            return;
        }
        let available = self
            .available_at_level(level_permille, destination)
            .min(requested);
        for source in 0..self.inputs.zone_count() {
            let request = requests.flows.at(source, destination);
            let part = request.scaled(available.milli(), requested.milli());
            let flow = part.min(self.available(level_permille, source, destination));
            self.add(source, destination, flow);
        }
    }

    fn available_at_level(&self, level_permille: u32, destination: usize) -> rate::Rate {
        let usable = self.capacity.limits[destination].usable;
        usable
            .permille(level_permille)
            .saturating_sub(self.used[destination])
    }

    fn available(&self, level_permille: u32, source: usize, destination: usize) -> rate::Rate {
        let available = self.available_at_level(level_permille, destination);
        if available == rate::Rate::ZERO {
            return available;
        }
        let cached = self.cached.flows.at(source, destination);
        let available = available.min(cached + self.rise[destination]);
        let available = available.min(self.staleness_limit(source, destination));
        let inputs = self.inputs;
        let link = self
            .links
            .available(inputs.geometry, inputs.service, source, destination);
        link.map_or(available, |link| available.min(link))
    }

    /// Returns how much more flow a destination may receive from one source by the age of the
    /// destination's report.
    fn staleness_limit(&self, source: usize, destination: usize) -> rate::Rate {
        let allowed = match self.capacity.limits[destination].decision {
            staleness::Decision::Measured => return UNLIMITED,
            staleness::Decision::Exclude => rate::Rate::ZERO,
            staleness::Decision::Hold => self.held_flow(source, destination),
            staleness::Decision::StaticShare => self.static_share(source, destination),
        };
        allowed.saturating_sub(self.planned.flows.at(source, destination))
    }

    /// Returns the flow of the previous plan, above which the flow to a destination with an old
    /// report may not rise.
    ///
    /// A limit on the share of the source's clients alone would let the flow rise with the demand.
    fn held_flow(&self, source: usize, destination: usize) -> rate::Rate {
        let zones = &self.inputs.geometry.zones;
        let previous = self.inputs.previous;
        let planned = previous.and_then(|plan| plan.sources.get(zones[source]));
        planned.map_or(rate::Rate::ZERO, |planned| planned.flow(zones[destination]))
    }

    /// Returns the flow allowed by the declared capacity alone.
    ///
    /// The zone's own clients receive everything but the static share, and every other source zone
    /// an equal part of the static share.
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
