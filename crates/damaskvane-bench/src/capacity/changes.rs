//! Tickets of several sizes on one fleet.

use std::thread;
use std::time::Duration;

use crate::capacity::{Shape, Slope, Snapshot, slope, steady};
use crate::cluster::Cluster;
use crate::error::BenchError;
use crate::in_force;

/// The fleet: 12 daemons.
const FLEET: Shape = Shape {
    regions: 3,
    zones: 2,
    entries: 2,
};
/// How long a fleet settles before and after a ticket.
const SETTLE: Duration = Duration::from_secs(2);
/// The longest wait until a ticket is in force.
const TICKET_LIMIT: Duration = Duration::from_secs(30);

/// Submits tickets of so many objects each.
pub fn measure_changes(sizes: &[usize]) -> Result<Vec<Slope>, BenchError> {
    let mut cluster = steady::start(FLEET)?;
    thread::sleep(SETTLE);
    let (mut bytes, mut reads, mut times) = (Vec::new(), Vec::new(), Vec::new());
    for (round, size) in sizes.iter().enumerate() {
        let text = regions(*size, round);
        let before = Snapshot::take(&cluster)?;
        let timing = in_force::submit(&mut cluster, &text, "capacity", TICKET_LIMIT)?;
        let after = settled(&cluster)?;
        let x = *size as f64;
        bytes.push((x, after.busiest_bytes_since(&before)));
        reads.push((x, after.reads_since(&before)));
        if let Some(span) = timing.everywhere() {
            times.push((x, span.as_secs_f64() * 1_000.0));
        }
    }
    let slopes = [
        slope::named("ticket-bytes", bytes),
        slope::named("ticket-reads", reads),
        slope::named("ticket-time", times),
    ];
    Ok(slopes.into_iter().flatten().collect())
}

fn settled(cluster: &Cluster) -> Result<Snapshot, BenchError> {
    thread::sleep(SETTLE);
    Snapshot::take(cluster)
}

/// So many small objects, each with another content than in any other round.
fn regions(size: usize, round: usize) -> String {
    let one = |number: usize| {
        format!("[region.extra{number}]\ndescription = \"round {round}, object {number}\"\n\n")
    };
    (0..size).map(one).collect()
}
