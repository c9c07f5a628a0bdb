//! Two owners are cut off from each other while both reach the platform, and each fences the other.
//!
//! To fence an instance is to revoke its right to own backend servers, by a fence record: a mark on its entry in the
//! platform's list. The first owner reads its fence record and restarts as the only instance on the list. The second
//! owner can't read its fence record yet and still grants slots (rights to run a request) of its servers. The
//! scenarios vary the order and times of these events without randomness.

mod common;

use common::{SimulatedZone, id, ms, trace};

/// Fault that keeps the second owner from detecting that it was fenced.
#[derive(Debug, Clone, Copy)]
enum SecondOwnerFault {
    /// The second owner can't reach the platform from the moment when both owners are fenced.
    LosesPlatform,
    /// The second owner can't reach the platform from this many milliseconds after both owners are fenced.
    LosesPlatformLater(u64),
    /// The process of the second owner is paused for this many milliseconds.
    Paused(u64),
    /// No fault: both owners restart.
    Restarts,
}

/// Event that happens in addition to the mutual fence.
#[derive(Debug, Clone, Copy)]
enum ConcurrentEvent {
    Nothing,
    /// The first owner restarts three times.
    RepeatedRestarts,
    /// A third instance joins.
    ThirdInstanceJoins,
    /// The first owner can't reach the platform either, for one second after its restart.
    PlatformLost,
    /// Operators lower the number of slots of all servers.
    SlotsLowered,
    /// The two owners can reach each other again.
    CutHealed,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Time from the cut of the first direction to the cut of the second one, which delays the second fence.
    second_cut_after_ms: u64,
    list_every_ms: u64,
    second: SecondOwnerFault,
    concurrent_event: ConcurrentEvent,
}

const SECOND_OWNER_FAULTS: [SecondOwnerFault; 6] = [
    SecondOwnerFault::LosesPlatform,
    SecondOwnerFault::LosesPlatformLater(200),
    SecondOwnerFault::LosesPlatformLater(500),
    SecondOwnerFault::Paused(2_500),
    SecondOwnerFault::Paused(6_000),
    SecondOwnerFault::Restarts,
];
const CONCURRENT_EVENTS: [ConcurrentEvent; 6] = [
    ConcurrentEvent::Nothing,
    ConcurrentEvent::RepeatedRestarts,
    ConcurrentEvent::ThirdInstanceJoins,
    ConcurrentEvent::PlatformLost,
    ConcurrentEvent::SlotsLowered,
    ConcurrentEvent::CutHealed,
];

fn scenarios() -> impl Iterator<Item = Scenario> {
    let timings = [(0, 100), (0, 500), (200, 300), (600, 500)];
    timings
        .into_iter()
        .flat_map(|timing| SECOND_OWNER_FAULTS.map(|second| (timing, second)))
        .flat_map(|(timing, second)| {
            CONCURRENT_EVENTS.map(|concurrent_event| (timing, second, concurrent_event))
        })
        .map(
            |((second_cut_after_ms, list_every_ms), second, concurrent_event)| Scenario {
                second_cut_after_ms,
                list_every_ms,
                second,
                concurrent_event,
            },
        )
}

const SLOTS: u32 = 3;
/// Maximum time until both owners are fenced; covers the lag of the platform's list and the time of a fence.
const MAX_WAIT_FOR_FENCES_MS: u64 = 4_000;

fn is_fence(event: &trace::TraceEvent) -> bool {
    matches!(event, trace::TraceEvent::Fenced { .. })
}

