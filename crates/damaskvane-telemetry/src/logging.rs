//! JSON lines with fixed field names.
//!
//! Every line has `ts`, `level`, `msg` and `program`; [`field`] names what else may stand there, so
//! that a search for one request finds it in the logs of every program.
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

/// The field names that log lines use.
pub mod field {
    /// The instance that writes the line.
    pub const INSTANCE: &str = "instance";
    /// Its availability zone.
    pub const AVAILABILITY_ZONE: &str = "availability_zone";
    /// The service of a request.
    pub const SERVICE: &str = "service";
    /// The request a line is about.
    pub const REQUEST_ID: &str = "request_id";
    /// The ticket a line is about.
    pub const TICKET: &str = "ticket";
    /// The reason of a refusal, a retry or a change.
    pub const REASON: &str = "reason";
    /// How a request or an exchange ended.
    pub const OUTCOME: &str = "outcome";
    /// The configuration version in force.
    pub const CONFIG_VERSION: &str = "config_version";
    /// The peer a line is about.
    pub const PEER: &str = "peer";
    /// The backend server a line is about.
    pub const BACKEND_SERVER: &str = "backend_server";
}

/// How much is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Every decision.
    Debug,
    /// Changes of state.
    #[default]
    Info,
    /// What an operator should look at.
    Warning,
    /// What needs an operator.
    Error,
}

/// the log level {0:?} is unknown; use debug, info, warning or error
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

/// A logger that writes JSON lines to standard error.
pub fn logger(program: &'static str, level: Level) -> slog::Logger {
    logger_to(io::stderr(), program, level)
}

/// A logger that writes JSON lines to standard output.
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
    // Behind the queue, lines below the level would cost their way through it, and could push lines that
    // count out of it.
    let filtered = slog::LevelFilter::new(background, level.to_slog());
    slog::Logger::root(filtered.fuse(), slog::o!("program" => program))
}

/// A logger that drops everything, for tests and commands that print their result.
pub fn discarding_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
