//! Exhaustive search through all orders of a few disturbances in a zone of two instances, where a third may start.
//!
//! Disturbances are cuts of the network between instances, loss and return of the platform, deaths, planned stops,
//! starts and pauses of instances, each at one of `MOMENTS` times. The zone has one backend server, and requests run
//! until their leases end. No message is lost or delayed. A fenced instance is one whose right to own servers
//! another instance revoked, by a fence record on the platform's list.
//!
//! `DAMASKVANE_DISTURBANCES=3 cargo test --release -p damaskvane-slots --test fences_exhaustive` searches deeper.

mod common;

use std::collections::BTreeSet;

use common::disturbance::Disturbance;
use common::{SimulatedZone, id, ms};

/// Number of points in time at which a disturbance may happen.
const MOMENTS: usize = 8;
const BETWEEN_MOMENTS_MS: u64 = 300;
/// Time after which the backend server has an owner and the zone serves requests.
const SETTLED_MS: u64 = 4_000;
/// Time after which all leases, waits for other instances and fence records have expired.
const EXPIRY_MS: u64 = 10_000;
const SLOTS: u32 = 2;
/// Pauses of a process: one longer than a lease and shorter than an owner's authority, one longer than both.
const PAUSES_MS: [u64; 2] = [2_500, 7_000];

#[derive(Debug, Clone, Copy)]
struct Bounds {
    disturbances: usize,
    deletes_fenced_entries: bool,
}

/// Disturbances in order, each with the number of the moment at which it happens.
type Schedule = Vec<(usize, Disturbance)>;

fn actions() -> Vec<Disturbance> {
    let (a, b) = (id("a-1"), id("a-2"));
    let mut actions = vec![
        Disturbance::Cut(a.clone(), b.clone()),
        Disturbance::CutOneWay(a.clone(), b.clone()),
        Disturbance::CutOneWay(b.clone(), a.clone()),
        Disturbance::HealCuts,
        Disturbance::Start(id("a-3")),
    ];
    for name in [a, b] {
        actions.extend([
            Disturbance::Kill(name.clone()),
            Disturbance::Leave(name.clone()),
            Disturbance::Start(name.clone()),
            Disturbance::LosePlatform(name.clone()),
            Disturbance::RegainPlatform(name.clone()),
        ]);
        actions.extend(PAUSES_MS.map(|pause_ms| Disturbance::Pause(name.clone(), ms(pause_ms))));
    }
    actions
}

/// Returns whether a disturbance applies to the zone's state, such as a pause of an instance that runs.
fn is_possible(zone: &SimulatedZone, action: &Disturbance) -> bool {
    match action {
        Disturbance::Kill(name) | Disturbance::Pause(name, _) => zone.instances.contains_key(name),
        Disturbance::Start(name) => !zone.instances.contains_key(name),
        Disturbance::LosePlatform(name) => !zone.without_platform.contains(name),
        Disturbance::HealCuts => !zone.cuts.is_empty(),
        Disturbance::RegainPlatform(name) => zone.without_platform.contains(name),
        Disturbance::Leave(name) => {
            let instance = zone.instances.get(name);
            instance.is_some_and(|instance| instance.left_at.is_none())
        }
        _ => true,
    }
}

fn settled(bounds: Bounds) -> SimulatedZone {
    let mut zone = SimulatedZone::new(1, &["a-1", "a-2"], &[SLOTS]);
    zone.uses_full_deadline = true;
    zone.demand_percent = 100;
    zone.max_delay_ms = 0;
    zone.allows_cuts_before_discovery = false;
    zone.deletes_fenced_entries = bounds.deletes_fenced_entries;
    zone.tolerates_excess = true;
    zone.reads_own_record = false;
    zone.run(SETTLED_MS);
    assert!(zone.owner(0).is_some());
    zone
}

/// Returns the zone at moment `moments`, after all disturbances of the schedule with an earlier moment.
fn replay(schedule: &Schedule, bounds: Bounds, moments: usize) -> SimulatedZone {
    let mut zone = settled(bounds);
    let mut schedule = schedule.iter().peekable();
    for moment in 0..moments {
        while let Some((_, action)) = schedule.next_if(|(at, _)| *at == moment) {
            zone.disturb(action.clone());
        }
        zone.run(BETWEEN_MOMENTS_MS);
    }
    zone
}

/// Result of a search through all schedules.
#[derive(Debug, Default)]
struct SearchResult {
    states: usize,
    runs: usize,
    mutual_fences: usize,
    overloaded: Vec<(Schedule, String)>,
}

fn search(bounds: Bounds) -> SearchResult {
    let mut result = SearchResult::default();
    let mut seen = BTreeSet::new();
    let mut schedules: Vec<Schedule> = vec![Vec::new()];
    while let Some(schedule) = schedules.pop() {
        let next_moment = schedule.last().map_or(0, |(at, _)| at + 1);
        for moment in next_moment..MOMENTS {
            let zone = replay(&schedule, bounds, moment);
            if !seen.insert((bounds.disturbances - schedule.len(), zone.state_hash())) {
                // Another schedule reached this state of the zone with the same number of disturbances left.
                break;
            }
            result.states += 1;
            if schedule.len() == bounds.disturbances {
                finish(zone, &schedule, &mut result);
                break;
            }
            let possible = actions()
                .into_iter()
                .filter(|action| is_possible(&zone, action));
            schedules.extend(possible.map(|action| {
                let mut schedule = schedule.clone();
                schedule.push((moment, action));
                schedule
            }));
        }
    }
    result
}

fn finish(mut zone: SimulatedZone, schedule: &Schedule, result: &mut SearchResult) {
    zone.run(MOMENTS as u64 * BETWEEN_MOMENTS_MS);
    zone.run(EXPIRY_MS);
    result.runs += 1;
    result.mutual_fences += usize::from(zone.trace.has_mutual_fence());
    if let Some(excess) = zone.excess {
        result.overloaded.push((schedule.clone(), excess));
    }
}

/// Returns the number of disturbances in each schedule, 2 by default.
fn disturbances() -> usize {
    let text = std::env::var("DAMASKVANE_DISTURBANCES").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(2)
}

/// Guards against two instances that both grant the same slots, because they disagree on which of them are alive.
#[test]
fn no_order_of_cuts_fences_and_starts_overloads_a_server() {
    let bounds = Bounds {
        disturbances: disturbances(),
        deletes_fenced_entries: false,
    };
    let result = search(bounds);
    println!(
        "{bounds:?}: {} states, {} runs, {} with a mutual fence",
        result.states, result.runs, result.mutual_fences
    );
    if let Some((schedule, excess)) = result.overloaded.first() {
        panic!(
            "{} of {} runs: {schedule:?}\n{excess}",
            result.overloaded.len(),
            result.runs
        );
    }
    assert!(result.mutual_fences > 10, "{result:?}");
}

/// Guards against a search that can't find an overloaded server: if a fence leaves no fence record, the search must
/// find one.
#[test]
fn the_search_finds_the_fault_without_fence_records() {
    let result = search(Bounds {
        disturbances: 2,
        deletes_fenced_entries: true,
    });
    let overloaded = result.overloaded.len();
    println!(
        "without fence records {overloaded} of {} runs overload the server, the first by {:?}",
        result.runs,
        result.overloaded.first().map(|(schedule, _)| schedule)
    );
    assert!(overloaded > 0);
}
