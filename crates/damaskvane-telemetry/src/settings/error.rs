//! What can be wrong with a settings file.
//!
//! ```
//! use damaskvane_telemetry::settings;
//!
//! let error = settings::SettingsError::Unreadable { file: "a.toml".into(), error: "gone".into() };
//! assert!(error.to_string().starts_with("a.toml"));
//! ```

use crate::settings::key::Range;
use crate::settings::wrong_value::WrongValue;

/// Why a program does not start with these settings.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum SettingsError {
    /// {file}: cannot be read ({error}); check the path and its permissions
    Unreadable {
        /// The settings file.
        file: String,
        /// What the system said.
        error: String,
    },
    /// {file}: {error}; correct the value, docs/SETTINGS.md lists every key
    Malformed {
        /// The settings file.
        file: String,
        /// What the parser said, with line and column.
        error: String,
    },
    /// {file}: unknown key {key:?}{hint}
    UnknownKey {
        /// The settings file.
        file: String,
        /// The key as it stands there.
        key: String,
        /// A half sentence that names the nearest valid key.
        hint: String,
    },
    /// {file}: missing key {key:?} ({meaning}); add it
    Missing {
        /// The settings file.
        file: String,
        /// The key that must be given.
        key: &'static str,
        /// What it is for.
        meaning: &'static str,
    },
    /// {file}: {key} = {value} is out of range; use a whole number from {range}
    OutOfRange {
        /// The settings file.
        file: String,
        /// The key.
        key: &'static str,
        /// The value as it stands there.
        value: String,
        /// What is accepted.
        range: Range,
    },
    /// {file}: {wrong}
    Wrong {
        /// The settings file.
        file: String,
        /// What is wrong.
        wrong: WrongValue,
    },
}
