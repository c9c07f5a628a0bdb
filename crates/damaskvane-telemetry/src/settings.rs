//! TOML settings, checked key by key before anything starts.
//!
//! A settings type lists its keys in [`Settings::KEYS`]. The same list refuses unknown keys, checks
//! ranges and is compared with the reference page by a test.
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
//!     const KEYS: &'static [settings::Key] = &[settings::Key::number("timeout_ms", "500", 1, 60_000, "time-out")];
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

/// A settings type that lists its own keys.
pub trait Settings: de::DeserializeOwned {
    /// Every key that a file may hold.
    const KEYS: &'static [Key];

    /// Checks what neither type nor range can, such as the form of an address.
    ///
    /// # Errors
    ///
    /// Names the key, its value and what to write instead.
    fn check(&self) -> Result<(), WrongValue> {
        Ok(())
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Names the file, the key, the value and what to do about it.
pub fn load<S: Settings>(path: impl AsRef<path::Path>) -> Result<S, SettingsError> {
    let file = path.as_ref().display().to_string();
    let text = fs::read_to_string(path.as_ref()).map_err(|error| SettingsError::Unreadable {
        file: file.clone(),
        error: error.to_string(),
    })?;
    parse(&file, &text)
}

/// Checks settings that are already in memory; `file` only appears in errors.
///
/// # Errors
///
/// As [`load`].
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
    // Read from the text once more: errors of the table would lack the line, and with it the value.
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
