//! A parsed script and its statements.
//!
//! ```
//! use damaskvane_scenario::script;
//!
//! let script = script::Script::read("a.scn", "# a comment\n\nstop e1\n")?;
//! assert_eq!(script.lines[0].number, 3);
//! # Ok::<(), script::ScriptError>(())
//! ```

use damaskvane_core::{ids, time};

use crate::script::{error, expectation, fault, parser, request, set_up};

/// An operator's command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Control {
    /// Drains a backend server: it gets no new requests.
    Drain(ids::BackendServerId),
    /// Ends the drain of a backend server.
    Undrain(ids::BackendServerId),
    /// Begins the planned stop of an entry instance.
    Stop(ids::InstanceId),
}

/// A statement of the scenario language.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Sets a parameter or declares a zone, service, backend server or entry instance.
    SetUp(set_up::SetUp),
    /// Sends a request, or a series of requests, from a client.
    Request(request::Request),
    /// Closes the connection of the client that sent this request.
    Disconnect(ids::RequestId),
    /// Injects or ends a fault.
    Fault(fault::Fault),
    /// Runs an operator's command.
    Control(Control),
    /// Advances the virtual time.
    Advance(time::SpanMs),
    /// Checks a condition on the world.
    Expect(expectation::Expectation),
}

/// A statement with its position in the script.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// The line number, counted from 1.
    pub number: usize,
    /// The text of the line, without surrounding white space.
    pub text: String,
    /// The parsed form of `text`.
    pub statement: Statement,
}

/// A parsed scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// The file name, which failures and syntax errors name.
    pub file: String,
    /// The statements in the order of the file, without blank lines and comments.
    pub lines: Vec<Line>,
}

impl Script {
    /// Parses the text of a scenario; `file` is only used in error messages.
    ///
    /// # Errors
    ///
    /// Returns the syntax error of the first invalid line.
    pub fn read(file: &str, text: &str) -> Result<Self, error::ScriptError> {
        let mut lines = Vec::new();
        for (index, text) in text.lines().enumerate() {
            let number = index + 1;
            if let Some(statement) = parser::parse_line(file, number, text)? {
                lines.push(Line {
                    number,
                    text: text.trim().to_owned(),
                    statement,
                });
            }
        }
        Ok(Self {
            file: file.to_owned(),
            lines,
        })
    }
}
