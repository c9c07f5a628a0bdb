//! Command-line tool with which operators validate, submit and inspect the configuration.
//!
//! # Crate guide
//!
//! - [`args`]: parsing of the command line.
//! - [`store`]: reads and submissions through the platform's object API.
//! - [`history`]: accepted tickets, read backwards from the head.
//! - [`command`]: one module for each command; each returns a report.
//! - [`fetch`]: HTTP requests to an instance for a JSON document.
//! - [`error`]: errors of the commands and their exit codes.
//!
//! ```
//! use damaskvane_ctl::error;
//!
//! assert_eq!(error::CtlError::NoConfiguration.exit_code(), 1);
//! ```

pub mod args;
pub mod command;
pub mod error;
pub mod fetch;
pub mod history;
pub mod store;
