//! The command line.
//!
//! ```
//! use damaskvane_ctl::args;
//!
//! let error = args::parse(["check".into(), "--jsn".into()]).expect_err("misspelt");
//! assert!(error.to_string().contains("--json"));
//! ```

use std::ffi::OsString;
use std::path::PathBuf;

use damaskvane_config::document::nearest;
use damaskvane_core::{ids, time};
use lexopt::ValueExt;

use crate::error::CtlError;

/// The help text.
pub const HELP: &str = "\
Checks, submits and explains the configuration.

Usage: damaskvane-ctl COMMAND [options]

  check FILE...                 validate; with --platform, on top of what is accepted
  diff FILE...                  what FILE... would change
  submit FILE... --reason TEXT  put FILE... into force as one ticket
  drain SERVER --reason TEXT    let a backend server take no new work
  undrain SERVER --reason TEXT  let it take work again
  history [--limit N]           accepted tickets, newest first
  show [N]                      ticket N as accepted, or the objects in force
  export DIRECTORY              accepted tickets as files for version control
  status                        which version is in force where
  explain SERVICE CLIENT        why CLIENT gets its answer, from which tickets

  --platform ADDRESS     the platform's object API, host:port
  --token-file FILE      the file with your token
  --base VERSION         the version that FILE... was written against (submit)
  --entry ADDRESS        an instance to look up at (explain)
  --timeout-ms MS        the longest one call may take (2000)
  --calls-per-second N   the rate budget (50)
  --json                 print JSON
  --help, --version

Exit codes: 0 done, 1 platform, file or instance unusable, 2 wrong usage, 3 declarations not valid,
4 objects changed meanwhile, 5 not known whether the ticket is accepted.
";

/// The commands.
const COMMANDS: [&str; 10] = [
    "check", "diff", "submit", "drain", "undrain", "history", "show", "export", "status", "explain",
];

/// The options, without their dashes.
const OPTIONS: [&str; 11] = [
    "platform",
    "token-file",
    "reason",
    "base",
    "limit",
    "entry",
    "timeout-ms",
    "calls-per-second",
    "json",
    "help",
    "version",
];

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Print this text.
    Print(String),
    /// Run a command.
    Run(Args),
}

/// A command with its options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Args {
    /// The command.
    pub command: &'static str,
    /// Files, names or numbers after the command.
    pub operands: Vec<String>,
    /// The platform's address.
    pub platform: Option<String>,
    /// The file with the token.
    pub token_file: Option<PathBuf>,
    /// Why.
    pub reason: String,
    /// The version that the files were written against.
    pub base: Option<ids::ConfigVersion>,
    /// How many tickets to list.
    pub limit: u64,
    /// An instance to look up at.
    pub entry: Option<String>,
    /// The longest one call may take.
    pub timeout_ms: time::SpanMs,
    /// The rate budget.
    pub calls_per_second: u32,
    /// Whether to print JSON.
    pub json: bool,
}

impl Args {
    const fn of(command: &'static str) -> Self {
        Self {
            command,
            operands: Vec::new(),
            platform: None,
            token_file: None,
            reason: String::new(),
            base: None,
            limit: 20,
            entry: None,
            timeout_ms: time::SpanMs::new(2_000),
            calls_per_second: 50,
            json: false,
        }
    }

    /// The operands as paths.
    #[must_use]
    pub fn paths(&self) -> Vec<PathBuf> {
        self.operands.iter().map(PathBuf::from).collect()
    }

    /// The only operand.
    ///
    /// # Errors
    ///
    /// When there is none or more than one.
    pub fn only_operand(&self, what: &str) -> Result<&str, CtlError> {
        match self.operands.as_slice() {
            [operand] => Ok(operand),
            _ => Err(CtlError::Usage(format!(
                "{} takes one {what}",
                self.command
            ))),
        }
    }
}

/// Reads the command line without the program's name.
///
/// # Errors
///
/// When it is wrong; the message names the nearest command or option.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Request, CtlError> {
    let usage = |error: lexopt::Error| CtlError::Usage(error.to_string());
    let mut parser = lexopt::Parser::from_args(args);
    let mut parsed: Option<Args> = None;
    let mut options = Args::of("");
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            lexopt::Arg::Value(word) => {
                let word = word.string().map_err(usage)?;
                match &mut parsed {
                    None => parsed = Some(Args::of(command(&word)?)),
                    Some(args) => args.operands.push(word),
                }
            }
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
                return Ok(Request::Print(HELP.to_owned()));
            }
            lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Request::Print(format!("damaskvane-ctl {version}\n")));
            }
            lexopt::Arg::Long("json") => options.json = true,
            lexopt::Arg::Long(name) if OPTIONS.contains(&name) => {
                let name = name.to_owned();
                let value = parser.value().map_err(usage)?;
                option(&mut options, &name, &value)?;
            }
            lexopt::Arg::Long(name) => return Err(unknown_option(name)),
            lexopt::Arg::Short(letter) => return Err(unknown_option(&letter.to_string())),
        }
    }
    let Some(args) = parsed else {
        return Err(CtlError::Usage("no command is named".into()));
    };
    Ok(Request::Run(Args {
        command: args.command,
        operands: args.operands,
        ..options
    }))
}

fn command(word: &str) -> Result<&'static str, CtlError> {
    if let Some(command) = COMMANDS.into_iter().find(|command| *command == word) {
        return Ok(command);
    }
    let text = match nearest(word, COMMANDS) {
        Some(near) => format!("{word:?} is no command; the nearest is {near}"),
        None => format!("{word:?} is no command"),
    };
    Err(CtlError::Usage(text))
}

fn unknown_option(name: &str) -> CtlError {
    CtlError::Usage(match nearest(name, OPTIONS) {
        Some(near) => format!("--{name} is no option; the nearest is --{near}"),
        None => format!("--{name} is no option"),
    })
}

fn option(args: &mut Args, name: &str, value: &OsString) -> Result<(), CtlError> {
    let wrong = || CtlError::Usage(format!("--{name} has a value that can't be read"));
    let text = value.to_str().ok_or_else(wrong)?;
    match name {
        "platform" => args.platform = Some(text.to_owned()),
        "token-file" => args.token_file = Some(PathBuf::from(text)),
        "reason" => text.clone_into(&mut args.reason),
        "base" => args.base = Some(text.parse().map_err(|_| wrong())?),
        "limit" => args.limit = text.parse().map_err(|_| wrong())?,
        "entry" => args.entry = Some(text.to_owned()),
        "timeout-ms" => {
            args.timeout_ms = time::SpanMs::new(text.parse().map_err(|_| wrong())?);
        }
        "calls-per-second" => args.calls_per_second = text.parse().map_err(|_| wrong())?,
        _ => return Err(unknown_option(name)),
    }
    Ok(())
}
