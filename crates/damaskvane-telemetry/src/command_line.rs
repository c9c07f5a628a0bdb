//! Usage errors and exit codes shared by the programs.
//!
//! ```
//! use damaskvane_telemetry::command_line;
//!
//! let error = command_line::unknown_flag("--setings", &["--settings", "--help"]);
//! assert!(error.to_string().contains("did you mean '--settings'"));
//! ```

use std::process;

use crate::nearest;

/// Exit code of a successful run.
pub const EXIT_OK: u8 = 0;
/// Exit code of a run that failed; the message names the cause.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid command line or settings file; nothing was started.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a conflict with another operator's ticket; nothing was changed.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code for an unknown outcome because the platform did not respond.
pub const EXIT_UNKNOWN: u8 = 4;

/// Error in a command line.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum UsageError {
    /// unknown option '{flag}'{hint}
    UnknownFlag {
        /// Flag as given, with its dashes.
        flag: String,
        /// Hint that names the most similar valid flag, or all valid flags if none is similar.
        hint: String,
    },
    /// missing option '{flag}'; see --help
    Missing {
        /// Required flag that the command line lacks, with its dashes.
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

/// Returns the error for an unknown flag, with the most similar flag of `known` as a hint.
#[must_use]
pub fn unknown_flag(flag: &str, known: &[&str]) -> UsageError {
    UsageError::UnknownFlag {
        flag: flag.to_owned(),
        hint: nearest::hint(flag, known),
    }
}

/// Returns the error for an argument that the program does not expect.
///
/// For a flag, the error names the most similar flag of `known`.
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

/// Prints a usage error to standard error and returns [`EXIT_USAGE`].
#[must_use = "return it from main"]
pub fn report_usage(program: &str, error: &UsageError) -> process::ExitCode {
    eprintln!("{program}: {error}");
    process::ExitCode::from(EXIT_USAGE)
}
