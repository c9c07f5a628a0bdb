//! The explanation of one request: its log lines and the state of the instances that handled it.

use core::fmt;
use std::collections::BTreeSet;

use super::instance_state::InstanceState;
use super::line::Line;

/// The lines on a request in one log, with the instance's state at the last of these lines.
#[derive(Debug)]
struct LogExcerpt {
    log: String,
    instance_state: InstanceState,
    lines: Vec<Line>,
    servers: BTreeSet<String>,
    lines_left_out: bool,
}

/// The lines of all given logs on one request, with the state of the instances that handled the request.
#[derive(Debug)]
pub struct Explanation {
    request: String,
    excerpts: Vec<LogExcerpt>,
    logs: usize,
}

impl Explanation {
    /// Searches `logs`, pairs of a log's name and text, for the request with the id `request`.
    pub fn of<'a>(request: &str, logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let mut explanation = Self {
            request: request.to_owned(),
            excerpts: Vec::new(),
            logs: 0,
        };
        for (name, text) in logs {
            explanation.logs += 1;
            explanation
                .excerpts
                .extend(LogExcerpt::read(request, name, text));
        }
        explanation
    }

    /// Returns whether any log has a line on the request.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.excerpts.is_empty()
    }
}

impl LogExcerpt {
    fn read(request: &str, name: &str, text: &str) -> Option<Self> {
        let mut excerpt = Self {
            log: name.to_owned(),
            instance_state: InstanceState::default(),
            lines: Vec::new(),
            servers: BTreeSet::new(),
            lines_left_out: false,
        };
        let mut instance_state = InstanceState::default();
        for line in text.lines().filter_map(Line::parse) {
            instance_state.record(&line);
            if line.text("request_id") != Some(request) {
                continue;
            }
            // The state when the request was handled; later lines on the state are ignored.
            excerpt.instance_state = instance_state.clone();
            let server = line.text("backend_server").map(str::to_owned);
            excerpt.servers.extend(server);
            excerpt.lines_left_out |= line.left_out() > 0;
            excerpt.lines.push(line);
        }
        (!excerpt.lines.is_empty()).then_some(excerpt)
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.excerpts.is_empty() {
            return write!(
                f,
                "No line of {} logs names request {}. It was served without an incident and left out under \
                 load, or it met an instance whose log is missing here; add that log.",
                self.logs, self.request
            );
        }
        for excerpt in &self.excerpts {
            writeln!(f, "{}: request {}", excerpt.log, self.request)?;
            writeln!(f, "  what the instance believed:")?;
            for line in excerpt.instance_state.process_lines() {
                writeln!(f, "    {}", line.to_text())?;
            }
            for server in &excerpt.servers {
                match excerpt.instance_state.server_line(server) {
                    Some(line) => writeln!(f, "    {}", line.to_text())?,
                    None => writeln!(f, "    no line on {server}: it was listed at the start")?,
                }
            }
            writeln!(f, "  what became of the request:")?;
            for line in &excerpt.lines {
                writeln!(f, "    {}", line.to_text())?;
            }
            if excerpt.lines_left_out {
                writeln!(
                    f,
                    "  lines were left out around it: the instance was under load"
                )?;
            }
        }
        Ok(())
    }
}
