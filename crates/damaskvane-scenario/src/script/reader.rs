//! Reads one line into one statement.
//!
//! ```text
//! first word -> kind of statement -> its words and options, in the order of docs/SCENARIOS.md
//! ```

use damaskvane_core::{time, units};
use damaskvane_dispatch::{admission, refusal};

use crate::script::error::ScriptError;
use crate::script::expectation::{Expectation, ExpectedAnswer};
use crate::script::fault::{Fault, ServerMode};
use crate::script::line::TokenLine;
use crate::script::request::Request;
use crate::script::set_up::SetUp;
use crate::script::statement::{Control, Statement};

type Read<T> = Result<T, ScriptError>;

const STATEMENTS: &str = "begin with seed, network, keys, zone, service, server, entry, get, post, \
     disconnect, fault, drain, undrain, stop, advance or expect";
const SERVICE: &str = "write: service NAME timeout=2s queue=16 time=50ms";
const SERVER: &str = "write: server NAME zone=ZONE service=SERVICE slots=2";
const REQUEST: &str = "write: get LABEL via=ENTRY service=SERVICE, or post LABEL via=ENTRY \
     service=SERVICE key=KEY home=ENTRY; options are deadline=, path=, priority=, try=, body=, times=";
const FAULT: &str = "write: fault server SERVER MODE, fault kill|restart ENTRY, fault pause ENTRY 300ms, \
     or fault cut|heal ENTRY ENTRY";
const MODE: &str =
    "write one of ok, shed, die, hang-up, swallow, silent, cut, cross, down, slow=500ms";
const EXPECT: &str = "write: expect answer|answers|runs|peak|started|cancelled|waited|retry-after|\
     incarnation|no-new-work|stopped|quarantined, as docs/SCENARIOS.md says";
const ANSWER: &str = "write completed, not-run [REASON], unknown [REASON] or none";
const COUNT: &str = "write a comparison and a number, for instance <= 2";

const DEFAULT_DEADLINE: time::SpanMs = time::SpanMs::new(2_000);
const DEFAULT_WINDOW: time::SpanMs = time::SpanMs::new(600_000);
const DEFAULT_PATH: &str = "/";

/// The statement of a line, or nothing where it is empty or a comment.
pub(super) fn read(file: &str, number: usize, text: &str) -> Read<Option<Statement>> {
    let mut line = TokenLine::new(file, number, text)?;
    if line.is_empty() {
        return Ok(None);
    }
    statement(&mut line).map(Some)
}

fn statement(line: &mut TokenLine<'_>) -> Read<Statement> {
    let word = line.word(STATEMENTS)?;
    let (statement, remedy) = match word {
        "seed" | "network" | "keys" | "zone" | "service" | "server" | "entry" => {
            (Statement::SetUp(set_up(line, word)?), SERVICE)
        }
        "get" => (Statement::Request(request(line, true)?), REQUEST),
        "post" => (Statement::Request(request(line, false)?), REQUEST),
        "disconnect" => {
            let remedy = "write: disconnect LABEL";
            (Statement::Disconnect(line.value(remedy)?), remedy)
        }
        "fault" => (Statement::Fault(fault(line)?), FAULT),
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
        "expect" => (Statement::Expect(expectation(line)?), EXPECT),
        other => {
            let problem = format!("'{other}' begins no statement");
            return Err(line.error(&problem, STATEMENTS));
        }
    };
    line.end(remedy)?;
    Ok(statement)
}

fn set_up(line: &mut TokenLine<'_>, word: &str) -> Read<SetUp> {
    match word {
        "seed" => Ok(SetUp::Seed(line.value("write: seed 7")?)),
        "keys" => keys(line),
        "zone" => Ok(SetUp::Zone(line.value("write: zone sask-a")?)),
        "network" => network(line),
        "service" => service(line),
        "server" => server(line),
        _ => entry(line),
    }
}

fn network(line: &mut TokenLine<'_>) -> Read<SetUp> {
    let remedy = "write: network delay=1ms jitter=2ms loss=20, loss in thousandths";
    Ok(SetUp::Network {
        delay: line.span_option("delay", remedy)?.unwrap_or_default(),
        jitter: line.span_option("jitter", remedy)?.unwrap_or_default(),
        loss_permille: line.option("loss", remedy)?.unwrap_or(0),
    })
}

fn keys(line: &mut TokenLine<'_>) -> Read<SetUp> {
    let remedy = "write: keys most=100 window=10m";
    Ok(SetUp::Keys {
        max_keys: line.needed("most", remedy)?,
        window: line
            .span_option("window", remedy)?
            .unwrap_or(DEFAULT_WINDOW),
    })
}

fn service(line: &mut TokenLine<'_>) -> Read<SetUp> {
    Ok(SetUp::Service {
        service: line.value(SERVICE)?,
        timeout: line
            .span_option("timeout", SERVICE)?
            .unwrap_or(DEFAULT_DEADLINE),
        queue: line.option("queue", SERVICE)?.unwrap_or(16),
        time: line
            .span_option("time", SERVICE)?
            .unwrap_or(time::SpanMs::new(50)),
    })
}

fn server(line: &mut TokenLine<'_>) -> Read<SetUp> {
    Ok(SetUp::Server {
        server: line.value(SERVER)?,
        zone: line.needed("zone", SERVER)?,
        service: line.needed("service", SERVER)?,
        slots: units::Slots::new(line.option("slots", SERVER)?.unwrap_or(1)),
    })
}

fn entry(line: &mut TokenLine<'_>) -> Read<SetUp> {
    let remedy = "write: entry NAME zone=ZONE";
    Ok(SetUp::Entry {
        instance: line.value(remedy)?,
        zone: line.needed("zone", remedy)?,
    })
}

