//! Deployments drawn from ranges of what users may run, so that no setting is chosen by one of them.

use rand::{RngExt, SeedableRng};

use crate::placement::deployment::{self, Deployment, Kind, ServiceModel, Zone};

/// The part of all slots that is in use on a calm day once objects are remembered.
const USED_SHARE: (f64, f64) = (0.25, 0.6);
/// Most requests a second: a run stays a matter of seconds.
const MOST_PER_S: f64 = 1_500.0;

/// Draws a deployment.
pub(super) fn draw(seed: u64) -> Deployment {
    let mut random = rand_pcg::Pcg32::seed_from_u64(seed);
    let zones = zones(&mut random);
    let services: Vec<ServiceModel> = (0..random.random_range(1..=3))
        .map(|number| service(number, &zones, &mut random))
        .collect();
    let mut kinds: Vec<Kind> = (0..random.random_range(1..=4))
        .map(|number| kind(number, services.len(), &mut random))
        .collect();
    let all: f64 = kinds.iter().map(|kind| kind.share).sum();
    for kind in &mut kinds {
        kind.share /= all;
    }
    let used = random.random_range(USED_SHARE.0..USED_SHARE.1);
    Deployment {
        per_s: per_s(&services, &kinds, used),
        swing: random.random_range(0.0..0.6),
        zones,
        services,
        kinds,
    }
}

fn zones(random: &mut impl rand::Rng) -> Vec<Zone> {
    let regions = random.random_range(2..=4);
    let mut zones = Vec::new();
    for region in 0..regions {
        for number in 0..random.random_range(1..=3) {
            zones.push(Zone {
                name: format!("zone-{region}-{number}"),
                region,
                callers: random.random_range(0.3..1.7),
                instances: random.random_range(1..=3),
            });
        }
    }
    let all: f64 = zones.iter().map(|zone| zone.callers).sum();
    for zone in &mut zones {
        zone.callers /= all;
    }
    zones
}

fn service(number: usize, zones: &[Zone], random: &mut impl rand::Rng) -> ServiceModel {
    let slots = random.random_range(1..=12);
    let mut servers: Vec<usize> = zones.iter().map(|_| random.random_range(0..=5)).collect();
    servers[0] = servers[0].max(1);
    let last = servers.len() - 1;
    servers[last] = servers[last].max(2);
    ServiceModel {
        name: format!("service-{number}"),
        servers,
        slots,
        queue: 3 * slots as usize,
        remembered: random.random_range(10..=200),
    }
}

fn kind(number: usize, services: usize, random: &mut impl rand::Rng) -> Kind {
    let objective_ms = random.random_range(150..=1_000);
    let work_ms = objective_ms as f64 * random.random_range(0.5..3.0);
    let timeout_ms = (objective_ms * random.random_range(3..=8)).max((work_ms * 1.5) as u64);
    let priority = random.random_range(0..=3);
    let worth = f64::from(random.random_range(1..=3_u32));
    let first = random.random_range(0..services);
    let mut targets = vec![(first, random.random_range(1..=4))];
    if services > 1 && random.random_bool(0.25) {
        targets.push(((first + 1) % services, random.random_range(1..=4)));
    }
    Kind {
        route: deployment::route(
            &format!("kind-{number}"),
            objective_ms,
            timeout_ms,
            priority,
        ),
        services: targets,
        share: random.random_range(0.2..1.0),
        work_ms,
        warm_gain: random.random_range(0.0..0.8),
        worth,
        late_worth: 0.2 * worth,
        deadline_ms: timeout_ms * 2,
        objects: random.random_range(5..=150),
        skew: random.random_range(0.0..0.9),
    }
}

/// The requests a second that use this part of the busiest service's slots once objects are remembered.
fn per_s(services: &[ServiceModel], kinds: &[Kind], used: f64) -> f64 {
    let needs = services.iter().enumerate().map(|(number, service)| {
        let servers: usize = service.servers.iter().sum();
        let slots = servers as f64 * f64::from(service.slots);
        let work_s: f64 = kinds.iter().map(|kind| work_on(kind, number)).sum();
        work_s / slots
    });
    let most = needs.fold(0.0, f64::max);
    (used / most.max(1e-6)).min(MOST_PER_S)
}

/// The seconds of a slot that a request of any kind takes on a service in the mean, for this kind's part.
fn work_on(kind: &Kind, service: usize) -> f64 {
    let all: u32 = kind.services.iter().map(|(_, weight)| weight).sum();
    let own = kind.services.iter().filter(|(of, _)| *of == service);
    let weight: u32 = own.map(|(_, weight)| weight).sum();
    let part = f64::from(weight) / f64::from(all.max(1));
    kind.share * part * kind.work_ms * (1.0 - kind.warm_gain) / 1_000.0
}
