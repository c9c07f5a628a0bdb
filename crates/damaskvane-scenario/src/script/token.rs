//! Splits one line into words, options (`name=value`) and comparisons.
//!
//! ```text
//! expect peak r1 <= 2      # words, a comparison, a word; the rest is a comment
//! ```

use core::ops::Range;

use winnow::ascii::space0;
use winnow::combinator::{alt, opt, preceded, repeat, separated_pair, terminated};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{rest, take_while};

type Input<'a> = LocatingSlice<&'a str>;

/// What a token is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind<'a> {
    Word(&'a str),
    Option(&'a str, &'a str),
    Comparison(&'a str),
}

/// One token and where it begins, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Token<'a> {
    pub(super) kind: Kind<'a>,
    pub(super) offset: usize,
}

/// The tokens of a line, or the offset of a character that belongs to none.
pub(super) fn tokens(line: &str) -> Result<Vec<Token<'_>>, usize> {
    let all = preceded(space0, repeat(0.., terminated(token, space0)));
    terminated(all, opt(preceded('#', rest)))
        .parse(LocatingSlice::new(line))
        .map_err(|error| error.offset())
}

fn token<'a>(input: &mut Input<'a>) -> ModalResult<Token<'a>> {
    alt((option, comparison, word.map(Kind::Word)))
        .with_span()
        .map(|(kind, span): (Kind<'a>, Range<usize>)| Token {
            kind,
            offset: span.start,
        })
        .parse_next(input)
}

fn option<'a>(input: &mut Input<'a>) -> ModalResult<Kind<'a>> {
    separated_pair(word, '=', word)
        .map(|(name, value)| Kind::Option(name, value))
        .parse_next(input)
}

fn comparison<'a>(input: &mut Input<'a>) -> ModalResult<Kind<'a>> {
    alt(("<=", ">=", "="))
        .map(Kind::Comparison)
        .parse_next(input)
}

fn word<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    take_while(1.., is_in_word).parse_next(input)
}

const fn is_in_word(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.' | '/' | '?' | '&')
}
