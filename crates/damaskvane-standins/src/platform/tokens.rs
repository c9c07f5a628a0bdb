//! Tokens that authenticate callers of the object API.
//!
//! ```
//! use damaskvane_standins::platform;
//!
//! assert!("a line of three words".parse::<platform::Tokens>().is_err());
//! ```

use core::fmt;
use core::str;
use std::collections::HashMap;

/// The accepted tokens, each with the name of its holder.
#[derive(Clone, Default)]
pub struct Tokens {
    holders: HashMap<String, String>,
}

/// line {line} of the token file is invalid; write each token once, as "token holder"
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseTokensError {
    /// The number of the invalid line, from 1.
    pub line: usize,
}

impl Tokens {
    /// Returns the holder of a token, or `None` if the token is unknown.
    #[must_use]
    pub fn holder_of(&self, token: &str) -> Option<&str> {
        self.holders.get(token).map(String::as_str)
    }
}

/// Shows only the holders, so that no token leaks into a log.
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
            let fields: Vec<&str> = line.split_whitespace().collect();
            match fields.as_slice() {
                [] => {}
                [first, ..] if first.starts_with('#') => {}
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
