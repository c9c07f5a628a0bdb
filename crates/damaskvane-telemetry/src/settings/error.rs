//! Errors of reading and validating a settings file.
//!
//! ```
//! use damaskvane_telemetry::settings;
//!
//! let error = settings::SettingsError::Unreadable { file: "a.toml".into(), error: "not found".into() };
//! assert!(error.to_string().starts_with("a.toml"));
//! ```

use crate::settings::key::Range;
use crate::settings::wrong_value::WrongValue;

/// Reason why a settings file is rejected; the program does not start.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum SettingsError {
    /// {file}: can't be read ({error}); check the path and its permissions
    Unreadable {
        /// Path of the settings file.
        file: String,
        /// Error of the operating system.
        error: String,
    },
    /// {file}: {error}; correct the value, see docs/SETTINGS.md for every key
    Malformed {
        /// Path of the settings file.
        file: String,
        /// Error of the TOML parser, with line and column.
        error: String,
    },
    /// {file}: unknown key '{key}'{hint}
    UnknownKey {
        /// Path of the settings file.
        file: String,
        /// Key as written in the file.
        key: String,
        /// Hint that names the most similar valid key, or all valid keys if none is similar.
        hint: String,
    },
    /// {file}: missing key '{key}' ({meaning}); add it
    Missing {
        /// Path of the settings file.
        file: String,
        /// Required key that the file lacks.
        key: &'static str,
        /// Purpose of the key, in one line.
        meaning: &'static str,
    },
    /// {file}: {key} = {value} is out of range; use a whole number from {range}
    OutOfRange {
        /// Path of the settings file.
        file: String,
        /// Key whose value is rejected.
        key: &'static str,
        /// Value as written in the file.
        value: String,
        /// Range of accepted values.
        range: Range,
    },
    /// {file}: {wrong}
    Wrong {
        /// Path of the settings file.
        file: String,
        /// Rejected value, with the cause and the remedy.
        wrong: WrongValue,
    },
}
