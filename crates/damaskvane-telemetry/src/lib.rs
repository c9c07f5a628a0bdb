//! Logging, counters, settings files and command-line errors shared by all programs.
//!
//! # Crate guide
//!
//! - [`logging`]: log records as JSON lines with fixed field names.
//! - [`counters`]: counters that the status page shows and a statsd server receives.
//! - [`settings`]: TOML settings, validated key by key, with errors that name the remedy.
//! - [`command_line`]: usage errors and the exit codes of the programs.
//! - [`nearest`]: the valid name that is most similar to a mistyped one.

pub mod command_line;
pub mod counters;
pub mod logging;
pub mod nearest;
pub mod settings;
