//! Credentials: which token names whom.
//!
//! ```
//! use damaskvane_standins::platform;
//!
//! assert!("a line of three words".parse::<platform::Tokens>().is_err());
//! ```

use core::fmt;
use core::str;
use std::collections::HashMap;

/// Tokens with their holders.
#[derive(Clone, Default)]
pub struct Tokens {
    holders: HashMap<String, String>,
}

/// line {line} of the token file is not "token holder"; write one token and one holder a line
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseTokensError {
    /// The line, from 1.
    pub line: usize,
}

impl Tokens {
    /// Whom a token names.
    #[must_use]
    pub fn holder_of(&self, token: &str) -> Option<&str> {
        self.holders.get(token).map(String::as_str)
    }
}

/// Shows the holders only: a token in a log is a token lost.
impl fmt::Debug for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.holders.values()).finish()
    }
}

impl str::FromStr for Tokens {
    type Err = ParseTokensError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut tokens = Self::default();
        for (index, line) in text.lines().enumerate() {
            let words: Vec<&str> = line.split_whitespace().collect();
            match words.as_slice() {
                [] => {}
                [word, ..] if word.starts_with('#') => {}
                [token, holder] => {
                    let previous = tokens
                        .holders
                        .insert((*token).to_owned(), (*holder).to_owned());
                    if previous.is_some() {
                        return Err(ParseTokensError { line: index + 1 });
                    }
                }
                _ => return Err(ParseTokensError { line: index + 1 }),
            }
        }
        Ok(tokens)
    }
}
