//! Describes one key of a settings file: its name, default, range and purpose.
//!
//! ```
//! use damaskvane_telemetry::settings;
//!
//! const KEY: settings::Key = settings::Key::number("ttl_ms", "2000", 100, 60_000, "lifetime");
//! assert!(KEY.range.is_some_and(|range| range.contains(100)));
//! ```

use core::fmt;

/// Inclusive range of the whole numbers that a key accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Range {
    min: i64,
    max: i64,
}

impl Range {
    /// Returns whether the number lies in the range.
    #[must_use]
    pub const fn contains(self, number: i64) -> bool {
        self.min <= number && number <= self.max
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to {}", self.min, self.max)
    }
}

/// Key of a settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// Name of the key in the file.
    pub name: &'static str,
    /// Default, as it would be written in the file; `None` if the key is required.
    pub default: Option<&'static str>,
    /// Range of accepted numbers; `None` if the value is a string.
    pub range: Option<Range>,
    /// Purpose of the key, in one line.
    pub meaning: &'static str,
}

impl Key {
    /// Describes a required string.
    #[must_use]
    pub const fn required(name: &'static str, meaning: &'static str) -> Self {
        Self {
            name,
            default: None,
            range: None,
            meaning,
        }
    }

    /// Describes an optional string with a default.
    #[must_use]
    pub const fn text(name: &'static str, default: &'static str, meaning: &'static str) -> Self {
        Self {
            name,
            default: Some(default),
            range: None,
            meaning,
        }
    }

    /// Describes an optional whole number with a default and an inclusive range.
    #[must_use]
    pub const fn number(
        name: &'static str,
        default: &'static str,
        min: i64,
        max: i64,
        meaning: &'static str,
    ) -> Self {
        Self {
            name,
            default: Some(default),
            range: Some(Range { min, max }),
            meaning,
        }
    }
}