fn request(line: &mut TokenLine<'_>, is_repeatable: bool) -> Read<Request> {
    let label = line.value(REQUEST)?;
    let (key, home, try_number) = if is_repeatable {
        (None, None, 0)
    } else {
        let key = line.needed("key", REQUEST)?;
        let home = line.needed("home", REQUEST)?;
        let try_number = line.option("try", REQUEST)?.unwrap_or(0);
        (Some(key), Some(home), try_number)
    };
    Ok(Request {
        label,
        is_repeatable,
        via: line.needed("via", REQUEST)?,
        service: line.needed("service", REQUEST)?,
        key,
        home,
        try_number,
        body: line.option("body", REQUEST)?.unwrap_or_default(),
        path: line
            .option("path", REQUEST)?
            .unwrap_or_else(|| DEFAULT_PATH.to_owned()),
        deadline: line
            .span_option("deadline", REQUEST)?
            .unwrap_or(DEFAULT_DEADLINE),
        priority: line
            .option("priority", REQUEST)?
            .unwrap_or(admission::Priority::Normal),
        times: line.option("times", REQUEST)?.unwrap_or(1),
    })
}

fn fault(line: &mut TokenLine<'_>) -> Read<Fault> {
    match line.word(FAULT)? {
        "server" => Ok(Fault::Server {
            server: line.value(FAULT)?,
            mode: mode(line)?,
        }),
        "kill" => Ok(Fault::Kill(line.value(FAULT)?)),
        "restart" => Ok(Fault::Restart(line.value(FAULT)?)),
        "pause" => Ok(Fault::Pause {
            instance: line.value(FAULT)?,
            span: line.span(FAULT)?,
        }),
        "cut" => Ok(Fault::Cut(line.value(FAULT)?, line.value(FAULT)?)),
        "heal" => Ok(Fault::Heal(line.value(FAULT)?, line.value(FAULT)?)),
        other => Err(line.error(&format!("there is no fault '{other}'"), FAULT)),
    }
}

fn mode(line: &mut TokenLine<'_>) -> Read<ServerMode> {
    if let Some(span) = line.span_option("slow", MODE)? {
        return Ok(ServerMode::Slow(span));
    }
    match line.word(MODE)? {
        "ok" => Ok(ServerMode::Healthy),
        "shed" => Ok(ServerMode::Shed),
        "die" => Ok(ServerMode::Die),
        "hang-up" => Ok(ServerMode::HangUp),
        "swallow" => Ok(ServerMode::Swallow),
        "silent" => Ok(ServerMode::Silent),
        "cut" => Ok(ServerMode::Cut),
        "cross" => Ok(ServerMode::Cross),
        "down" => Ok(ServerMode::Down),
        other => Err(line.error(&format!("there is no mode '{other}'"), MODE)),
    }
}

fn expectation(line: &mut TokenLine<'_>) -> Read<Expectation> {
    match line.word(EXPECT)? {
        "answer" => Ok(Expectation::Answer {
            label: line.value(EXPECT)?,
            expected: answer(line)?,
        }),
        "answers" => Ok(Expectation::Answers {
            label: line.value(EXPECT)?,
            expected: answer(line)?,
            count: line.comparison(COUNT)?,
        }),
        "runs" => Ok(Expectation::Runs {
            key: line.value(EXPECT)?,
            count: line.comparison(COUNT)?,
        }),
        "peak" => Ok(Expectation::Peak {
            server: line.value(EXPECT)?,
            count: line.comparison(COUNT)?,
        }),
        "started" => Ok(Expectation::Started {
            server: line.value(EXPECT)?,
            count: line.comparison(COUNT)?,
        }),
        "cancelled" => Ok(Expectation::Cancelled {
            server: line.value(EXPECT)?,
            count: line.comparison(COUNT)?,
        }),
        "waited" => Ok(Expectation::Waited {
            label: line.value(EXPECT)?,
            wait_ms: line.comparison(COUNT)?,
        }),
        "retry-after" => Ok(Expectation::RetryAfter {
            label: line.value(EXPECT)?,
            wait_ms: line.comparison(COUNT)?,
        }),
        "incarnation" => Ok(Expectation::Incarnation {
            instance: line.value(EXPECT)?,
            number: line.comparison(COUNT)?,
        }),
        "no-new-work" => Ok(Expectation::NoNewWork(line.value(EXPECT)?)),
        "stopped" => Ok(Expectation::Stopped(line.value(EXPECT)?)),
        "quarantined" => Ok(Expectation::Quarantined(line.word(EXPECT)?.to_owned())),
        other => Err(line.error(&format!("'{other}' can't be expected"), EXPECT)),
    }
}

fn answer(line: &mut TokenLine<'_>) -> Read<ExpectedAnswer> {
    match line.word(ANSWER)? {
        "completed" => Ok(ExpectedAnswer::Completed),
        "none" => Ok(ExpectedAnswer::None),
        "not-run" => Ok(ExpectedAnswer::NotRun(reason(line)?)),
        "unknown" => Ok(ExpectedAnswer::Unknown(reason(line)?)),
        other => Err(line.error(&format!("'{other}' is no answer"), ANSWER)),
    }
}

fn reason(line: &mut TokenLine<'_>) -> Read<Option<refusal::RefusalReason>> {
    let Some(word) = line.optional_word() else {
        return Ok(None);
    };
    let parsed = word.parse().map_err(|_| {
        let problem = format!("there is no refusal reason '{word}'");
        line.error(&problem, "write a word of docs/COUNTERS.md")
    })?;
    Ok(Some(parsed))
}
