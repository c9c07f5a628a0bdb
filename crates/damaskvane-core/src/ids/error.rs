//! The error of parsing an identifier.
//!
//! ```
//! use damaskvane_core::ids;
//!
//! let error = "".parse::<ids::SiteId>().expect_err("empty");
//! assert!(error.to_string().contains("1 to 64"));
//! ```

/// Why a text is no identifier.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ParseIdError {
    /// a {kind} has {length} characters; use 1 to 64
    Length {
        /// What was parsed, for instance `service`.
        kind: &'static str,
        /// How many bytes the text has.
        length: usize,
    },
    /// a {kind} holds the character {character:?}; use only a-z, 0-9, '-', '_' and '.'
    Character {
        /// What was parsed, for instance `service`.
        kind: &'static str,
        /// The first character that is not allowed.
        character: char,
    },
    /// {text:?} is no {kind}; write a whole number
    Number {
        /// What was parsed, for instance `ticket number`.
        kind: &'static str,
        /// The text as given.
        text: String,
    },
}
