//! Parses the command line.
//!
//! ```
//! use damaskvane_ctl::args;
//!
//! let error = args::parse(["check".into(), "--jsn".into()]).expect_err("unknown option");
//! assert!(error.to_string().contains("did you mean '--json'?"));
//! ```

use std::ffi::OsString;
use std::path::PathBuf;

use damaskvane_config::document::nearest;
use damaskvane_core::{ids, time};
use lexopt::ValueExt;

use crate::error::CtlError;

/// Text that `--help` prints.
pub const HELP: &str = "\
Validates, submits and inspects the configuration.

Usage: damaskvane-ctl COMMAND [OPTIONS]

Commands:
  check FILE...                 Validate declarations; with --platform, on top of the accepted configuration
  diff FILE...                  Show what declarations would change
  submit FILE... --reason TEXT  Submit declarations as one ticket
  drain SERVER --reason TEXT    Stop sending new work to a backend server
  undrain SERVER --reason TEXT  Resume sending work to a backend server
  history [--limit N]           List accepted tickets, newest first
  show [N]                      Show ticket N, or list the accepted objects
  export DIRECTORY              Write accepted tickets to files for version control
  status                        Show which version each instance has in effect
  explain SERVICE CLIENT        Show the objects and tickets that determine CLIENT's lookup response

Options:
  --platform ADDRESS     Connect to the platform's object API at host:port
  --token-file FILE      Read the access token from a file
  --reason TEXT          Give the reason of the change (submit, drain, undrain)
  --base VERSION         Name the version that FILE... was written against (submit) [default: newest]
  --limit N              Limit the number of tickets (history) [default: 20]
  --entry ADDRESS        Send the lookup to the entry instance at host:port (explain)
  --timeout-ms MS        Limit the duration of one call, in milliseconds [default: 2000]
  --calls-per-second N   Limit the rate of calls to the platform [default: 50]
  --json                 Print the result as JSON
  -h, --help             Print help
  -V, --version          Print the version

Exit codes:
  0  Success
  1  Platform, file or instance unusable
  2  Invalid command line
  3  Invalid declarations
  4  Objects changed since the base version
  5  Unknown whether the ticket was accepted
";

/// Names of the commands.
const COMMANDS: [&str; 10] = [
    "check", "diff", "submit", "drain", "undrain", "history", "show", "export", "status", "explain",
];

/// Names of the long options, without their dashes.
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

/// Action that the command line requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Print the text, which is the help or the version.
    Print(String),
    /// Run a command with its options.
    Run(Args),
}

/// Command with its operands and options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Args {
    /// Name of the command.
    pub command: &'static str,
    /// Operands of the command: files, names or numbers.
    pub operands: Vec<String>,
    /// Address of the platform's object API, as `host:port`.
    pub platform: Option<String>,
    /// Path of the file that holds the access token of the platform.
    pub token_file: Option<PathBuf>,
    /// Reason of the change; empty if not given.
    pub reason: String,
    /// Version that the declarations were written against; `None` for the newest.
    pub base: Option<ids::ConfigVersion>,
    /// Maximum number of tickets to list; 20 by default.
    pub limit: u64,
    /// Client address of the entry instance to send the lookup to, as `host:port`; `None` for no lookup.
    pub entry: Option<String>,
    /// Timeout of one call to the platform or to an instance; 2 s by default.
    pub timeout_ms: time::SpanMs,
    /// Maximum rate of calls to the platform; 50 per second by default.
    pub calls_per_second: u32,
    /// Whether the result is printed as JSON.
    pub json: bool,
}

impl Args {
    const fn with_defaults(command: &'static str) -> Self {
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

    /// Returns the operands as paths.
    #[must_use]
    pub fn paths(&self) -> Vec<PathBuf> {
        self.operands.iter().map(PathBuf::from).collect()
    }

    /// Returns the only operand; `what` describes the operand in the error.
    ///
    /// # Errors
    ///
    /// Fails if there is no operand or more than one.
    pub fn only_operand(&self, what: &str) -> Result<&str, CtlError> {
        match self.operands.as_slice() {
            [operand] => Ok(operand),
            _ => Err(CtlError::Usage(format!(
                "{} takes exactly one {what}; see --help",
                self.command
            ))),
        }
    }
}

/// Parses the command line, without the name of the program.
///
/// # Errors
///
/// Fails if the command line is invalid; the message names the most similar command or option.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Request, CtlError> {
    let usage = |error: lexopt::Error| CtlError::Usage(format!("{error}; see --help"));
    let mut parser = lexopt::Parser::from_args(args);
    let mut parsed: Option<Args> = None;
    let mut options = Args::with_defaults("");
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            lexopt::Arg::Value(word) => {
                let word = word.string().map_err(usage)?;
                match &mut parsed {
                    None => parsed = Some(Args::with_defaults(command(&word)?)),
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
        return Err(CtlError::Usage("missing command; see --help".into()));
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
        Some(near) => format!("unknown command '{word}'; did you mean '{near}'?"),
        None => format!("unknown command '{word}'; see --help"),
    };
    Err(CtlError::Usage(text))
}

fn unknown_option(name: &str) -> CtlError {
    CtlError::Usage(match nearest(name, OPTIONS) {
        Some(near) => format!("unknown option '--{name}'; did you mean '--{near}'?"),
        None => format!("unknown option '--{name}'; see --help"),
    })
}

fn option(args: &mut Args, name: &str, value: &OsString) -> Result<(), CtlError> {
    let wrong = || {
        CtlError::Usage(format!(
            "invalid value {value:?} for option '--{name}'; see --help"
        ))
    };
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
