//! Tokens, which are never shown.
//!
//! ```
//! use damaskvane_objects::credential;
//!
//! let token: credential::Token = "secret-1\n".parse().expect("a token");
//! assert_eq!(format!("{token:?}"), "Token(hidden)");
//! ```

use core::fmt;
use core::str;

/// The credential of an operator or an instance.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

/// the token file holds no token; write the token alone on its first line
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseTokenError;

impl Token {
    /// The token itself, for the one header that carries it.
    pub(crate) fn reveal(&self) -> &str {
        &self.0
    }
}

/// Hides the token: whatever prints its owner would otherwise put it into a log.
impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(hidden)")
    }
}

impl str::FromStr for Token {
    type Err = ParseTokenError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let token = text.lines().next().unwrap_or_default().trim();
        let allowed = |character: char| character.is_ascii_graphic();
        if token.is_empty() || !token.chars().all(allowed) {
            return Err(ParseTokenError);
        }
        Ok(Self(token.to_owned()))
    }
}
