//! The scenario language: one statement a line, read into typed statements.
//!
//! ```
//! use damaskvane_scenario::script;
//!
//! let read = script::Script::read("a.scn", "advance 200ms\n")?;
//! assert_eq!(read.lines.len(), 1);
//! # Ok::<(), script::ScriptError>(())
//! ```

mod error;
mod expectation;
mod fault;
mod line;
mod reader;
mod request;
mod set_up;
mod statement;
mod token;

pub use error::ScriptError;
pub use expectation::{Comparison, Expectation, ExpectedAnswer, Operator};
pub use fault::{Fault, ServerMode};
pub use request::Request;
pub use set_up::SetUp;
pub use statement::{Control, Line, Script, Statement};
