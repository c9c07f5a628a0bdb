//! Parses one line of a script into one statement.
//!
//! ```text
//! first word -> kind of statement -> words and options of this kind, in the order of docs/SCENARIOS.md
//! ```

use damaskvane_core::{time, units};
use damaskvane_dispatch::{admission, refusal};

use crate::script::error::ScriptError;
use crate::script::expectation::{Expectation, ExpectedResponse};
use crate::script::fault::{Fault, ServerMode};
use crate::script::line::TokenLine;
use crate::script::request::Request;
use crate::script::set_up::SetUp;
use crate::script::statement::{Control, Statement};

type ParseResult<T> = Result<T, ScriptError>;

const STATEMENT_REMEDY: &str = "begin with seed, network, keys, zone, service, server, entry, get, post, \
     disconnect, fault, drain, undrain, stop, advance or expect";
const SERVICE_REMEDY: &str = "write: service NAME timeout=2s queue=16 time=50ms";
const SERVER_REMEDY: &str = "write: server NAME zone=ZONE service=SERVICE slots=2";
const REQUEST_REMEDY: &str = "write: get LABEL via=ENTRY service=SERVICE, or post LABEL via=ENTRY \
     service=SERVICE key=KEY home=ENTRY; options are deadline=, path=, priority=, try=, body=, times=";
const FAULT_REMEDY: &str = "write: fault server SERVER MODE, fault kill|restart ENTRY, fault pause ENTRY 300ms, \
     or fault cut|heal ENTRY ENTRY";
const MODE_REMEDY: &str =
    "write one of ok, shed, die, hang-up, swallow, silent, cut, cross, down, slow=500ms";
const EXPECT_REMEDY: &str = "write: expect answer|answers|runs|peak|started|cancelled|waited|retry-after|\
     incarnation|no-new-work|stopped|quarantined, as docs/SCENARIOS.md says";
const RESPONSE_REMEDY: &str = "write completed, not-run [REASON], unknown [REASON] or none";
const COUNT_REMEDY: &str = "write a comparison and a number, for instance <= 2";

const DEFAULT_DEADLINE: time::SpanMs = time::SpanMs::new(2_000);
const DEFAULT_KEY_WINDOW: time::SpanMs = time::SpanMs::new(600_000);
const DEFAULT_PATH: &str = "/";

/// Parses a line; returns `None` for a blank line or a comment.
pub(super) fn parse_line(file: &str, number: usize, text: &str) -> ParseResult<Option<Statement>> {
    let mut line = TokenLine::new(file, number, text)?;
    if line.is_empty() {
        return Ok(None);
    }
    parse_statement(&mut line).map(Some)
}

fn parse_statement(line: &mut TokenLine<'_>) -> ParseResult<Statement> {
    let word = line.word(STATEMENT_REMEDY)?;
    let (statement, remedy) = match word {
        "seed" | "network" | "keys" | "zone" | "service" | "server" | "entry" => {
            (Statement::SetUp(parse_set_up(line, word)?), SERVICE_REMEDY)
        }
        "get" => (
            Statement::Request(parse_request(line, true)?),
            REQUEST_REMEDY,
        ),
        "post" => (
            Statement::Request(parse_request(line, false)?),
            REQUEST_REMEDY,
        ),
        "disconnect" => {
            let remedy = "write: disconnect LABEL";
            (Statement::Disconnect(line.value(remedy)?), remedy)
        }
        "fault" => (Statement::Fault(parse_fault(line)?), FAULT_REMEDY),
        "drain" => {
            let remedy = "write: drain SERVER";
            let server = line.value(remedy)?;
            (Statement::Control(Control::Drain(server)), remedy)
        }
        "undrain" => {
            let remedy = "write: undrain SERVER";
            let server = line.value(remedy)?;
            (Statement::Control(Control::Undrain(server)), remedy)
        }
        "stop" => {
            let remedy = "write: stop ENTRY";
            let instance = line.value(remedy)?;
            (Statement::Control(Control::Stop(instance)), remedy)
        }
        "advance" => {
            let remedy = "write: advance SPAN";
            (Statement::Advance(line.span(remedy)?), remedy)
        }
        "expect" => (Statement::Expect(parse_expectation(line)?), EXPECT_REMEDY),
        other => {
            let problem = format!("'{other}' begins no statement");
            return Err(line.error(&problem, STATEMENT_REMEDY));
        }
    };
    line.expect_end(remedy)?;
    Ok(statement)
}

