//! The scenario language: parses a script of one statement per line into typed statements.
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
mod parser;
mod request;
mod set_up;
mod statement;
mod token;

pub use error::ScriptError;
pub use expectation::{Comparison, Expectation, ExpectedResponse, Operator};
pub use fault::{Fault, ServerMode};
pub use request::Request;
pub use set_up::SetUp;
pub use statement::{Control, Line, Script, Statement};
