//! The command line of the backend server stand-in.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let options = backend::Options::parse(["--server", "s-1:6"])?;
//! assert_eq!(options.servers.len(), 1);
//! # Ok::<(), backend::OptionsError>(())
//! ```

use std::ffi;
use std::fs;
use std::path;

use damaskvane_telemetry::command_line;
use serde::Deserialize;

use crate::backend::{self, ParseServerSpecError, ServerSpec};

/// What `--help` prints.
pub const USAGE: &str = "\
damaskvane-standin-backend: plays many backend servers, logs what ran and fails on demand

  --server NAME:SLOTS[:SERVICE_MS]  a server on a free loopback port; may be given many times
  --servers FILE.toml               servers from a file: [[server]] with name, slots, service_ms
  --admin ADDRESS                   where executions, counters and faults are served [127.0.0.1:0]
  --seed N                          the seed of the service times [1]
  --help, --version

Prints one JSON line with the addresses when it serves. SIGTERM ends it with exit code 0; 2 is a wrong
command line, 1 an address that can't be had.";

const FLAGS: [&str; 6] = [
    "--server",
    "--servers",
    "--admin",
    "--seed",
    "--help",
    "--version",
];

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The servers to play.
    pub servers: Vec<ServerSpec>,
    /// Where the administration address listens.
    pub admin: String,
    /// The seed of the service times.
    pub seed: u64,
    /// Whether to print the usage and end.
    pub help: bool,
    /// Whether to print the version and end.
    pub version: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            admin: "127.0.0.1:0".to_owned(),
            seed: backend::START_SEED,
            help: false,
            version: false,
        }
    }
}

/// Why a command line is refused.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum OptionsError {
    /// {0}
    Usage(#[from] command_line::UsageError),
    /// {0}
    Server(#[from] ParseServerSpecError),
    /// can't read {file}: {cause}; give a TOML file of `server` tables
    File {
        /// The file as given.
        file: String,
        /// What went wrong.
        cause: String,
    },
    /// no servers; give at least one --server NAME:SLOTS
    NoServers,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServersFile {
    server: Vec<ServerSpec>,
}

impl Options {
    /// Reads a command line without the program's name.
    pub fn parse(
        arguments: impl IntoIterator<Item: Into<ffi::OsString>>,
    ) -> Result<Self, OptionsError> {
        let mut options = Self::default();
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next().map_err(command_line::UsageError::from)? {
            match argument {
                lexopt::Arg::Long("server") => {
                    let text = text(&mut parser)?;
                    options.servers.push(text.parse()?);
                }
                lexopt::Arg::Long("servers") => {
                    options.servers.extend(read_servers(value(&mut parser)?)?);
                }
                lexopt::Arg::Long("admin") => {
                    options.admin = text(&mut parser)?;
                }
                lexopt::Arg::Long("seed") => {
                    options.seed = lexopt::ValueExt::parse(&value(&mut parser)?)
                        .map_err(command_line::UsageError::from)?;
                }
                lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => options.help = true,
                lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => options.version = true,
                other => return Err(command_line::unexpected(other, &FLAGS).into()),
            }
        }
        if options.servers.is_empty() && !options.help && !options.version {
            return Err(OptionsError::NoServers);
        }
        Ok(options)
    }
}

fn read_servers(file: impl AsRef<path::Path>) -> Result<Vec<ServerSpec>, OptionsError> {
    let file = file.as_ref();
    let text = fs::read_to_string(file).map_err(|cause| file_error(file, &cause))?;
    let parsed: ServersFile = toml::from_str(&text).map_err(|cause| file_error(file, &cause))?;
    Ok(parsed.server)
}

fn file_error(file: &path::Path, cause: &impl ToString) -> OptionsError {
    OptionsError::File {
        file: file.display().to_string(),
        cause: cause.to_string(),
    }
}

fn value(parser: &mut lexopt::Parser) -> Result<ffi::OsString, command_line::UsageError> {
    Ok(parser.value()?)
}

fn text(parser: &mut lexopt::Parser) -> Result<String, command_line::UsageError> {
    Ok(lexopt::ValueExt::string(parser.value()?)?)
}
