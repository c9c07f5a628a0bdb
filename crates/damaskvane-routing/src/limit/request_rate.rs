//! A rate of requests, as a backend server names it.

use core::fmt;
use core::str;

/// Largest rate that is taken for one, in requests a second. More than a server could ever take says nothing.
const MAX_PER_S: f64 = 1_000_000.0;
/// Largest length of a rate as text, in bytes.
const MAX_LENGTH: usize = 32;

/// Requests a second: finite, at least 0 and at most 1,000,000.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// a rate of requests has to be a decimal number from 0 to 1000000, without sign or exponent
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseRateError;

impl RequestRate {
    /// Returns the rate, or `None` if the number is not finite, negative or larger than any server's rate.
    #[must_use]
    pub fn new(per_s: f64) -> Option<Self> {
        (0.0..=MAX_PER_S).contains(&per_s).then_some(Self(per_s))
    }

    /// Returns the requests a second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl str::FromStr for RequestRate {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.trim_matches([' ', '\t']);
        // The standard library also reads signs, exponents, infinity and NaN.
        let is_decimal = text.bytes().all(|one| one.is_ascii_digit() || one == b'.');
        if !is_decimal || text.len() > MAX_LENGTH {
            return Err(ParseRateError);
        }
        let per_s = text.parse().map_err(|_| ParseRateError)?;
        Self::new(per_s).ok_or(ParseRateError)
    }
}
