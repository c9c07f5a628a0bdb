//! The program `damaskvane-entry`, which runs one entry instance; see `--help`.

use std::env;
use std::process;

use damaskvane_entry::settings::EntrySettings;
use damaskvane_telemetry::{command_line, settings};

const PROGRAM: &str = "damaskvane-entry";
const FLAGS: [&str; 4] = ["--settings", "--check", "--help", "--version"];
const USAGE: &str = "\
damaskvane-entry: an entry instance of damaskvane

usage: damaskvane-entry --settings FILE [--check]

  --settings FILE  the TOML settings; docs/SETTINGS.md lists every key
  --check          check the settings and exit
  --help           print this and exit
  --version        print the version and exit

exit codes: 0 stopped as asked, 1 could not start, 2 wrong command line or settings";

enum Command {
    Run { settings: String, check: bool },
    Help,
    Version,
}

fn main() -> process::ExitCode {
    match parse() {
        Ok(Command::Help) => {
            println!("{USAGE}");
            process::ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
            process::ExitCode::SUCCESS
        }
        Ok(Command::Run { settings, check }) => run(&settings, check),
        Err(error) => command_line::report_usage(PROGRAM, &error),
    }
}

fn parse() -> Result<Command, command_line::UsageError> {
    let mut parser = lexopt::Parser::from_args(env::args_os().skip(1));
    let mut settings = None;
    let mut check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("settings") => {
                settings = Some(parser.value()?.to_string_lossy().into_owned());
            }
            lexopt::Arg::Long("check") => check = true,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(Command::Help),
            lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => return Ok(Command::Version),
            other => return Err(command_line::unexpected(other, &FLAGS)),
        }
    }
    let settings = settings.ok_or(command_line::UsageError::Missing { flag: "--settings" })?;
    Ok(Command::Run { settings, check })
}

fn run(path: &str, check: bool) -> process::ExitCode {
    let settings: EntrySettings = match settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            return process::ExitCode::from(command_line::EXIT_USAGE);
        }
    };
    if check {
        println!("{path}: settings are valid");
        return process::ExitCode::SUCCESS;
    }
    match damaskvane_entry::process::run(&settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {path}: {error}");
            process::ExitCode::from(command_line::EXIT_FAILURE)
        }
    }
}
