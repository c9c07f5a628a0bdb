//! Memory of the client-block table, built in this process.

use std::fs;

use damaskvane_steering::blocks::{BlockKey, BlockTable, Class};

use crate::capacity::{Slope, slope};
use crate::error::BenchError;

const PAGE_BYTES: f64 = 4_096.0;
/// Steering classes that the blocks are spread over.
const CLASSES: u32 = 47;
/// Spreads block numbers over the address space, as prefixes are.
const SPREAD: u32 = 0x9E37_79B1;

/// Builds tables of these sizes, the smallest first.
pub fn measure_blocks(sizes: &[u32]) -> Result<Vec<Slope>, BenchError> {
    let mut points = Vec::new();
    for size in sizes {
        // A process gives freed memory back late, so a table is weighed by what building it adds over a
        // copy that shares nothing: two tables are held, and only the second is counted.
        let first = table(*size)?;
        let before = resident_mb()?;
        let second = table(*size)?;
        let added = resident_mb()? - before;
        points.push((f64::from(*size), added.max(0.0)));
        drop((first, second));
    }
    Ok(slope::named("block-memory", points).into_iter().collect())
}

fn table(size: u32) -> Result<BlockTable, BenchError> {
    let blocks = (0..size).map(|number| {
        let key = BlockKey::address(number.wrapping_mul(SPREAD));
        let class = u8::try_from(number % CLASSES).unwrap_or_default();
        (key, Class::new(class))
    });
    BlockTable::build(blocks).map_err(|cause| BenchError::file("client blocks", &cause))
}

fn resident_mb() -> Result<f64, BenchError> {
    let text = fs::read_to_string("/proc/self/statm")
        .map_err(|cause| BenchError::file("/proc/self/statm", &cause))?;
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0.0);
    Ok(pages * PAGE_BYTES / 1e6)
}
