//! The operators' command: check, diff, submit, history, show, export, status, explain, drain.
//!
//! # Crate guide
//!
//! - [`args`]: the command line.
//! - [`store`]: runs a submission against the platform's object API.
//! - [`history`]: accepted tickets, followed from the head.
//! - [`command`]: one module for each command, each giving a report.
//! - [`ask`]: asks an instance for a JSON document.
//! - [`error`]: what ends a command, with its exit code.
//!
//! ```
//! use damaskvane_ctl::error;
//!
//! assert_eq!(error::CtlError::NoHead.exit_code(), 1);
//! ```

pub mod args;
pub mod ask;
pub mod command;
pub mod error;
pub mod history;
pub mod store;