fn parse_set_up(line: &mut TokenLine<'_>, word: &str) -> ParseResult<SetUp> {
    match word {
        "seed" => Ok(SetUp::Seed(line.value("write: seed 7")?)),
        "keys" => parse_keys(line),
        "zone" => Ok(SetUp::Zone(line.value("write: zone sask-a")?)),
        "network" => parse_network(line),
        "service" => parse_service(line),
        "server" => parse_server(line),
        _ => parse_entry(line),
    }
}

fn parse_network(line: &mut TokenLine<'_>) -> ParseResult<SetUp> {
    let remedy = "write: network delay=1ms jitter=2ms loss=20, loss in thousandths";
    Ok(SetUp::Network {
        delay: line.span_option("delay", remedy)?.unwrap_or_default(),
        jitter: line.span_option("jitter", remedy)?.unwrap_or_default(),
        loss_permille: line.option("loss", remedy)?.unwrap_or(0),
    })
}

fn parse_keys(line: &mut TokenLine<'_>) -> ParseResult<SetUp> {
    let remedy = "write: keys most=100 window=10m";
    Ok(SetUp::Keys {
        max_keys: line.required_option("most", remedy)?,
        window: line
            .span_option("window", remedy)?
            .unwrap_or(DEFAULT_KEY_WINDOW),
    })
}

fn parse_service(line: &mut TokenLine<'_>) -> ParseResult<SetUp> {
    Ok(SetUp::Service {
        service: line.value(SERVICE_REMEDY)?,
        timeout: line
            .span_option("timeout", SERVICE_REMEDY)?
            .unwrap_or(DEFAULT_DEADLINE),
        queue: line.option("queue", SERVICE_REMEDY)?.unwrap_or(16),
        time: line
            .span_option("time", SERVICE_REMEDY)?
            .unwrap_or(time::SpanMs::new(50)),
    })
}

fn parse_server(line: &mut TokenLine<'_>) -> ParseResult<SetUp> {
    Ok(SetUp::Server {
        server: line.value(SERVER_REMEDY)?,
        zone: line.required_option("zone", SERVER_REMEDY)?,
        service: line.required_option("service", SERVER_REMEDY)?,
        slots: units::Slots::new(line.option("slots", SERVER_REMEDY)?.unwrap_or(1)),
    })
}

fn parse_entry(line: &mut TokenLine<'_>) -> ParseResult<SetUp> {
    let remedy = "write: entry NAME zone=ZONE";
    Ok(SetUp::Entry {
        instance: line.value(remedy)?,
        zone: line.required_option("zone", remedy)?,
    })
}

fn parse_request(line: &mut TokenLine<'_>, is_repeatable: bool) -> ParseResult<Request> {
    let label = line.value(REQUEST_REMEDY)?;
    let (key, home, try_number) = if is_repeatable {
        (None, None, 0)
    } else {
        let key = line.required_option("key", REQUEST_REMEDY)?;
        let home = line.required_option("home", REQUEST_REMEDY)?;
        let try_number = line.option("try", REQUEST_REMEDY)?.unwrap_or(0);
        (Some(key), Some(home), try_number)
    };
    Ok(Request {
        label,
        is_repeatable,
        via: line.required_option("via", REQUEST_REMEDY)?,
        service: line.required_option("service", REQUEST_REMEDY)?,
        key,
        home,
        try_number,
        body: line.option("body", REQUEST_REMEDY)?.unwrap_or_default(),
        path: line
            .option("path", REQUEST_REMEDY)?
            .unwrap_or_else(|| DEFAULT_PATH.to_owned()),
        deadline: line
            .span_option("deadline", REQUEST_REMEDY)?
            .unwrap_or(DEFAULT_DEADLINE),
        priority: line
            .option("priority", REQUEST_REMEDY)?
            .unwrap_or(admission::Priority::Normal),
        times: line.option("times", REQUEST_REMEDY)?.unwrap_or(1),
    })
}

fn parse_fault(line: &mut TokenLine<'_>) -> ParseResult<Fault> {
    match line.word(FAULT_REMEDY)? {
        "server" => Ok(Fault::Server {
            server: line.value(FAULT_REMEDY)?,
            mode: parse_mode(line)?,
        }),
        "kill" => Ok(Fault::Kill(line.value(FAULT_REMEDY)?)),
        "restart" => Ok(Fault::Restart(line.value(FAULT_REMEDY)?)),
        "pause" => Ok(Fault::Pause {
            instance: line.value(FAULT_REMEDY)?,
            span: line.span(FAULT_REMEDY)?,
        }),
        "cut" => Ok(Fault::Cut(
            line.value(FAULT_REMEDY)?,
            line.value(FAULT_REMEDY)?,
        )),
        "heal" => Ok(Fault::Heal(
            line.value(FAULT_REMEDY)?,
            line.value(FAULT_REMEDY)?,
        )),
        other => Err(line.error(&format!("there is no fault '{other}'"), FAULT_REMEDY)),
    }
}

