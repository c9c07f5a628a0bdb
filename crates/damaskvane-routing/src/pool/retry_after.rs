//! The time for which a backend server asks to get no request.

use core::fmt;
use core::str;

use damaskvane_core::time::SpanMs;

/// Longest time that is taken for one, in seconds: a day. A server that needs longer is stopped or replaced.
const MAX_S: f64 = 86_400.0;
/// Largest length of the time as text, in bytes.
const MAX_LENGTH: usize = 32;

/// A time of at most a day, as a server writes it in `Retry-After`: decimal seconds, also fractions.
///
/// A date is no such time: the clocks of two processes are never compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(SpanMs);

/// a time to retry after has to be a decimal number of seconds from 0 to 86400, without sign or exponent
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseRetryAfterError;

impl RetryAfter {
    /// The longest time.
    pub const MAX: SpanMs = SpanMs::new(MAX_S as u64 * 1_000);

    /// Returns the time, rounded up to a millisecond.
    #[must_use]
    pub const fn span(self) -> SpanMs {
        self.0
    }
}

impl fmt::Display for RetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.0.get() as f64 / 1_000.0;
        fmt::Display::fmt(&seconds, f)
    }
}

impl str::FromStr for RetryAfter {
    type Err = ParseRetryAfterError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.trim_matches([' ', '\t']);
        // The standard library also reads signs, exponents, infinity and NaN.
        let is_decimal = text.bytes().all(|one| one.is_ascii_digit() || one == b'.');
        if !is_decimal || text.len() > MAX_LENGTH {
            return Err(ParseRetryAfterError);
        }
        let seconds: f64 = text.parse().map_err(|_| ParseRetryAfterError)?;
        if !(0.0..=MAX_S).contains(&seconds) {
            return Err(ParseRetryAfterError);
        }
        Ok(Self(SpanMs::new((seconds * 1_000.0).ceil() as u64)))
    }
}
