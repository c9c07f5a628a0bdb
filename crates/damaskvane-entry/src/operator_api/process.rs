//! Memory and processor time of this process, read from the kernel.
//!
//! ```
//! use damaskvane_entry::operator_api::process;
//!
//! assert!(process::resource_usage().rss_bytes > 0);
//! ```

use std::fs;

use serde::Serialize;

/// Length of a clock tick in `/proc/self/stat`; the kernel uses hundredths of a second on all supported
/// machines.
const MS_PER_CPU_TICK: u64 = 10;
const PAGE_BYTES: u64 = 4_096;
/// Index of a field in `/proc/self/stat`, counted after the closing parenthesis of the command.
const USER_TICKS_INDEX: usize = 11;
const SYSTEM_TICKS_INDEX: usize = 12;

/// Memory and processor time of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ResourceUsage {
    /// Resident memory in bytes.
    pub rss_bytes: u64,
    /// Processor time since the process started, in milliseconds.
    pub cpu_ms: u64,
}

/// Reads the current resource usage; a value that the kernel does not provide is zero.
#[must_use]
pub fn resource_usage() -> ResourceUsage {
    ResourceUsage {
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
    let user: u64 = fields.get(USER_TICKS_INDEX)?.parse().ok()?;
    let system: u64 = fields.get(SYSTEM_TICKS_INDEX)?.parse().ok()?;
    Some(user + system)
}
