//! Command line of the program `damaskvane-standin-backend`.
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

/// The text that `--help` prints.
pub const USAGE: &str = "\
damaskvane-standin-backend: runs stand-ins for backend servers, with an execution log and faults

  --server NAME:SLOTS[:SERVICE_MS]  start a server on a free loopback port; may be repeated
  --servers FILE.toml               start the servers of a file: [[server]] with name, slots, service_ms
  --admin ADDRESS                   serve executions, counters and faults here [127.0.0.1:0]
  --seed N                          seed the random service times [1]
  --help, --version                 print this text or the version

Prints one JSON line with all addresses once the servers listen. Exits with 0 on SIGTERM or SIGINT,
2 on a wrong command line and 1 if an address can't be used.";

const FLAGS: [&str; 6] = [
    "--server",
    "--servers",
    "--admin",
    "--seed",
    "--help",
    "--version",
];

/// The parsed command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The servers to start.
    pub servers: Vec<ServerSpec>,
    /// The address of the admin API, as `HOST:PORT`; port 0 selects a free port.
    pub admin: String,
    /// The seed of the random service times.
    pub seed: u64,
    /// Whether to print the usage and exit.
    pub help: bool,
    /// Whether to print the version and exit.
    pub version: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            admin: "127.0.0.1:0".to_owned(),
            seed: backend::DEFAULT_SEED,
            help: false,
            version: false,
        }
    }
}

/// An error in the command line or in a file of servers.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum OptionsError {
    /// {0}
    Usage(#[from] command_line::UsageError),
    /// {0}
    Server(#[from] ParseServerSpecError),
    /// can't read {file}: {cause}; give a TOML file of `server` tables
    File {
        /// The path as given on the command line.
        file: String,
        /// The message of the read or parse error.
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
    /// Parses the arguments after the program's name, and reads the files that `--servers` names.
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
