//! Explains from the logs of instances what became of a request, and why requests were late or not served.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

use damaskvane_explain::{Explanation, costs, losses};
use lexopt::ValueExt;

const HELP: &str = "\
Explains from the logs of instances what became of a request, and why requests were late or not served.

Usage: damaskvane-explain --request ID FILE...
       damaskvane-explain losses [--json] [--plot SVG] FILE...
       damaskvane-explain costs [--json] [--plot SVG] FILE...

  --request ID  explain what became of the request for which the client sent this id
  losses        count late and unserved requests by cause, route, zone and two seconds
  costs         count bytes between zones and regions, store calls and connections by cause, zone and five seconds
  --json        print one JSON object per row, and a last one on what was read
  --plot SVG    draw the losses, or the store calls, over time into the file SVG
  FILE          read the log of an instance, one JSON object per line
  --help        print this help

The tables count only what the logs contain: for a study, set failures_per_s and successes_per_s under
[decision_log] in the settings of the instances to high values.
";

enum Command {
    Request(String),
    Losses {
        is_json: bool,
        plot: Option<PathBuf>,
    },
    Costs {
        is_json: bool,
        plot: Option<PathBuf>,
    },
}

/// The kind of table to print.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TableKind {
    Losses,
    Costs,
}

struct Arguments {
    command: Command,
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    match parse_arguments() {
        Ok(Some(arguments)) => run(&arguments),
        Ok(None) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damaskvane-explain: {error}; see --help");
            ExitCode::from(2)
        }
    }
}

fn parse_arguments() -> Result<Option<Arguments>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut request = None;
    let mut table_kind = None;
    let mut is_json = false;
    let mut plot = None;
    let mut files = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("request") => request = Some(parser.value()?.string()?),
            lexopt::Arg::Long("json") => is_json = true,
            lexopt::Arg::Long("plot") => plot = Some(PathBuf::from(parser.value()?)),
            lexopt::Arg::Value(word) if word == "losses" && files.is_empty() => {
                table_kind = Some(TableKind::Losses);
            }
            lexopt::Arg::Value(word) if word == "costs" && files.is_empty() => {
                table_kind = Some(TableKind::Costs);
            }
            lexopt::Arg::Value(file) => files.push(PathBuf::from(file)),
            lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            lexopt::Arg::Long(name) => return Err(format!("unknown option '--{name}'").into()),
            lexopt::Arg::Short(letter) => return Err(format!("unknown option '-{letter}'").into()),
        }
    }
    let command = match (request, table_kind) {
        (Some(request), None) if !is_json && plot.is_none() => Command::Request(request),
        (Some(_), _) => {
            return Err("--request excludes losses, costs, --json and --plot; choose one".into());
        }
        (None, Some(TableKind::Losses)) => Command::Losses { is_json, plot },
        (None, Some(TableKind::Costs)) => Command::Costs { is_json, plot },
        (None, None) => {
            return Err("no command; give --request ID, losses or costs before the files".into());
        }
    };
    if files.is_empty() {
        return Err("no log file; give one or more FILE arguments".into());
    }
    Ok(Some(Arguments { command, files }))
}

fn run(arguments: &Arguments) -> ExitCode {
    if let Command::Costs { is_json, plot } = &arguments.command {
        return match read_costs(&arguments.files) {
            Ok(table) => print_costs(&table, *is_json, plot.as_ref()),
            Err(error) => {
                eprintln!("damaskvane-explain: {error}");
                ExitCode::FAILURE
            }
        };
    }
    let mut logs = Vec::new();
    for file in &arguments.files {
        match std::fs::read(file) {
            Ok(bytes) => {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                logs.push((file.display().to_string(), text));
            }
            Err(error) => {
                eprintln!(
                    "damaskvane-explain: cannot read {}: {error}; check the path",
                    file.display()
                );
                return ExitCode::FAILURE;
            }
        }
    }
    let logs = logs
        .iter()
        .map(|(name, text)| (name.as_str(), text.as_str()));
    match &arguments.command {
        Command::Request(request) => print_explanation(&Explanation::of(request, logs)),
        Command::Losses { is_json, plot } => {
            print_losses(&losses::Table::of(logs), *is_json, plot.as_ref())
        }
        // Handled above, where the logs are read line by line.
        Command::Costs { .. } => ExitCode::SUCCESS,
    }
}

/// Reads logs line by line, because the logs of a day from hundreds of instances do not fit in memory.
fn read_costs(files: &[PathBuf]) -> Result<costs::Table, String> {
    let mut table = costs::Table::default();
    for file in files {
        let name = file.display().to_string();
        let read_error = |error| format!("cannot read {name}: {error}; check the path");
        let mut reader = BufReader::new(File::open(file).map_err(read_error)?);
        let mut line = Vec::new();
        for number in 1.. {
            line.clear();
            if reader.read_until(b'\n', &mut line).map_err(read_error)? == 0 {
                break;
            }
            table.read_line(&name, number, &String::from_utf8_lossy(&line));
        }
    }
    Ok(table)
}

fn print_costs(table: &costs::Table, is_json: bool, plot: Option<&PathBuf>) -> ExitCode {
    for line in table.unreadable_lines() {
        eprintln!("damaskvane-explain: {line}");
    }
    if is_json {
        for row in table.rows() {
            println!("{}", serde_json::json!(row));
        }
        let read = serde_json::json!({"lines": table.lines(),
            "lines_not_read": table.unreadable_lines().len()});
        println!("{read}");
    } else {
        println!("{table}");
    }
    plot_exit_code(plot.map(|file| costs::draw(file, table)))
}

fn plot_exit_code(result: Option<Result<(), losses::PlotError>>) -> ExitCode {
    if let Some(Err(error)) = result {
        eprintln!("damaskvane-explain: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn print_explanation(explanation: &Explanation) -> ExitCode {
    println!("{explanation}");
    if explanation.is_known() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_losses(table: &losses::Table, is_json: bool, plot: Option<&PathBuf>) -> ExitCode {
    for line in table.unreadable_lines() {
        eprintln!("damaskvane-explain: {line}");
    }
    if is_json {
        for row in table.rows() {
            println!("{}", serde_json::json!(row));
        }
        let read = serde_json::json!({"coverage": table.coverage(), "losses": table.total(),
            "lines_not_read": table.unreadable_lines().len()});
        println!("{read}");
    } else {
        println!("{table}");
    }
    plot_exit_code(plot.map(|file| losses::draw(file, table)))
}
