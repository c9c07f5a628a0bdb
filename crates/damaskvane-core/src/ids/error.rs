//! The error type of parsing an identifier.
//!
//! ```
//! use damaskvane_core::ids;
//!
//! let error = "".parse::<ids::SiteId>().expect_err("empty");
//! assert!(error.to_string().contains("1 to 64"));
//! ```

/// The reason why a text could not be parsed as an identifier.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ParseIdError {
    /// a {kind} has {length} characters; use 1 to 64
    Length {
        /// The kind of identifier, for instance `service`.
        kind: &'static str,
        /// The length of the text in bytes.
        length: usize,
    },
    /// a {kind} holds the character {character:?}; use only a-z, 0-9, '-', '_' and '.'
    Character {
        /// The kind of identifier, for instance `service`.
        kind: &'static str,
        /// The first character that is not allowed.
        character: char,
    },
    /// {text:?} is no {kind}; write a whole number
    Number {
        /// The kind of identifier, for instance `ticket number`.
        kind: &'static str,
        /// The text that could not be parsed.
        text: String,
    },
}
