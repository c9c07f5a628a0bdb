//! Log records as JSON lines with fixed field names.
//!
//! Every record has the fields `ts`, `level`, `msg` and `program`. All programs use the names in [`field`] for
//! further fields, so that one search finds a request in the logs of every program.
//!
//! ```
//! use damaskvane_telemetry::logging;
//! use slog::o;
//!
//! let logger = logging::logger("example", "info".parse()?).new(o!(logging::field::SERVICE => "s"));
//! slog::info!(logger, "ready");
//! # Ok::<(), logging::ParseLevelError>(())
//! ```

use core::str;
use std::io;
use std::sync::Mutex;

use serde::Deserialize;
use slog::Drain;

/// Names of the optional fields of a log record.
pub mod field {
    /// Instance that writes the record.
    pub const INSTANCE: &str = "instance";
    /// Availability zone of the instance that writes the record.
    pub const AVAILABILITY_ZONE: &str = "availability_zone";
    /// Service that a request is for.
    pub const SERVICE: &str = "service";
    /// Identifier of the request that the record describes.
    pub const REQUEST_ID: &str = "request_id";
    /// Number of the ticket that the record describes.
    pub const TICKET: &str = "ticket";
    /// Reason of a refusal, a retry or a change.
    pub const REASON: &str = "reason";
    /// Result with which a request or an exchange ended.
    pub const OUTCOME: &str = "outcome";
    /// Configuration version that the instance has in effect.
    pub const CONFIG_VERSION: &str = "config_version";
    /// Peer instance that the record describes.
    pub const PEER: &str = "peer";
    /// Backend server that the record describes.
    pub const BACKEND_SERVER: &str = "backend_server";
}

/// Lowest severity of the records that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Every single decision.
    Debug,
    /// Changes of state; the default.
    #[default]
    Info,
    /// Conditions that an operator should check.
    Warning,
    /// Failures that need action by an operator.
    Error,
}

/// unknown log level '{0}'; use debug, info, warning or error
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseLevelError(String);

impl str::FromStr for Level {
    type Err = ParseLevelError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "debug" => Ok(Self::Debug),
            "info" => Ok(Self::Info),
            "warning" => Ok(Self::Warning),
            "error" => Ok(Self::Error),
            other => Err(ParseLevelError(other.to_owned())),
        }
    }
}

impl Level {
    const fn to_slog(self) -> slog::Level {
        match self {
            Self::Debug => slog::Level::Debug,
            Self::Info => slog::Level::Info,
            Self::Warning => slog::Level::Warning,
            Self::Error => slog::Level::Error,
        }
    }
}

/// Returns a logger that writes JSON lines to standard error.
pub fn logger(program: &'static str, level: Level) -> slog::Logger {
    logger_to(io::stderr(), program, level)
}

/// Returns a logger that writes JSON lines to standard output.
pub fn stdout_logger(program: &'static str, level: Level) -> slog::Logger {
    logger_to(io::stdout(), program, level)
}

fn logger_to(
    output: impl io::Write + Send + 'static,
    program: &'static str,
    level: Level,
) -> slog::Logger {
    let json = slog_json::Json::new(output).add_default_keys().build();
    let background = slog_async::Async::new(Mutex::new(json).fuse()).build();
    // Filters before the queue: behind it, records below the level would cost time in the queue and could
    // displace records that have to be written.
    let filtered = slog::LevelFilter::new(background, level.to_slog());
    slog::Logger::root(filtered.fuse(), slog::o!("program" => program))
}

/// Returns a logger that drops every record, for tests and commands that print their result.
pub fn discarding_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
