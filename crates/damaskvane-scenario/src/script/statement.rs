//! A whole scenario and its statements.
//!
//! ```
//! use damaskvane_scenario::script;
//!
//! let script = script::Script::read("a.scn", "# a comment\n\nstop e1\n")?;
//! assert_eq!(script.lines[0].number, 3);
//! # Ok::<(), script::ScriptError>(())
//! ```

use damaskvane_core::{ids, time};

use crate::script::{error, expectation, fault, reader, request, set_up};

/// What operators order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Control {
    /// A backend server takes no new work.
    Drain(ids::BackendServerId),
    /// It takes work again.
    Undrain(ids::BackendServerId),
    /// A planned stop of an entry instance.
    Stop(ids::InstanceId),
}

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// What there is.
    SetUp(set_up::SetUp),
    /// A client sends a request.
    Request(request::Request),
    /// A client goes away.
    Disconnect(ids::RequestId),
    /// Something goes wrong.
    Fault(fault::Fault),
    /// Operators act.
    Control(Control),
    /// Time passes.
    Advance(time::SpanMs),
    /// Something must have happened.
    Expect(expectation::Expectation),
}

/// A statement and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// The line, from 1.
    pub number: usize,
    /// What it says.
    pub text: String,
    /// What it means.
    pub statement: Statement,
}

/// A whole scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// The file it was read from.
    pub file: String,
    /// Its statements, in order.
    pub lines: Vec<Line>,
}

impl Script {
    /// Reads a scenario; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// The first line that is no statement of the language.
    pub fn read(file: &str, text: &str) -> Result<Self, error::ScriptError> {
        let mut lines = Vec::new();
        for (index, text) in text.lines().enumerate() {
            let number = index + 1;
            if let Some(statement) = reader::read(file, number, text)? {
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
