//! Seeded random traffic and faults over the same world.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_scenario::random;
//!
//! let settings = random::RandomSettings { seed: 1, span: time::SpanMs::new(1_000), ..Default::default() };
//! assert!(random::run(&settings).violations.is_empty());
//! ```

mod chaos;
mod report;
mod settings;
mod traffic;

use damaskvane_core::{ids, time, units};

pub use report::Report;
pub use settings::RandomSettings;

use crate::script::SetUp;
use crate::world;

const STEP: time::SpanMs = time::SpanMs::new(20);
const SETTLING: time::SpanMs = time::SpanMs::new(8_000);
const CHECK_PERIOD: time::SpanMs = time::SpanMs::new(10_000);
/// After the last fault, until all that still runs has ended.
const COOLING: time::SpanMs = time::SpanMs::new(40_000);

/// Runs for the span of virtual time, and checks every promise every ten seconds and at the end.
#[must_use]
pub fn run(settings: &RandomSettings) -> Report {
    let mut world = build(settings);
    let mut traffic = traffic::Traffic::new(settings);
    let mut chaos = chaos::Chaos::new(settings);
    world.advance(SETTLING);
    let end = world.now + settings.span;
    let mut next_check = world.now;
    while world.now < end {
        chaos.act(&mut world);
        traffic.act(&mut world);
        world.advance(STEP);
        if world.now >= next_check {
            next_check = world.now + CHECK_PERIOD;
            if !world.violations().is_empty() {
                return Report::of(settings.seed, &world, &chaos);
            }
            world.drop_old_requests();
        }
    }
    chaos.end_all(&mut world);
    world.advance(COOLING);
    Report::of(settings.seed, &world, &chaos)
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
    for set_up in declared(settings) {
        world.set_up(set_up);
    }
    world
}

fn declared(settings: &RandomSettings) -> Vec<SetUp> {
    let mut declared = vec![SetUp::Service {
        service: traffic::service(),
        timeout: time::SpanMs::new(2_000),
        queue: 12,
        time: time::SpanMs::new(60),
    }];
    for zone in 0..settings.zones {
        for number in 0..settings.servers_a_zone {
            declared.push(SetUp::Server {
                server: server_id(zone, number),
                zone: zone_id(zone),
                service: traffic::service(),
                slots: units::Slots::new(2),
            });
        }
        for number in 0..settings.entries_a_zone {
            declared.push(SetUp::Entry {
                instance: entry_id(zone, number),
                zone: zone_id(zone),
            });
        }
    }
    declared
}

fn named<T: core::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| unreachable!("a letter and numbers are a name"))
}

fn zone_id(zone: u32) -> ids::AvailabilityZoneId {
    named(&format!("sask-{zone}"))
}

fn server_id(zone: u32, number: u32) -> ids::BackendServerId {
    named(&format!("r{zone}-{number}"))
}

fn entry_id(zone: u32, number: u32) -> ids::InstanceId {
    named(&format!("e{zone}-{number}"))
}
