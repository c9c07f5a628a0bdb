//! What this process costs, read from the kernel.
//!
//! ```
//! use damaskvane_entry::operator_api::process;
//!
//! assert!(process::cost().rss_bytes > 0);
//! ```

use std::fs;

use serde::Serialize;

/// The kernel counts processor time in hundredths of a second on every machine that we run on.
const MS_PER_CPU_TICK: u64 = 10;
const PAGE_BYTES: u64 = 4_096;
/// Positions in `/proc/self/stat`, counted after the command's closing parenthesis.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// Memory and processor time of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ProcessCost {
    /// Resident memory.
    pub rss_bytes: u64,
    /// Processor time since the start.
    pub cpu_ms: u64,
}

/// Reads the cost so far; zero where the kernel does not tell.
#[must_use]
pub fn cost() -> ProcessCost {
    ProcessCost {
        rss_bytes: resident_pages().unwrap_or(0) * PAGE_BYTES,
        cpu_ms: cpu_ticks().unwrap_or(0) * MS_PER_CPU_TICK,
    }
}

fn resident_pages() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/statm").ok()?;
    text.split_whitespace().nth(1)?.parse().ok()
}

fn cpu_ticks() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    let (_, rest) = text.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: u64 = fields.get(USER_TICKS)?.parse().ok()?;
    let system: u64 = fields.get(SYSTEM_TICKS)?.parse().ok()?;
    Some(user + system)
}
