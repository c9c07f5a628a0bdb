//! Log lines on requests and backend servers, decoded into typed events.

use core::fmt;

use crate::line::Line;

/// The position of a log line that could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableLine {
    /// Name of the log.
    pub file: String,
    /// Number of the line, starting at 1.
    pub line: usize,
}

impl fmt::Display for UnreadableLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: no JSON object; the line is left out, check that the file is an instance's log",
            self.file, self.line
        )
    }
}

/// An exchange with a backend server that ended, with or without a response.
#[derive(Debug, Clone)]
pub(super) struct Exchange {
    pub(super) object: Option<u64>,
    pub(super) server: String,
    pub(super) server_zone: String,
    pub(super) is_answered: bool,
    pub(super) is_failed: bool,
    pub(super) took_ms: f64,
    pub(super) after_ms: f64,
    pub(super) objective_ms: f64,
    pub(super) remembered_ms: f64,
    pub(super) first_ms: f64,
    pub(super) was_sent: bool,
    pub(super) passed_over: Option<String>,
    pub(super) tried: u64,
    pub(super) load: f64,
    pub(super) waiting: f64,
}

/// The subject of a line, with the fields of that subject.
#[derive(Debug, Clone)]
pub(super) enum Subject {
    Exchange(Exchange),
    NotServed { reason: String },
    Server { server: String, change: String },
    Evacuations { zones: String },
}

/// A log line that the classification of losses uses.
#[derive(Debug, Clone)]
pub(super) struct Event {
    /// Timestamp in milliseconds since the Unix epoch, by the clock of the instance's machine.
    pub(super) at_ms: Option<u64>,
    pub(super) request: Option<String>,
    pub(super) zone: String,
    pub(super) route: String,
    pub(super) subject: Subject,
}

impl Event {
    /// Decodes a line of an instance in `zone`, and returns `None` for a line on any other subject.
    pub(super) fn from_line(line: &Line, zone: &str) -> Option<Self> {
        let subject = match line.message() {
            "exchange ended" => Subject::Exchange(exchange(line)),
            "request not served" => Subject::NotServed {
                reason: line.text("reason").unwrap_or_default().to_owned(),
            },
            "backend server" => server(line)?,
            "evacuations" => Subject::Evacuations {
                zones: line.text("zones").unwrap_or_default().to_owned(),
            },
            _ => return None,
        };
        Some(Self {
            at_ms: line.at_ms(),
            request: line.text("request_id").map(str::to_owned),
            zone: zone.to_owned(),
            route: line.text("route").unwrap_or("-").to_owned(),
            subject,
        })
    }
}

fn server(line: &Line) -> Option<Subject> {
    Some(Subject::Server {
        server: line.text("backend_server")?.to_owned(),
        change: line.text("change")?.to_owned(),
    })
}

fn exchange(line: &Line) -> Exchange {
    let number = |field| line.number(field).unwrap_or_default();
    let outcome = line.text("outcome").unwrap_or_default();
    Exchange {
        object: line.integer("object"),
        server: line.text("backend_server").unwrap_or_default().to_owned(),
        server_zone: line.text("server_zone").unwrap_or_default().to_owned(),
        is_answered: outcome == "answered",
        is_failed: outcome == "failed",
        took_ms: number("took_ms"),
        after_ms: number("after_ms"),
        objective_ms: number("objective_ms"),
        remembered_ms: number("remembered_ms"),
        first_ms: number("first_ms"),
        was_sent: line.flag("was_sent"),
        passed_over: line.text("passed_over").map(str::to_owned),
        tried: line.integer("tried").unwrap_or_default(),
        load: number("load"),
        waiting: number("waiting"),
    }
}
