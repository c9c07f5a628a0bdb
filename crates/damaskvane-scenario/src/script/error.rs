//! The syntax error of a scenario file.
//!
//! ```
//! use damaskvane_scenario::script;
//!
//! let error = script::Script::read("a.scn", "advanec 200ms").unwrap_err();
//! assert!(error.to_string().starts_with("a.scn:1:1: "));
//! ```

/// {file}:{line}:{column}: {problem}; {remedy}
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ScriptError {
    /// The file name that was given to the parser.
    pub file: String,
    /// The line number, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The error at this position.
    pub problem: String,
    /// The syntax to write instead.
    pub remedy: String,
}
