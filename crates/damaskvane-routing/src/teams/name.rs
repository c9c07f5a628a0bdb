//! The name of a team, which backend servers receive in a header.

use core::fmt;
use core::str;
use std::sync::Arc;

/// Largest length of a name, so that it fits a header of a request.
const MAX_LENGTH: usize = 256;

/// Name of a team: 1 to 256 visible ASCII characters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamName(Arc<str>);

/// a team's name has {length} bytes or a character outside visible ASCII; use 1 to 256 visible ASCII characters
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseNameError {
    /// Length of the text.
    pub length: usize,
}

impl TeamName {
    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TeamName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl str::FromStr for TeamName {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_valid = (1..=MAX_LENGTH).contains(&text.len())
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_valid {
            return Err(ParseNameError { length: text.len() });
        }
        Ok(Self(text.into()))
    }
}