fn parse_mode(line: &mut TokenLine<'_>) -> ParseResult<ServerMode> {
    if let Some(span) = line.span_option("slow", MODE_REMEDY)? {
        return Ok(ServerMode::Slow(span));
    }
    match line.word(MODE_REMEDY)? {
        "ok" => Ok(ServerMode::Healthy),
        "shed" => Ok(ServerMode::Shed),
        "die" => Ok(ServerMode::Die),
        "hang-up" => Ok(ServerMode::HangUp),
        "swallow" => Ok(ServerMode::Swallow),
        "silent" => Ok(ServerMode::Silent),
        "cut" => Ok(ServerMode::Cut),
        "cross" => Ok(ServerMode::Cross),
        "down" => Ok(ServerMode::Down),
        other => Err(line.error(&format!("there is no mode '{other}'"), MODE_REMEDY)),
    }
}

fn parse_expectation(line: &mut TokenLine<'_>) -> ParseResult<Expectation> {
    match line.word(EXPECT_REMEDY)? {
        "answer" => Ok(Expectation::Response {
            label: line.value(EXPECT_REMEDY)?,
            expected: parse_response(line)?,
        }),
        "answers" => Ok(Expectation::Responses {
            label: line.value(EXPECT_REMEDY)?,
            expected: parse_response(line)?,
            count: line.comparison(COUNT_REMEDY)?,
        }),
        "runs" => Ok(Expectation::Runs {
            key: line.value(EXPECT_REMEDY)?,
            count: line.comparison(COUNT_REMEDY)?,
        }),
        "peak" => Ok(Expectation::Peak {
            server: line.value(EXPECT_REMEDY)?,
            count: line.comparison(COUNT_REMEDY)?,
        }),
        "started" => Ok(Expectation::Started {
            server: line.value(EXPECT_REMEDY)?,
            count: line.comparison(COUNT_REMEDY)?,
        }),
        "cancelled" => Ok(Expectation::Cancelled {
            server: line.value(EXPECT_REMEDY)?,
            count: line.comparison(COUNT_REMEDY)?,
        }),
        "waited" => Ok(Expectation::Waited {
            label: line.value(EXPECT_REMEDY)?,
            wait_ms: line.comparison(COUNT_REMEDY)?,
        }),
        "retry-after" => Ok(Expectation::RetryAfter {
            label: line.value(EXPECT_REMEDY)?,
            wait_ms: line.comparison(COUNT_REMEDY)?,
        }),
        "incarnation" => Ok(Expectation::Incarnation {
            instance: line.value(EXPECT_REMEDY)?,
            number: line.comparison(COUNT_REMEDY)?,
        }),
        "no-new-work" => Ok(Expectation::NoNewWork(line.value(EXPECT_REMEDY)?)),
        "stopped" => Ok(Expectation::Stopped(line.value(EXPECT_REMEDY)?)),
        "quarantined" => Ok(Expectation::Quarantined(
            line.word(EXPECT_REMEDY)?.to_owned(),
        )),
        other => Err(line.error(&format!("'{other}' can't be expected"), EXPECT_REMEDY)),
    }
}

fn parse_response(line: &mut TokenLine<'_>) -> ParseResult<ExpectedResponse> {
    match line.word(RESPONSE_REMEDY)? {
        "completed" => Ok(ExpectedResponse::Completed),
        "none" => Ok(ExpectedResponse::None),
        "not-run" => Ok(ExpectedResponse::NotRun(parse_reason(line)?)),
        "unknown" => Ok(ExpectedResponse::Unknown(parse_reason(line)?)),
        other => Err(line.error(&format!("'{other}' is no answer"), RESPONSE_REMEDY)),
    }
}

fn parse_reason(line: &mut TokenLine<'_>) -> ParseResult<Option<refusal::RefusalReason>> {
    let Some(word) = line.optional_word() else {
        return Ok(None);
    };
    let parsed = word.parse().map_err(|_| {
        let problem = format!("there is no refusal reason '{word}'");
        line.error(&problem, "write a word of docs/COUNTERS.md")
    })?;
    Ok(Some(parsed))
}
