//! The time that work takes on a server's machine at a moment, relative to its usual time.

use core::fmt;
use core::str;

/// Bounds of the factor in percent. A server that names a value beyond them is still used, and never for free.
const MIN_PERCENT: f64 = 10.0;
const MAX_PERCENT: f64 = 2_000.0;
/// Maximum length of the factor as text, in bytes.
const MAX_LENGTH: usize = 32;

/// Time that work takes on a machine at this moment, in percent of its usual time, from 10 to 2,000.
///
/// 100 is the usual time; 250 means that work takes two and a half times as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeFactor(u16);

/// a time factor has to be a positive decimal number of percent, without sign or exponent
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseTimeFactorError;

impl TimeFactor {
    /// Returns the factor in percent.
    #[must_use]
    pub const fn percent(self) -> u16 {
        self.0
    }

    /// Returns the factor as a ratio; 1 means the usual time.
    #[must_use]
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for TimeFactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl str::FromStr for TimeFactor {
    type Err = ParseTimeFactorError;

    /// Reads a number of percent; numbers beyond the bounds count as the nearer bound.
    ///
    /// # Errors
    ///
    /// Returns an error for 0 and for anything but decimal digits with at most one point.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.trim_matches([' ', '\t']);
        // The standard library also reads signs, exponents, infinity and NaN.
        let is_decimal = text.bytes().all(|one| one.is_ascii_digit() || one == b'.');
        if !is_decimal || text.len() > MAX_LENGTH {
            return Err(ParseTimeFactorError);
        }
        let percent: f64 = text.parse().map_err(|_| ParseTimeFactorError)?;
        if percent <= 0.0 {
            return Err(ParseTimeFactorError);
        }
        Ok(Self(percent.clamp(MIN_PERCENT, MAX_PERCENT).round() as u16))
    }
}
