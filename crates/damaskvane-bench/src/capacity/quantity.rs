//! What is measured, what it grows with, and its budget.
//!
//! ```
//! use damaskvane_bench::capacity;
//!
//! assert!(capacity::QUANTITIES.iter().any(|quantity| quantity.key == "control-relay"));
//! ```

use crate::capacity::{
    BUDGET_BYTES, BUDGET_CPU_MS, BUDGET_MEMORY_MB, BUDGET_READS, BUDGET_WRITES, TARGET_BLOCKS,
    TARGET_DAEMONS, TARGET_IN_ZONE, TARGET_LOOKUPS, TARGET_ZONES,
};

/// What a quantity grows with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    /// The names of its variables.
    pub names: &'static [&'static str],
    /// How large they are at the size that the design is decided by.
    pub targets: &'static [f64],
}

const DAEMONS: Size = Size {
    names: &["daemons"],
    targets: &[TARGET_DAEMONS],
};
/// The fleet's reads of the list of instances stop growing at this many daemons; see docs/CAPACITY.md.
pub(crate) const LIST_READERS: f64 = 60.0;
const CALLERS: Size = Size {
    names: &["daemons, at most 60", "relays"],
    targets: &[LIST_READERS, 2.0 * TARGET_ZONES],
};
const SHAPE: Size = Size {
    names: &["zones", "daemons in the zone"],
    targets: &[TARGET_ZONES, TARGET_IN_ZONE],
};
const OBJECTS: Size = Size {
    names: &["objects in a ticket"],
    targets: &[1_000.0],
};
const BLOCKS: Size = Size {
    names: &["client blocks"],
    targets: &[TARGET_BLOCKS],
};
const LOOKUPS: Size = Size {
    names: &["look-ups/s at one daemon"],
    targets: &[TARGET_LOOKUPS],
};
const REQUESTS: Size = Size {
    names: &["requests/s at one daemon"],
    targets: &[200.0],
};

/// One measured quantity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quantity {
    /// Its name on command lines and in JSON.
    pub key: &'static str,
    /// What it is.
    pub title: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What it grows with.
    pub size: Size,
    /// The most that is allowed at the target size.
    pub budget: Option<f64>,
}

const fn quantity(
    key: &'static str,
    title: &'static str,
    unit: &'static str,
    size: Size,
    budget: Option<f64>,
) -> Quantity {
    Quantity {
        key,
        title,
        unit,
        size,
        budget,
    }
}

/// Every quantity, in the order of the page.
#[rustfmt::skip]
pub const QUANTITIES: &[Quantity] = &[
    quantity("control-relay", "control traffic of a relay, both ways", "B/s", SHAPE, Some(BUDGET_BYTES)),
    quantity("control-other", "control traffic of an instance that is no relay, both ways", "B/s", SHAPE, Some(BUDGET_BYTES)),
    quantity("control-max", "control traffic of the busiest instance, both ways", "B/s", SHAPE, Some(BUDGET_BYTES)),
    quantity("cpu-relay", "processor time of a relay without traffic", "ms/s", SHAPE, Some(BUDGET_CPU_MS)),
    quantity("cpu-other", "processor time of an instance that is no relay, without traffic", "ms/s", SHAPE, Some(BUDGET_CPU_MS)),
    quantity("memory", "resident memory of an instance, largest", "MB", SHAPE, Some(BUDGET_MEMORY_MB)),
    quantity("store-reads", "reads and watches at the store, whole fleet", "calls/s", CALLERS, Some(BUDGET_READS)),
    quantity("store-writes", "writes at the store, whole fleet", "calls/s", DAEMONS, Some(BUDGET_WRITES)),
    quantity("ticket-bytes", "control traffic of the busiest instance for one ticket, both ways", "B", OBJECTS, None),
    quantity("ticket-reads", "reads at the store for one ticket, 12 daemons", "calls", OBJECTS, None),
    quantity("ticket-time", "from acceptance to in force everywhere, 12 daemons", "ms", OBJECTS, Some(5_000.0)),
    quantity("block-memory", "memory of the client-block table", "MB", BLOCKS, Some(BUDGET_MEMORY_MB)),
    quantity("declared-memory", "resident memory of an instance with client blocks declared by name", "MB", BLOCKS, Some(BUDGET_MEMORY_MB)),
    quantity("declared-lookup", "processor time of a look-up of an undeclared block among blocks declared by name", "µs", BLOCKS, None),
    quantity("lookup-cpu", "processor time of look-ups", "ms/s", LOOKUPS, None),
    quantity("request-cpu", "processor time of requests", "ms/s", REQUESTS, None),
    quantity("request-control", "control traffic under requests, busiest of two in a zone, both ways", "B/s", REQUESTS, Some(BUDGET_BYTES)),
];

impl Quantity {
    /// The quantity of that name.
    #[must_use]
    pub fn named(key: &str) -> Option<Self> {
        QUANTITIES
            .iter()
            .copied()
            .find(|quantity| quantity.key == key)
    }
}
