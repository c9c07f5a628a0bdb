//! The tokenizer: splits one line into words, options (`name=value`) and comparisons.
//!
//! ```text
//! expect peak r1 <= 2      # three words, a comparison, a word; `#` begins a comment
//! ```

use core::ops::Range;

use winnow::ascii::space0;
use winnow::combinator::{alt, opt, preceded, repeat, separated_pair, terminated};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{rest, take_while};

type Input<'a> = LocatingSlice<&'a str>;

/// The kind of a token, with its text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TokenKind<'a> {
    Word(&'a str),
    Option(&'a str, &'a str),
    Comparison(&'a str),
}

/// A token and its byte offset in the line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Token<'a> {
    pub(super) kind: TokenKind<'a>,
    pub(super) offset: usize,
}

/// Splits a line into tokens.
///
/// # Errors
///
/// Returns the byte offset of the first character that no token can contain.
pub(super) fn tokenize(line: &str) -> Result<Vec<Token<'_>>, usize> {
    let all = preceded(space0, repeat(0.., terminated(token, space0)));
    terminated(all, opt(preceded('#', rest)))
        .parse(LocatingSlice::new(line))
        .map_err(|error| error.offset())
}

fn token<'a>(input: &mut Input<'a>) -> ModalResult<Token<'a>> {
    alt((option, comparison, word.map(TokenKind::Word)))
        .with_span()
        .map(|(kind, span): (TokenKind<'a>, Range<usize>)| Token {
            kind,
            offset: span.start,
        })
        .parse_next(input)
}

fn option<'a>(input: &mut Input<'a>) -> ModalResult<TokenKind<'a>> {
    separated_pair(word, '=', word)
        .map(|(name, value)| TokenKind::Option(name, value))
        .parse_next(input)
}

fn comparison<'a>(input: &mut Input<'a>) -> ModalResult<TokenKind<'a>> {
    alt(("<=", ">=", "="))
        .map(TokenKind::Comparison)
        .parse_next(input)
}

fn word<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    take_while(1.., is_word_character).parse_next(input)
}

const fn is_word_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.' | '/' | '?' | '&')
}
