//! What all sub-commands share of their command lines.
//!
//! ```
//! use damaskvane_bench::arguments;
//!
//! let mut parser = lexopt::Parser::from_args(["--seed", "7", "--json"]);
//! let shared = arguments::parse(&mut parser, &[], |_, _| Ok(false))?;
//! assert!(shared.seed == 7 && shared.json);
//! # Ok::<(), damaskvane_telemetry::command_line::UsageError>(())
//! ```

use core::{fmt, str};
use std::process;

use damaskvane_telemetry::command_line;

/// The flags that every sub-command knows.
const SHARED_FLAGS: [&str; 4] = ["--seed", "--json", "--help", "--version"];

/// What every sub-command knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shared {
    /// The seed of everything random.
    pub seed: u64,
    /// Whether to print JSON lines in place of a table.
    pub json: bool,
    /// Whether to print the usage and end.
    pub help: bool,
    /// Whether to print the version and end.
    pub version: bool,
}

impl Shared {
    /// Prints what `--help` or `--version` asks for; the exit code if one was given.
    #[must_use]
    pub fn answer(self, usage: &str) -> Option<process::ExitCode> {
        if self.help {
            println!("{usage}");
        } else if self.version {
            println!("damaskvane-bench {}", env!("CARGO_PKG_VERSION"));
        } else {
            return None;
        }
        Some(process::ExitCode::SUCCESS)
    }
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            seed: 1,
            json: false,
            help: false,
            version: false,
        }
    }
}

/// Reads a command line; `own` takes the value of a flag of the sub-command's own and says whether it
/// knows the flag.
pub fn parse(
    parser: &mut lexopt::Parser,
    own_flags: &[&str],
    mut own: impl FnMut(&str, &mut lexopt::Parser) -> Result<bool, command_line::UsageError>,
) -> Result<Shared, command_line::UsageError> {
    let mut shared = Shared::default();
    while let Some(argument) = parser.next()? {
        let name = match &argument {
            lexopt::Arg::Long(name) => (*name).to_owned(),
            lexopt::Arg::Short('h') => "help".to_owned(),
            lexopt::Arg::Short('V') => "version".to_owned(),
            _ => return Err(unexpected(argument, own_flags)),
        };
        match name.as_str() {
            "seed" => shared.seed = value(parser)?,
            "json" => shared.json = true,
            "help" => shared.help = true,
            "version" => shared.version = true,
            name => {
                if !own(name, parser)? {
                    return Err(unexpected(lexopt::Arg::Long(name), own_flags));
                }
            }
        }
    }
    Ok(shared)
}

/// The one of `all` that is written so; `what` names what the words are, for the error.
///
/// # Errors
///
/// A text that names the words that may be written.
pub fn named<T: Copy + fmt::Display>(all: &[T], text: &str, what: &str) -> Result<T, String> {
    let found = all.iter().copied().find(|one| one.to_string() == text);
    found.ok_or_else(|| {
        let names: Vec<String> = all.iter().map(ToString::to_string).collect();
        format!("{text:?} is no {what}; write one of {}", names.join(", "))
    })
}

/// The value of the flag just read.
pub fn value<T: str::FromStr>(parser: &mut lexopt::Parser) -> Result<T, command_line::UsageError> {
    let text = text(parser)?;
    text.parse()
        .map_err(|_| command_line::UsageError::Malformed(format!("{text:?} is no valid value")))
}

/// The values, separated by commas, of the flag just read.
pub fn values<T: str::FromStr>(
    parser: &mut lexopt::Parser,
) -> Result<Vec<T>, command_line::UsageError> {
    let text = text(parser)?;
    let parsed = text.split(',').map(str::parse).collect::<Result<_, _>>();
    parsed.map_err(|_| command_line::UsageError::Malformed(format!("{text:?} is no valid list")))
}

fn text(parser: &mut lexopt::Parser) -> Result<String, command_line::UsageError> {
    Ok(lexopt::ValueExt::string(parser.value()?)?)
}

fn unexpected(argument: lexopt::Arg<'_>, own_flags: &[&str]) -> command_line::UsageError {
    let known: Vec<&str> = own_flags.iter().copied().chain(SHARED_FLAGS).collect();
    command_line::unexpected(argument, &known)
}
