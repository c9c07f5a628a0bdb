//! Why an experiment can't be run.
//!
//! ```
//! use damaskvane_bench::error;
//!
//! let error = error::BenchError::NotReady { what: "sask-a-1".into(), limit_ms: 5_000 };
//! assert!(error.to_string().contains("5000 ms"));
//! ```

use damaskvane_telemetry::command_line;

/// Why an experiment can't be run.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum BenchError {
    /// {0}
    Usage(#[from] command_line::UsageError),
    /// can't start {program}: {cause}; build it first with `cargo build --release --workspace --bins`
    Start {
        /// The program's name.
        program: String,
        /// What went wrong.
        cause: String,
    },
    /// {what} was not ready within {limit_ms} ms; its log is in the run's directory
    NotReady {
        /// What was waited for.
        what: String,
        /// How long, in milliseconds.
        limit_ms: u64,
    },
    /// {address} does not answer as docs/API.md says: {cause}
    Answer {
        /// Who was asked.
        address: String,
        /// What went wrong.
        cause: String,
    },
    /// {program} failed: {cause}
    Failed {
        /// The program's name.
        program: String,
        /// What it printed.
        cause: String,
    },
    /// {what}: {cause}
    File {
        /// The file.
        what: String,
        /// What went wrong.
        cause: String,
    },
}

impl BenchError {
    /// An answer that can't be used.
    pub fn answer(address: &str, cause: &impl ToString) -> Self {
        Self::Answer {
            address: address.to_string(),
            cause: cause.to_string(),
        }
    }

    /// A file that can't be read or written.
    pub fn file(what: &str, cause: &impl ToString) -> Self {
        Self::File {
            what: what.to_string(),
            cause: cause.to_string(),
        }
    }
}
