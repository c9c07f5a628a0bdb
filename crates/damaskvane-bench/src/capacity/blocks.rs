//! Memory of the client-block table.

use std::fs;

use damaskvane_steering::blocks::{BlockKey, BlockTable, Class};

use crate::capacity::{Slope, slope};
use crate::cluster::Programs;
use crate::error::BenchError;

const PROGRAM: &str = "damaskvane-bench";
const PAGE_BYTES: f64 = 4_096.0;
/// Steering classes that the blocks are spread over.
const CLASSES: u32 = 47;
/// Spreads block numbers over the address space, as prefixes are.
const SPREAD: u32 = 0x9E37_79B1;

/// Builds a table of each size.
///
/// A process gives freed memory back late, so that a second table would partly stand in what the first
/// one left and weigh too little. Each size therefore gets a fresh process of this same program.
pub fn measure_blocks(sizes: &[u32]) -> Result<Vec<Slope>, BenchError> {
    let mut points = Vec::new();
    for size in sizes {
        let megabytes = match sizes.len() {
            1 => table_mb(*size)?,
            _ => table_mb_of_fresh_process(*size)?,
        };
        points.push((f64::from(*size), megabytes));
    }
    Ok(slope::named("block-memory", points).into_iter().collect())
}

fn table_mb_of_fresh_process(size: u32) -> Result<f64, BenchError> {
    let failed = |cause: String| BenchError::Failed {
        program: PROGRAM.to_owned(),
        cause,
    };
    let programs = Programs::beside_this_one().map_err(|cause| failed(cause.to_string()))?;
    let output = programs
        .command(PROGRAM)
        .args([
            "capacity",
            "--json",
            "--parts",
            "blocks",
            "--blocks",
            &size.to_string(),
        ])
        .output()
        .map_err(|cause| failed(cause.to_string()))?;
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    let first = printed.lines().next().unwrap_or_default();
    let slope: serde_json::Value =
        serde_json::from_str(first).map_err(|cause| failed(cause.to_string()))?;
    slope["points"][0][1]
        .as_f64()
        .ok_or_else(|| failed(printed))
}

fn table_mb(size: u32) -> Result<f64, BenchError> {
    let before = resident_mb()?;
    let table = table(size)?;
    let added = resident_mb()? - before;
    drop(table);
    Ok(added)
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
    let file = "/proc/self/statm";
    let text = fs::read_to_string(file).map_err(|cause| BenchError::file(file, &cause))?;
    let pages = text.split_whitespace().nth(1);
    let pages: f64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    Ok(pages * PAGE_BYTES / 1e6)
}
