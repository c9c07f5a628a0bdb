//! Logs, counters, settings files and command lines that the programs share.
//!
//! # Crate guide
//!
//! - [`logging`]: JSON lines with fixed field names.
//! - [`counters`]: counts that a status page reads and a statsd server receives.
//! - [`settings`]: TOML settings, checked key by key, with errors that name the remedy.
//! - [`command_line`]: errors for unknown flags, and the exit codes of all programs.
//! - [`nearest`]: the valid word that is closest to a mistyped one.

pub mod command_line;
pub mod counters;
pub mod logging;
pub mod nearest;
pub mod settings;
