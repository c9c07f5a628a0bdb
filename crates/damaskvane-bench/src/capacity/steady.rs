//! Fleets of several sizes without client traffic.

use core::str;
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::capacity::quantity::LIST_READERS;
use crate::capacity::{Quantity, Rates, Slope, Snapshot};
use crate::cluster::{Cluster, Deployment};
use crate::error::BenchError;

/// The longest wait until the first configuration is in force.
const FIRST_LIMIT: Duration = Duration::from_secs(60);
/// How long a fleet settles before it is measured.
const SETTLE: Duration = Duration::from_secs(8);

/// Regions, zones in each region and entry instances in each zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Regions.
    pub regions: usize,
    /// Zones in each region.
    pub zones: usize,
    /// Entry instances in each zone.
    pub entries: usize,
}

impl Shape {
    /// How many daemons that makes.
    #[must_use]
    pub const fn daemons(self) -> usize {
        self.regions * self.zones * self.entries
    }
}

impl str::FromStr for Shape {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<usize> = text
            .split('x')
            .filter_map(|part| part.parse().ok())
            .collect();
        match parts[..] {
            [regions, zones, entries] if regions * zones * entries > 0 => Ok(Self {
                regions,
                zones,
                entries,
            }),
            _ => Err(()),
        }
    }
}

/// The rates of each shape.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SteadyFigures {
    /// Shapes and their rates.
    pub shapes: Vec<(Shape, Rates)>,
}

/// Measures fleets of these shapes for `seconds` each.
pub fn measure_steady(shapes: &[Shape], seconds: u64) -> Result<SteadyFigures, BenchError> {
    let mut figures = SteadyFigures::default();
    for shape in shapes {
        let cluster = start(*shape)?;
        thread::sleep(SETTLE);
        let before = Snapshot::take(&cluster)?;
        thread::sleep(Duration::from_secs(seconds));
        let rates = Snapshot::take(&cluster)?.rates_since(&before);
        figures.shapes.push((*shape, rates));
    }
    Ok(figures)
}

/// A fleet of that shape with its configuration in force.
pub(crate) fn start(shape: Shape) -> Result<Cluster, BenchError> {
    let deployment = Deployment::grid(shape.regions, shape.zones, shape.entries);
    let mut cluster = Cluster::start(deployment, "")?;
    cluster.submit_whole("capacity")?;
    cluster.wait_in_force(1, FIRST_LIMIT)?;
    cluster.wait_serving(FIRST_LIMIT)?;
    Ok(cluster)
}

impl SteadyFigures {
    /// The models through the shapes.
    #[must_use]
    pub fn slopes(&self) -> Vec<Slope> {
        let model = |key: &str, of: fn(&Rates) -> Option<f64>| {
            let quantity = Quantity::named(key)?;
            let points = self
                .shapes
                .iter()
                .filter_map(|(shape, rates)| Some((variables(quantity, *shape), of(rates)?)));
            Some(Slope::new(quantity, points.collect()))
        };
        let slopes = [
            model("control-relay", |rates| rates.control_relay),
            model("control-other", |rates| rates.control_other),
            model("control-max", |rates| Some(rates.control_max)),
            model("cpu-relay", |rates| rates.cpu_relay),
            model("cpu-other", |rates| rates.cpu_other),
            model("memory", |rates| Some(rates.memory_mb)),
            model("store-reads", |rates| Some(rates.store_reads)),
            model("store-writes", |rates| Some(rates.store_writes)),
        ];
        slopes.into_iter().flatten().collect()
    }
}

/// The variables that a quantity is fitted over.
fn variables(quantity: Quantity, shape: Shape) -> Vec<f64> {
    let zones = (shape.regions * shape.zones) as f64;
    let daemons = shape.daemons() as f64;
    match quantity.key {
        "store-reads" => vec![
            daemons.min(LIST_READERS),
            zones * shape.entries.min(2) as f64,
        ],
        "store-writes" => vec![daemons],
        _ => vec![zones, shape.entries as f64],
    }
}
