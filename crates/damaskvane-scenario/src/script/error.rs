//! A mistake in a scenario file.
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
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What is wrong there.
    pub problem: String,
    /// What to write in its place.
    pub remedy: String,
}
