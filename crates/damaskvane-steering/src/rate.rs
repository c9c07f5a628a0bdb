//! Request rates in thousandths of a request per second.
//!
//! A zone of three backend servers may carry only a few requests per second and grant a tenth of
//! them to another zone. Whole requests per second would round such a grant to zero.
//!
//! ```
//! use damaskvane_steering::rate;
//!
//! let rate = rate::Rate::per_second(20);
//! assert_eq!(rate.permille(500).to_string(), "10.000");
//! assert_eq!("10.5".parse(), Ok(rate::Rate::from_milli(10_500)));
//! ```

use core::fmt;
use core::iter;
use core::ops;
use core::str;

use serde::{Deserialize, Serialize};

const MILLI: u64 = 1_000;

/// Request rate in thousandths of a request per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rate(u64);

/// invalid rate {text:?}; use requests per second with at most three decimals, such as 12.5
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseRateError {
    text: String,
}

impl Rate {
    /// Zero requests per second.
    pub const ZERO: Self = Self(0);

    /// Creates a rate from whole requests per second; saturates on overflow.
    #[must_use]
    pub const fn per_second(requests: u64) -> Self {
        Self(requests.saturating_mul(MILLI))
    }

    /// Creates a rate from thousandths of a request per second.
    #[must_use]
    pub const fn from_milli(milli: u64) -> Self {
        Self(milli)
    }

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub const fn milli(self) -> u64 {
        self.0
    }

    /// Returns this rate minus the other rate, or zero if the difference is negative.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns this rate times `numerator / denominator`, rounded down; zero if `denominator` is
    /// zero.
    #[must_use]
    pub fn scaled(self, numerator: u64, denominator: u64) -> Self {
        if denominator == 0 {
            return Self::ZERO;
        }
        let product = u128::from(self.0) * u128::from(numerator) / u128::from(denominator);
        Self(u64::try_from(product).unwrap_or(u64::MAX))
    }

    /// Returns `permille` thousandths of this rate, rounded down.
    #[must_use]
    pub fn permille(self, permille: u32) -> Self {
        self.scaled(u64::from(permille), MILLI)
    }

    /// Returns `ppm` millionths of this rate, rounded down.
    #[must_use]
    pub fn ppm(self, ppm: u32) -> Self {
        self.scaled(u64::from(ppm), 1_000_000)
    }

    /// Returns this rate as a share of `whole` in millionths, rounded down and limited to
    /// 1,000,000.
    #[must_use]
    pub fn share_of(self, whole: Self) -> u32 {
        let share = Self(1_000_000).scaled(self.0, whole.0).0;
        u32::try_from(share.min(1_000_000)).unwrap_or(1_000_000)
    }
}

impl ops::Add for Rate {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl ops::AddAssign for Rate {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl iter::Sum for Rate {
    fn sum<I: Iterator<Item = Self>>(rates: I) -> Self {
        rates.fold(Self::ZERO, ops::Add::add)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / MILLI, self.0 % MILLI)
    }
}

impl str::FromStr for Rate {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseRateError {
            text: text.to_owned(),
        })
    }
}

fn parse(text: &str) -> Option<Rate> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
    let well_formed = (1..=3).contains(&decimals.len());
    if !well_formed || !decimals.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let whole: u64 = whole.parse().ok()?;
    let milli: u64 = format!("{decimals:0<3}").parse().ok()?;
    whole.checked_mul(MILLI)?.checked_add(milli).map(Rate)
}
