//! Tells on-call engineers what became of a request, from the logs of the instances.

use std::path::PathBuf;
use std::process::ExitCode;

use damaskvane_gateway::explain;
use lexopt::ValueExt;

const HELP: &str = "\
damaskvane-explain: what became of a request, from the logs of the instances

Usage: damaskvane-explain --request ID FILE...

  --request ID  the request's id, as the client sent it
  FILE          logs of instances, one JSON object a line
  --help        this text
";

struct Arguments {
    request: String,
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
    let mut files = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("request") => request = Some(parser.value()?.string()?),
            lexopt::Arg::Value(file) => files.push(PathBuf::from(file)),
            lexopt::Arg::Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            other => return Err(other.unexpected()),
        }
    }
    let request = request.ok_or("no request: give --request ID")?;
    if files.is_empty() {
        return Err("no log: name one file or more".into());
    }
    Ok(Some(Arguments { request, files }))
}

fn tell(arguments: &Arguments) -> ExitCode {
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
    let story = explain::Story::of(&arguments.request, logs);
    println!("{story}");
    if story.is_known() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
