//! Access tokens, hidden from debug output.
//!
//! ```
//! use damaskvane_objects::credential;
//!
//! let token: credential::Token = "secret-1\n".parse().expect("a token");
//! assert_eq!(format!("{token:?}"), "Token(hidden)");
//! ```

use core::fmt;
use core::str;

/// The access token of an operator or an instance.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

/// the token file contains no valid token; write the token alone on its first line
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseTokenError;

impl Token {
    /// Returns the token for the authorization header; no other output may contain it.
    pub(crate) fn reveal(&self) -> &str {
        &self.0
    }
}

/// Hides the token, since debug output of a type that contains it may reach a log.
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
