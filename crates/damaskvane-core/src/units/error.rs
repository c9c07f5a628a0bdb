//! The error type of parsing an amount.
//!
//! ```
//! use damaskvane_core::units;
//!
//! let error = "many".parse::<units::Slots>().expect_err("no number");
//! assert!(error.to_string().contains("whole number"));
//! ```

/// The reason why a text could not be parsed as an amount.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ParseUnitError {
    /// {text:?} is no amount of {unit}; write a whole number without a unit
    Number {
        /// The name of the expected unit, for instance `slots`.
        unit: &'static str,
        /// The text that could not be parsed.
        text: String,
    },
}