/// Runs a scenario in which the first owner detects that it was fenced, and a fault may keep the second one from it.
fn run_scenario(scenario: Scenario, deletes_fenced_entries: bool) -> SimulatedZone {
    let (first, second) = (id("a-1"), id("a-2"));
    let mut zone = SimulatedZone::new(1, &["a-1", "a-2"], &[SLOTS, SLOTS, SLOTS]);
    zone.uses_full_deadline = true;
    zone.demand_percent = 100;
    zone.tolerates_excess = true;
    zone.reads_own_record = false;
    zone.deletes_fenced_entries = deletes_fenced_entries;
    zone.list_every_ms = scenario.list_every_ms;
    zone.run(8_000);
    zone.cuts.insert((first.clone(), second.clone()));
    zone.run(scenario.second_cut_after_ms);
    zone.cuts.insert((second.clone(), first.clone()));
    let deadline = zone.now + ms(MAX_WAIT_FOR_FENCES_MS);
    while zone.trace.count(is_fence) < 2 && zone.now < deadline {
        zone.run(common::STEP_MS);
    }
    match scenario.second {
        SecondOwnerFault::LosesPlatform => drop(zone.without_platform.insert(second)),
        SecondOwnerFault::LosesPlatformLater(later_ms) => {
            zone.run(later_ms);
            zone.without_platform.insert(second);
        }
        SecondOwnerFault::Paused(pause_ms) => zone.pause(&second, ms(pause_ms)),
        SecondOwnerFault::Restarts => {}
    }
    apply_concurrent_event(&mut zone, scenario.concurrent_event);
    zone.run(12_000);
    zone
}

fn apply_concurrent_event(zone: &mut SimulatedZone, concurrent_event: ConcurrentEvent) {
    let first = id("a-1");
    match concurrent_event {
        ConcurrentEvent::Nothing => {}
        ConcurrentEvent::RepeatedRestarts => {
            for _ in 0..3 {
                zone.run(700);
                zone.kill(&first);
                zone.start(&first);
            }
        }
        ConcurrentEvent::ThirdInstanceJoins => {
            zone.run(700);
            zone.start(&id("a-3"));
        }
        ConcurrentEvent::PlatformLost => {
            zone.run(700);
            zone.without_platform.insert(first.clone());
            zone.run(1_000);
            zone.without_platform.remove(&first);
        }
        ConcurrentEvent::SlotsLowered => {
            zone.run(700);
            zone.set_slots(SLOTS - 1);
        }
        ConcurrentEvent::CutHealed => {
            zone.run(1_000);
            zone.cuts.clear();
        }
    }
}

/// Returns whether the two owners fenced each other before either detected its own fence.
fn has_mutual_fence(zone: &SimulatedZone) -> bool {
    zone.trace.has_mutual_fence()
}

/// Guards against an owner that restarts and grants slots which the other owner, fenced as well, still grants.
#[test]
fn two_owners_that_fenced_each_other_never_grant_the_same_slots() {
    let mut mutual = 0;
    for scenario in scenarios() {
        let zone = run_scenario(scenario, false);
        assert!(
            zone.excess.is_none(),
            "{scenario:?}\n{}",
            zone.excess.unwrap_or_default()
        );
        mutual += u32::from(has_mutual_fence(&zone));
    }
    println!("{mutual} scenarios with a mutual fence");
    assert!(mutual > 100, "only {mutual} scenarios have a mutual fence");
}

/// Guards against scenarios that no longer reproduce the fault: if a fence deletes the entry of the fenced
/// incarnation and leaves no fence record, they must overload a server.
#[test]
fn without_fence_records_the_scenarios_overload_a_server() {
    let overloaded = scenarios().filter(|scenario| run_scenario(*scenario, true).excess.is_some());
    let overloaded: Vec<Scenario> = overloaded.collect();
    println!(
        "{} scenarios overload a server without fence records: {overloaded:?}",
        overloaded.len()
    );
    assert!(overloaded.len() > 10, "{overloaded:?}");
}

/// Guards against servers that stay without an owner after both owners restarted.
#[test]
fn a_zone_serves_again_after_a_mutual_fence() {
    for second in SECOND_OWNER_FAULTS {
        let scenario = Scenario {
            second_cut_after_ms: 0,
            list_every_ms: 300,
            second,
            concurrent_event: ConcurrentEvent::CutHealed,
        };
        let mut zone = run_scenario(scenario, false);
        zone.without_platform.clear();
        zone.run(10_000);
        let before = zone.started;
        zone.run(2_000);
        assert!(
            (0..3).all(|number| zone.owner(number).is_some()),
            "{scenario:?}"
        );
        assert!(zone.started > before + 5, "{scenario:?}");
    }
}
