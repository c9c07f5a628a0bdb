//! Random traffic and faults from a seed, in the same simulated world that scripts use.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_scenario::random;
//!
//! let settings = random::RandomSettings { seed: 1, span: time::SpanMs::new(1_000), ..Default::default() };
//! assert!(random::run(&settings).violations.is_empty());
//! ```

mod fault_injector;
mod report;
mod settings;
mod traffic;

use damaskvane_core::{ids, time, units};

pub use report::Report;
pub use settings::RandomSettings;

use crate::script::SetUp;
use crate::world;

const STEP: time::SpanMs = time::SpanMs::new(20);
const SETTLING_TIME: time::SpanMs = time::SpanMs::new(8_000);
const CHECK_PERIOD: time::SpanMs = time::SpanMs::new(10_000);
/// Virtual time after the end of the last fault until all running requests have ended.
const COMPLETION_TIME: time::SpanMs = time::SpanMs::new(40_000);

/// Runs traffic and faults for the given virtual time; checks all guarantees every 10 s and at the end.
///
/// Stops at the first check that finds a violated guarantee.
#[must_use]
pub fn run(settings: &RandomSettings) -> Report {
    let mut world = build(settings);
    let mut traffic = traffic::Traffic::new(settings);
    let mut fault_injector = fault_injector::FaultInjector::new(settings);
    world.advance(SETTLING_TIME);
    let end = world.now + settings.span;
    let mut next_check = world.now;
    while world.now < end {
        fault_injector.step(&mut world);
        traffic.step(&mut world);
        world.advance(STEP);
        if world.now >= next_check {
            next_check = world.now + CHECK_PERIOD;
            if !world.violations().is_empty() {
                return Report::of(settings.seed, &world, &fault_injector);
            }
            world.drop_old_requests();
        }
    }
    fault_injector.recover_all(&mut world);
    world.advance(COMPLETION_TIME);
    Report::of(settings.seed, &world, &fault_injector)
}

fn build(settings: &RandomSettings) -> world::World {
    let mut world = world::World::new(world::WorldSettings {
        seed: settings.seed,
        jitter: time::SpanMs::new(8),
        loss_permille: settings.loss_permille,
        duplicated_permille: settings.duplicated_permille,
        run_spread_permille: 800,
        ..world::WorldSettings::default()
    });
    for set_up in set_up_statements(settings) {
        world.set_up(set_up);
    }
    world
}

fn set_up_statements(settings: &RandomSettings) -> Vec<SetUp> {
    let mut set_up_statements = vec![SetUp::Service {
        service: traffic::service(),
        timeout: time::SpanMs::new(2_000),
        queue: 12,
        time: time::SpanMs::new(60),
    }];
    for zone in 0..settings.zones {
        for number in 0..settings.servers_per_zone {
            set_up_statements.push(SetUp::Server {
                server: server_id(zone, number),
                zone: zone_id(zone),
                service: traffic::service(),
                slots: units::Slots::new(2),
            });
        }
        for number in 0..settings.entries_per_zone {
            set_up_statements.push(SetUp::Entry {
                instance: entry_id(zone, number),
                zone: zone_id(zone),
            });
        }
    }
    set_up_statements
}

fn parse_id<T: core::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| unreachable!("ids built from letters and numbers are valid"))
}

fn zone_id(zone: u32) -> ids::AvailabilityZoneId {
    parse_id(&format!("sask-{zone}"))
}

fn server_id(zone: u32, number: u32) -> ids::BackendServerId {
    parse_id(&format!("r{zone}-{number}"))
}

fn entry_id(zone: u32, number: u32) -> ids::InstanceId {
    parse_id(&format!("e{zone}-{number}"))
}
