//! The error of parsing an amount.
//!
//! ```
//! use damaskvane_core::units;
//!
//! let error = "many".parse::<units::Slots>().expect_err("no number");
//! assert!(error.to_string().contains("whole number"));
//! ```

/// Why a text is no amount.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ParseUnitError {
    /// {text:?} is no amount of {unit}; write a whole number without a unit
    Number {
        /// The unit that was expected.
        unit: &'static str,
        /// The text as given.
        text: String,
    },
}
