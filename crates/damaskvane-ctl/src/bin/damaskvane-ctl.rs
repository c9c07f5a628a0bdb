//! Command-line tool with which operators validate, submit and inspect the configuration.

use core::fmt::Display;
use std::fs;
use std::process::ExitCode;
use std::time::SystemTime;

use damaskvane_core::ids;
use damaskvane_ctl::args::{self, Args, Request};
use damaskvane_ctl::command::{self, SubmitRequest};
use damaskvane_ctl::error::CtlError;
use damaskvane_ctl::fetch;
use damaskvane_ctl::store;
use damaskvane_objects::backoff::{Backoff, BackoffSettings};
use damaskvane_objects::http::{HttpObjectApi, PlatformSettings};
use serde::Serialize;
use serde_json::Value;

fn main() -> ExitCode {
    match args::parse(std::env::args_os().skip(1)) {
        Ok(Request::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Request::Run(args)) => match run(&args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error, args.json),
        },
        Err(error) => fail(&error, false),
    }
}

fn fail(error: &CtlError, json: bool) -> ExitCode {
    if json {
        println!("{}", error.to_json());
    } else {
        eprintln!("damaskvane-ctl: {error}");
        for line in error.details() {
            eprintln!("  {line}");
        }
    }
    ExitCode::from(error.exit_code())
}

fn run(args: &Args) -> Result<(), CtlError> {
    match args.command {
        "check" => check(args),
        "diff" => {
            let document = command::read_document(&args.paths())?;
            let accepted = store::read_accepted(&platform(args)?)?;
            print(args, &command::diff(&document, &accepted)?)
        }
        "submit" => submit(args),
        "drain" => drain(args, true),
        "undrain" => drain(args, false),
        "history" => print(args, &command::history(&platform(args)?, args.limit)?),
        "show" if args.operands.is_empty() => {
            print(args, &command::show_objects(&platform(args)?)?)
        }
        "show" => {
            let number = parse(args.only_operand("ticket number")?)?;
            print(args, &command::show(&platform(args)?, number)?)
        }
        "export" => {
            let directory = args.only_operand("directory")?;
            print(
                args,
                &command::export(&platform(args)?, directory.as_ref())?,
            )
        }
        "status" => print(args, &command::status(&platform(args)?, args.timeout_ms)?),
        "explain" => explain(args),
        other => Err(CtlError::Usage(format!(
            "unknown command '{other}'; see --help"
        ))),
    }
}

fn check(args: &Args) -> Result<(), CtlError> {
    let document = command::read_document(&args.paths())?;
    let accepted = match args.platform {
        Some(_) => Some(store::read_accepted(&platform(args)?)?),
        None => None,
    };
    print(args, &command::check(&document, accepted.as_ref())?)
}

fn submit(args: &Args) -> Result<(), CtlError> {
    let document = command::read_document(&args.paths())?;
    let request = SubmitRequest {
        base: args.base,
        ..SubmitRequest::of(&document)
    };
    let result = submit_request(args, request);
    result.map_err(|error| command::add_places(error, &document))
}

fn drain(args: &Args, draining: bool) -> Result<(), CtlError> {
    let server: ids::BackendServerId = parse(args.only_operand("backend server")?)?;
    let accepted = store::read_accepted(&platform(args)?)?;
    let request = command::set_draining(&accepted, &server, draining)?;
    submit_request(args, request)
}

fn submit_request(args: &Args, request: SubmitRequest) -> Result<(), CtlError> {
    let since_1970 = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    let nonce = since_1970.as_nanos() ^ (u128::from(std::process::id()) << 96);
    let request = SubmitRequest {
        reason: args.reason.clone(),
        now_unix_ms: u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX),
        nonce,
        ..request
    };
    let seed = u64::from(std::process::id()) ^ u64::from(since_1970.subsec_nanos());
    let mut backoff = Backoff::new(BackoffSettings::default(), seed);
    print(
        args,
        &command::submit(&platform(args)?, request, &mut backoff)?,
    )
}

fn explain(args: &Args) -> Result<(), CtlError> {
    let [service, client] = args.operands.as_slice() else {
        let text = "explain takes exactly one service and one client block; see --help";
        return Err(CtlError::Usage(text.into()));
    };
    let accepted = store::read_accepted(&platform(args)?)?;
    let response = match &args.entry {
        Some(entry) => Some(look_up(args, entry, service, client)?),
        None => None,
    };
    let report = command::explain(&accepted, parse(service)?, parse(client)?, response)?;
    print(args, &report)
}

fn look_up(args: &Args, entry: &str, service: &str, client: &str) -> Result<Value, CtlError> {
    let url = format!("http://{entry}/v1/lookup");
    let query = [("service", service), ("client", client)];
    Ok(fetch::json(&url, &query, args.timeout_ms)?)
}

fn platform(args: &Args) -> Result<HttpObjectApi, CtlError> {
    let missing =
        |option: &str| CtlError::Usage(format!("missing option '--{option}'; see --help"));
    let address = args.platform.clone().ok_or_else(|| missing("platform"))?;
    let path = args
        .token_file
        .as_ref()
        .ok_or_else(|| missing("token-file"))?;
    let text = fs::read_to_string(path).map_err(|error| CtlError::File {
        path: path.display().to_string(),
        error,
    })?;
    let token = parse(&text)?;
    Ok(HttpObjectApi::new(PlatformSettings {
        timeout_ms: args.timeout_ms,
        calls_per_second: args.calls_per_second,
        ..PlatformSettings::new(address, token)
    }))
}

fn parse<T: core::str::FromStr<Err: Display>>(text: &str) -> Result<T, CtlError> {
    text.parse()
        .map_err(|error: T::Err| CtlError::Usage(error.to_string()))
}

fn print(args: &Args, report: &(impl Serialize + Display)) -> Result<(), CtlError> {
    if args.json {
        let text = serde_json::to_string(report);
        println!(
            "{}",
            text.map_err(|error| CtlError::InvalidData(format!(
                "the report can't be encoded as JSON ({error}); run the command without --json"
            )))?
        );
    } else {
        println!("{report}");
    }
    Ok(())
}
