//! The slopes behind docs/CAPACITY.md, measured with the real programs.
//!
//! Each part starts clusters of several sizes, or one cluster under several loads, reads what the
//! programs count of themselves, and fits a linear model through the points. The page's table is written from
//! these lines, so that it can be made again.
//!
//! ```
//! use damaskvane_bench::capacity;
//!
//! let quantity = capacity::QUANTITIES[0];
//! let slope = capacity::Slope::new(quantity, vec![(vec![6.0, 1.0], 1.0), (vec![6.0, 2.0], 2.0)]);
//! assert_eq!(slope.points.len(), 2);
//! ```

mod blocks;
mod changes;
pub mod command;
mod declared;
mod events;
mod load;
mod measured;
mod page;
mod quantity;
mod slope;
mod snapshot;
mod steady;

pub use blocks::measure_blocks;
pub use changes::measure_changes;
pub use declared::measure_declared;
pub use events::{EventFigures, measure_events};
pub use load::measure_load;
pub use page::{PAGE_BEGIN, PAGE_END, TABLE_HEAD, rewrite, table};
pub use quantity::{QUANTITIES, Quantity, Size};
pub use slope::Slope;
pub use snapshot::{Rates, Snapshot};
pub use steady::{Shape, SteadyFigures, measure_steady};

/// Daemons at the size that the design is decided by.
pub const TARGET_DAEMONS: f64 = 420.0;
/// Availability zones at that size.
pub const TARGET_ZONES: f64 = 23.0;
/// Daemons in one zone at that size, rounded up.
pub const TARGET_IN_ZONE: f64 = 19.0;
/// Client blocks at that size.
pub const TARGET_BLOCKS: f64 = 3_600_000.0;
/// Look-ups a second of one daemon at that size: 200,000 over all daemons.
pub const TARGET_LOOKUPS: f64 = 200_000.0 / TARGET_DAEMONS;
/// Processor time for control that one daemon may use: 1.3% of a core, in milliseconds a second.
pub const BUDGET_CPU_MS: f64 = 13.0;
/// Memory for control that one daemon may use, in megabytes.
pub const BUDGET_MEMORY_MB: f64 = 128.0;
/// Control traffic that one daemon may send and receive, in bytes a second.
pub const BUDGET_BYTES: f64 = 5_000.0;
/// Reads a second that the store takes.
pub const BUDGET_READS: f64 = 2_000.0;
/// Writes a second that the store takes.
pub const BUDGET_WRITES: f64 = 300.0;
