//! Tells on-call engineers what became of a request, and what was lost and why, from the logs of the instances.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

use damaskvane_explain::{Explanation, costs, losses};
use lexopt::ValueExt;

const HELP: &str = "\
damaskvane-explain: what became of requests, from the logs of the instances

Usage: damaskvane-explain --request ID FILE...
       damaskvane-explain losses [--json] [--plot SVG] FILE...
       damaskvane-explain costs [--json] [--plot SVG] FILE...

  --request ID  the request's id, as the client sent it
  losses        why requests were late or not served, by cause, route, zone and two seconds
  costs         what the instances caused that is paid for: bytes between zones and regions, calls on the store,
                connections to servers, by cause, zone and five seconds
  --json        one object for each row, and one for what was read
  --plot SVG    draws the losses, or the calls on the store, over time into this file
  FILE          logs of instances, one JSON object a line
  --help        this text

The table counts what the logs hold: set failures_per_s and successes_per_s under [decision_log] in the settings
of the instances high for a study.
";

enum Question {
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

/// What a table is wanted of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verb {
    Losses,
    Costs,
}

struct Arguments {
    question: Question,
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    match arguments() {
        Ok(Some(arguments)) => tell(&arguments),
        Ok(None) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damaskvane-explain: {error}; see --help");
            ExitCode::from(2)
        }
    }
}

fn arguments() -> Result<Option<Arguments>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut request = None;
    let mut verb = None;
    let mut is_json = false;
    let mut plot = None;
    let mut files = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("request") => request = Some(parser.value()?.string()?),
            lexopt::Arg::Long("json") => is_json = true,
            lexopt::Arg::Long("plot") => plot = Some(PathBuf::from(parser.value()?)),
            lexopt::Arg::Value(word) if word == "losses" && files.is_empty() => {
                verb = Some(Verb::Losses);
            }
            lexopt::Arg::Value(word) if word == "costs" && files.is_empty() => {
                verb = Some(Verb::Costs);
            }
            lexopt::Arg::Value(file) => files.push(PathBuf::from(file)),
            lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            other => return Err(other.unexpected()),
        }
    }
    let question = match (request, verb) {
        (Some(request), None) if !is_json && plot.is_none() => Question::Request(request),
        (Some(_), _) => return Err("--request goes with no other verb or option".into()),
        (None, Some(Verb::Losses)) => Question::Losses { is_json, plot },
        (None, Some(Verb::Costs)) => Question::Costs { is_json, plot },
        (None, None) => return Err("no question: give --request ID, or losses, or costs".into()),
    };
    if files.is_empty() {
        return Err("no log: name one file or more".into());
    }
    Ok(Some(Arguments { question, files }))
}

fn tell(arguments: &Arguments) -> ExitCode {
    if let Question::Costs { is_json, plot } = &arguments.question {
        return match read_costs(&arguments.files) {
            Ok(table) => tell_costs(&table, *is_json, plot.as_ref()),
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
                    "damaskvane-explain: {} can't be read: {error}; check its name",
                    file.display()
                );
                return ExitCode::FAILURE;
            }
        }
    }
    let logs = logs
        .iter()
        .map(|(name, text)| (name.as_str(), text.as_str()));
    match &arguments.question {
        Question::Request(request) => tell_story(&Explanation::of(request, logs)),
        Question::Losses { is_json, plot } => {
            tell_losses(&losses::Table::of(logs), *is_json, plot.as_ref())
        }
        // Answered above, line by line.
        Question::Costs { .. } => ExitCode::SUCCESS,
    }
}

/// Reads logs line by line: those of a day of hundreds of instances don't fit in memory.
fn read_costs(files: &[PathBuf]) -> Result<costs::Table, String> {
    let mut table = costs::Table::default();
    for file in files {
        let name = file.display().to_string();
        let told = |error| format!("{name} can't be read: {error}; check its name");
        let mut reader = BufReader::new(File::open(file).map_err(told)?);
        let mut line = Vec::new();
        for number in 1.. {
            line.clear();
            if reader.read_until(b'\n', &mut line).map_err(told)? == 0 {
                break;
            }
            table.read_line(&name, number, &String::from_utf8_lossy(&line));
        }
    }
    Ok(table)
}

fn tell_costs(table: &costs::Table, is_json: bool, plot: Option<&PathBuf>) -> ExitCode {
    for rejected in table.rejected() {
        eprintln!("damaskvane-explain: {rejected}");
    }
    if is_json {
        for row in table.rows() {
            println!("{}", serde_json::json!(row));
        }
        let read = serde_json::json!({"lines": table.lines(),
            "lines_not_read": table.rejected().len()});
        println!("{read}");
    } else {
        println!("{table}");
    }
    drawn(plot.map(|file| costs::draw(file, table)))
}

fn drawn(result: Option<Result<(), losses::PlotError>>) -> ExitCode {
    if let Some(Err(error)) = result {
        eprintln!("damaskvane-explain: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn tell_story(story: &Explanation) -> ExitCode {
    println!("{story}");
    if story.is_known() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn tell_losses(table: &losses::Table, is_json: bool, plot: Option<&PathBuf>) -> ExitCode {
    for rejected in table.rejected() {
        eprintln!("damaskvane-explain: {rejected}");
    }
    if is_json {
        for row in table.rows() {
            println!("{}", serde_json::json!(row));
        }
        let read = serde_json::json!({"coverage": table.coverage(), "losses": table.total(),
            "lines_not_read": table.rejected().len()});
        println!("{read}");
    } else {
        println!("{table}");
    }
    drawn(plot.map(|file| losses::draw(file, table)))
}
