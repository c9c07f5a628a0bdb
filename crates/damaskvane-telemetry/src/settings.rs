//! Reads TOML settings and validates them key by key before a program starts.
//!
//! A settings type lists its keys in [`Settings::KEYS`]. This list is used to reject unknown keys and values out
//! of range, and a test compares the list with the reference page.
//!
//! ```
//! use damaskvane_telemetry::settings::{self, Settings};
//!
//! #[derive(Debug, serde::Deserialize)]
//! struct Example {
//!     timeout_ms: u64,
//! }
//!
//! impl Settings for Example {
//!     const KEYS: &'static [settings::Key] = &[settings::Key::number("timeout_ms", "500", 1, 60_000, "timeout")];
//! }
//!
//! let error = settings::parse::<Example>("example.toml", "timeout_ms = 0").expect_err("too low");
//! assert!(error.to_string().contains("1 to 60000"));
//! ```

mod error;
mod key;
mod wrong_value;

use std::fs;
use std::path;

pub use error::SettingsError;
pub use key::{Key, Range};
use serde::de;
pub use wrong_value::WrongValue;

use crate::nearest;

/// Settings of a program, with the list of the keys of their file.
pub trait Settings: de::DeserializeOwned {
    /// Every key that a settings file may contain.
    const KEYS: &'static [Key];

    /// Validates what a type and a range can't express, such as the format of an address.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be used; the error names the key, the value and what to write instead.
    fn check(&self) -> Result<(), WrongValue> {
        Ok(())
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Fails if the file can't be read or its settings are invalid; the error names the file, the key, the value and
/// the remedy.
pub fn load<S: Settings>(path: impl AsRef<path::Path>) -> Result<S, SettingsError> {
    let file = path.as_ref().display().to_string();
    let text = fs::read_to_string(path.as_ref()).map_err(|error| SettingsError::Unreadable {
        file: file.clone(),
        error: error.to_string(),
    })?;
    parse(&file, &text)
}

/// Parses and validates the text of a settings file; `file` is used in errors only.
///
/// # Errors
///
/// Fails if the settings are invalid, as [`load`] does.
pub fn parse<S: Settings>(file: &str, text: &str) -> Result<S, SettingsError> {
    let table: toml::Table =
        text.parse()
            .map_err(|error: toml::de::Error| SettingsError::Malformed {
                file: file.to_owned(),
                error: error.to_string().trim().to_owned(),
            })?;
    for (name, value) in &table {
        check_key(file, name, value, S::KEYS)?;
    }
    let missing = S::KEYS
        .iter()
        .find(|key| key.default.is_none() && !table.contains_key(key.name));
    if let Some(key) = missing {
        return Err(SettingsError::Missing {
            file: file.to_owned(),
            key: key.name,
            meaning: key.meaning,
        });
    }
    // Parses the text again because errors from `table` would lack the line, and with it the value.
    let settings: S = toml::from_str(text).map_err(|error| SettingsError::Malformed {
        file: file.to_owned(),
        error: error.to_string().trim().to_owned(),
    })?;
    settings.check().map_err(|wrong| SettingsError::Wrong {
        file: file.to_owned(),
        wrong,
    })?;
    Ok(settings)
}

fn check_key(
    file: &str,
    name: &str,
    value: &toml::Value,
    keys: &'static [Key],
) -> Result<(), SettingsError> {
    let Some(key) = keys.iter().find(|key| key.name == name) else {
        let names: Vec<&str> = keys.iter().map(|key| key.name).collect();
        return Err(SettingsError::UnknownKey {
            file: file.to_owned(),
            key: name.to_owned(),
            hint: nearest::hint(name, &names),
        });
    };
    let Some(range) = key.range else {
        return Ok(());
    };
    match value.as_integer() {
        Some(number) if range.contains(number) => Ok(()),
        _ => Err(SettingsError::OutOfRange {
            file: file.to_owned(),
            key: key.name,
            value: value.to_string(),
            range,
        }),
    }
}
