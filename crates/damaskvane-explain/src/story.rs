//! The story of one request.

use core::fmt;
use std::collections::BTreeSet;

use super::beliefs::Beliefs;
use super::line::Line;

/// What one log tells.
#[derive(Debug)]
struct Chapter {
    log: String,
    beliefs: Beliefs,
    lines: Vec<Line>,
    servers: BTreeSet<String>,
    lines_left_out: bool,
}

/// What all logs tell of a request.
#[derive(Debug)]
pub struct Explanation {
    request: String,
    chapters: Vec<Chapter>,
    logs: usize,
}

impl Explanation {
    /// Reads the logs, each with its name and its text.
    pub fn of<'a>(request: &str, logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let mut story = Self {
            request: request.to_owned(),
            chapters: Vec::new(),
            logs: 0,
        };
        for (name, text) in logs {
            story.logs += 1;
            story.chapters.extend(Chapter::read(request, name, text));
        }
        story
    }

    /// Whether any log names the request.
    #[must_use]
    pub fn is_known(&self) -> bool {
        !self.chapters.is_empty()
    }
}

impl Chapter {
    fn read(request: &str, name: &str, text: &str) -> Option<Self> {
        let mut chapter = Self {
            log: name.to_owned(),
            beliefs: Beliefs::default(),
            lines: Vec::new(),
            servers: BTreeSet::new(),
            lines_left_out: false,
        };
        let mut beliefs = Beliefs::default();
        for line in text.lines().filter_map(Line::parse) {
            beliefs.note(&line);
            if line.text("request_id") != Some(request) {
                continue;
            }
            // What was believed when the request was decided on, not what was learned later.
            chapter.beliefs = beliefs.clone();
            let server = line.text("backend_server").map(str::to_owned);
            chapter.servers.extend(server);
            chapter.lines_left_out |= line.left_out() > 0;
            chapter.lines.push(line);
        }
        (!chapter.lines.is_empty()).then_some(chapter)
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.chapters.is_empty() {
            return write!(
                f,
                "No line of {} logs names request {}. It was served without an incident and left out under \
                 load, or it met an instance whose log is missing here; add that log.",
                self.logs, self.request
            );
        }
        for chapter in &self.chapters {
            writeln!(f, "{}: request {}", chapter.log, self.request)?;
            writeln!(f, "  what the instance believed:")?;
            for line in chapter.beliefs.state() {
                writeln!(f, "    {}", line.told())?;
            }
            for server in &chapter.servers {
                match chapter.beliefs.server(server) {
                    Some(line) => writeln!(f, "    {}", line.told())?,
                    None => writeln!(f, "    no line on {server}: it was listed at the start")?,
                }
            }
            writeln!(f, "  what became of the request:")?;
            for line in &chapter.lines {
                writeln!(f, "    {}", line.told())?;
            }
            if chapter.lines_left_out {
                writeln!(
                    f,
                    "  lines were left out around it: the instance was under load"
                )?;
            }
        }
        Ok(())
    }
}
