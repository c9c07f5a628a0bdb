//! Runs one experiment; see `--help`.

use std::env;
use std::process;

use damaskvane_bench::commands;
use damaskvane_bench::error;
use damaskvane_telemetry::command_line;

const PROGRAM: &str = "damaskvane-bench";

fn main() -> process::ExitCode {
    let mut parser = lexopt::Parser::from_env();
    match run(&mut parser) {
        Ok(code) => code,
        Err(error::BenchError::Usage(error)) => command_line::report_usage(PROGRAM, &error),
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            process::ExitCode::from(command_line::EXIT_FAILURE)
        }
    }
}

fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, error::BenchError> {
    let names: Vec<&str> = commands::ALL.iter().map(|command| command.name).collect();
    let first = parser.next().map_err(command_line::UsageError::from)?;
    match first {
        Some(lexopt::Arg::Value(name)) => {
            let name = name.to_string_lossy().into_owned();
            let command = commands::find(&name);
            let command = command.ok_or_else(|| command_line::unknown_flag(&name, &names))?;
            (command.run)(parser)
        }
        Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V')) => {
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
            Ok(process::ExitCode::SUCCESS)
        }
        Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) | None => {
            println!("{}", commands::usage());
            Ok(process::ExitCode::SUCCESS)
        }
        Some(other) => Err(command_line::unexpected(other, &["--help", "--version"]).into()),
    }
}
