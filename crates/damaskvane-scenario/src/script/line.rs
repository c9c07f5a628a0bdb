//! A cursor over the tokens of one line; each syntax error has its column and the remedy.
//!
//! ```text
//! word -> word -> options, in any order -> end of the line
//! ```

use core::str;

use damaskvane_core::time;

use crate::script::error::ScriptError;
use crate::script::expectation::{Comparison, Operator};
use crate::script::token::{self, Token, TokenKind};

/// The tokens of one line and the position of the next token to read.
#[derive(Debug)]
pub(super) struct TokenLine<'a> {
    file: &'a str,
    number: usize,
    text: &'a str,
    tokens: Vec<Token<'a>>,
    next_index: usize,
    last_offset: usize,
}

impl<'a> TokenLine<'a> {
    pub(super) fn new(file: &'a str, number: usize, text: &'a str) -> Result<Self, ScriptError> {
        let mut line = Self {
            file,
            number,
            text,
            tokens: Vec::new(),
            next_index: 0,
            last_offset: 0,
        };
        line.tokens = token::tokenize(text).map_err(|offset| {
            line.error_at(
                offset,
                "this character belongs to no statement",
                "write names of a-z, 0-9, '-', '_' and '.', options as name=value, comments after '#'",
            )
        })?;
        Ok(line)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }

    fn error_at(&self, offset: usize, problem: &str, remedy: &str) -> ScriptError {
        let before = self.text.get(..offset).unwrap_or(self.text);
        ScriptError {
            file: self.file.to_owned(),
            line: self.number,
            column: before.chars().count() + 1,
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    /// Returns a syntax error at the token that was read last.
    pub(super) fn error(&self, problem: &str, remedy: &str) -> ScriptError {
        self.error_at(self.last_offset, problem, remedy)
    }

    fn next_token(&mut self, remedy: &str) -> Result<TokenKind<'a>, ScriptError> {
        let Some(token) = self.tokens.get(self.next_index).copied() else {
            let end = self.text.trim_end().len();
            return Err(self.error_at(end, "the line ends too early", remedy));
        };
        self.next_index += 1;
        self.last_offset = token.offset;
        Ok(token.kind)
    }

    /// Reads the next token, which must be a word.
    pub(super) fn word(&mut self, remedy: &str) -> Result<&'a str, ScriptError> {
        match self.next_token(remedy)? {
            TokenKind::Word(word) => Ok(word),
            TokenKind::Option(..) | TokenKind::Comparison(_) => {
                Err(self.error("a word is missing", remedy))
            }
        }
    }

    /// Reads the next word and parses it as a name or a number.
    pub(super) fn value<T: str::FromStr>(&mut self, remedy: &str) -> Result<T, ScriptError> {
        let word = self.word(remedy)?;
        self.parse_value(word, remedy)
    }

    pub(super) fn span(&mut self, remedy: &str) -> Result<time::SpanMs, ScriptError> {
        let word = self.word(remedy)?;
        self.parse_span_value(word, remedy)
    }

    fn parse_value<T: str::FromStr>(&self, text: &str, remedy: &str) -> Result<T, ScriptError> {
        text.parse()
            .map_err(|_| self.error(&format!("'{text}' does not fit here"), remedy))
    }

    fn parse_span_value(&self, text: &str, remedy: &str) -> Result<time::SpanMs, ScriptError> {
        parse_span(text).ok_or_else(|| {
            let problem = format!("'{text}' is no span of time");
            self.error(&problem, &format!("write 200ms, 2s or 1m; {remedy}"))
        })
    }

    /// Reads the next token if it is a word.
    pub(super) fn optional_word(&mut self) -> Option<&'a str> {
        let token = self.tokens.get(self.next_index)?;
        let TokenKind::Word(word) = token.kind else {
            return None;
        };
        self.last_offset = token.offset;
        self.next_index += 1;
        Some(word)
    }

    /// Reads a comparison such as `<= 2`; converts a time span to milliseconds.
    pub(super) fn comparison(&mut self, remedy: &str) -> Result<Comparison, ScriptError> {
        let operator = match self.next_token(remedy)? {
            TokenKind::Comparison("=") => Operator::Equal,
            TokenKind::Comparison("<=") => Operator::AtMost,
            TokenKind::Comparison(_) => Operator::AtLeast,
            TokenKind::Word(_) | TokenKind::Option(..) => {
                return Err(self.error("a comparison is missing", remedy));
            }
        };
        let word = self.word(remedy)?;
        let in_ms = || parse_span(word).map(time::SpanMs::get);
        let value = word.parse().ok().or_else(in_ms);
        let value = value.ok_or_else(|| self.error(&format!("'{word}' is no number"), remedy))?;
        Ok(Comparison { operator, value })
    }

    /// Removes the option of this name from the remaining tokens, at any position, and returns its value.
    fn option_text(&mut self, option_name: &str) -> Option<&'a str> {
        let rest = self.tokens.iter().enumerate().skip(self.next_index);
        let found = rest
            .into_iter()
            .find_map(|(index, token)| match token.kind {
                TokenKind::Option(name, value) if name == option_name => Some((index, value)),
                _ => None,
            });
        let (index, value) = found?;
        self.last_offset = self.tokens.remove(index).offset;
        Some(value)
    }

    pub(super) fn option<T: str::FromStr>(
        &mut self,
        name: &str,
        remedy: &str,
    ) -> Result<Option<T>, ScriptError> {
        match self.option_text(name) {
            None => Ok(None),
            Some(text) => self.parse_value(text, remedy).map(Some),
        }
    }

    pub(super) fn required_option<T: str::FromStr>(
        &mut self,
        name: &str,
        remedy: &str,
    ) -> Result<T, ScriptError> {
        self.option(name, remedy)?.ok_or_else(|| {
            let end = self.text.trim_end().len();
            self.error_at(end, &format!("the option {name}= is missing"), remedy)
        })
    }

    pub(super) fn span_option(
        &mut self,
        name: &str,
        remedy: &str,
    ) -> Result<Option<time::SpanMs>, ScriptError> {
        match self.option_text(name) {
            None => Ok(None),
            Some(text) => self.parse_span_value(text, remedy).map(Some),
        }
    }

    /// Checks that no token is left on the line.
    pub(super) fn expect_end(&mut self, remedy: &str) -> Result<(), ScriptError> {
        let Some(token) = self.tokens.get(self.next_index) else {
            return Ok(());
        };
        let problem = match token.kind {
            TokenKind::Option(name, _) => format!("the option {name}= is not known here"),
            TokenKind::Word(word) => format!("'{word}' is too much"),
            TokenKind::Comparison(operator) => format!("'{operator}' is too much"),
        };
        Err(self.error_at(token.offset, &problem, remedy))
    }
}

fn parse_span(text: &str) -> Option<time::SpanMs> {
    let digits = text.trim_end_matches(|character: char| character.is_ascii_alphabetic());
    let number: u64 = digits.parse().ok()?;
    let unit_ms = match text.get(digits.len()..)? {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        _ => return None,
    };
    Some(time::SpanMs::new(number.checked_mul(unit_ms)?))
}
