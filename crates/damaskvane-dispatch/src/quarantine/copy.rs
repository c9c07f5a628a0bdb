//! A copy of a request, which is one call of one client, and whether it may run.
//!
//! ```
//! use damaskvane_dispatch::quarantine;
//!
//! let copy: quarantine::CopyId = "7".parse()?;
//! assert_eq!(copy.to_string(), "7");
//! # Ok::<(), core::num::ParseIntError>(())
//! ```

use core::{fmt, num, str};

/// Identifies a copy of a request within its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CopyId(u64);

impl CopyId {
    /// Returns the id with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for CopyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for CopyId {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Whether a copy of a request may run, or go on running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum CopyDecision {
    /// The copy may run.
    Run,
    /// The copy may run as the only one of its instance, since it is unknown whether the request crashes servers.
    RunAsTrial,
    /// Another copy runs as a trial, or the request is refused. The copy may not be sent, and is withdrawn from its
    /// server if it may be sent again later.
    Hold,
}
