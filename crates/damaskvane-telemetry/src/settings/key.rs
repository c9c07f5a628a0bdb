//! One key of a settings file.
//!
//! ```
//! use damaskvane_telemetry::settings;
//!
//! const KEY: settings::Key = settings::Key::number("ttl_ms", "2000", 100, 60_000, "how long");
//! assert!(KEY.range.is_some_and(|range| range.contains(100)));
//! ```

use core::fmt;

/// The whole numbers that a key accepts, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Range {
    least: i64,
    most: i64,
}

impl Range {
    /// Whether a number lies in the range.
    #[must_use]
    pub const fn contains(self, number: i64) -> bool {
        self.least <= number && number <= self.most
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to {}", self.least, self.most)
    }
}

/// One key: its name, default, range and meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// The key as it stands in the file.
    pub name: &'static str,
    /// The default as it would be written; none if the key must be given.
    pub default: Option<&'static str>,
    /// The range of a number; none for a text.
    pub range: Option<Range>,
    /// What the key is for, one line.
    pub meaning: &'static str,
}

impl Key {
    /// A text that must be given.
    #[must_use]
    pub const fn required(name: &'static str, meaning: &'static str) -> Self {
        Self {
            name,
            default: None,
            range: None,
            meaning,
        }
    }

    /// A text with a default.
    #[must_use]
    pub const fn text(name: &'static str, default: &'static str, meaning: &'static str) -> Self {
        Self {
            name,
            default: Some(default),
            range: None,
            meaning,
        }
    }

    /// A whole number with a default and a range.
    #[must_use]
    pub const fn number(
        name: &'static str,
        default: &'static str,
        least: i64,
        most: i64,
        meaning: &'static str,
    ) -> Self {
        Self {
            name,
            default: Some(default),
            range: Some(Range { least, most }),
            meaning,
        }
    }
}
