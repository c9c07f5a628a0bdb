//! What all programs share of their command lines.
//!
//! ```
//! use damaskvane_telemetry::command_line;
//!
//! let error = command_line::unknown_flag("--setings", &["--settings", "--help"]);
//! assert!(error.to_string().contains("did you mean \"--settings\""));
//! ```

use std::process;

use crate::nearest;

/// Everything went as asked.
pub const EXIT_OK: u8 = 0;
/// The work itself failed; the message says why.
pub const EXIT_FAILURE: u8 = 1;
/// The command line or a settings file was wrong; nothing was started.
pub const EXIT_USAGE: u8 = 2;
/// Another operator's ticket came first; nothing was changed.
pub const EXIT_CONFLICT: u8 = 3;
/// The platform did not answer, so that the outcome is not known.
pub const EXIT_UNKNOWN: u8 = 4;

/// A command line that the program does not understand.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum UsageError {
    /// unknown flag {flag:?}{hint}
    UnknownFlag {
        /// The flag as given.
        flag: String,
        /// A half sentence that names the nearest valid flag.
        hint: String,
    },
    /// missing {flag}; give it once, see --help
    Missing {
        /// The flag that has to be there.
        flag: &'static str,
    },
    /// {0}; see --help
    Malformed(String),
}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

/// The error for a flag that is not among the known ones.
#[must_use]
pub fn unknown_flag(flag: &str, known: &[&str]) -> UsageError {
    UsageError::UnknownFlag {
        flag: flag.to_owned(),
        hint: nearest::hint(flag, known),
    }
}

/// The error for whatever argument a parser did not expect.
#[must_use]
pub fn unexpected(argument: lexopt::Arg<'_>, known: &[&str]) -> UsageError {
    match argument {
        lexopt::Arg::Long(name) => unknown_flag(&format!("--{name}"), known),
        lexopt::Arg::Short(name) => unknown_flag(&format!("-{name}"), known),
        lexopt::Arg::Value(value) => {
            UsageError::Malformed(format!("unexpected argument {value:?}"))
        }
    }
}

/// Prints a usage error and returns the exit code for it.
#[must_use = "return it from main"]
pub fn report_usage(program: &str, error: &UsageError) -> process::ExitCode {
    eprintln!("{program}: {error}");
    process::ExitCode::from(EXIT_USAGE)
}
