//! The source's side: what it holds at one receiver, and its use.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::{credit, rate};
//!
//! let mut holder = credit::Holder::new(rate::Rate::per_second(1), time::TimeMs::ZERO);
//! assert!(holder.acquire(time::TimeMs::ZERO).is_some());
//! assert!(holder.acquire(time::TimeMs::ZERO).is_none(), "the share of a second is used up");
//! assert!(holder.acquire(time::TimeMs::new(1_000)).is_some());
//! ```

use std::collections::VecDeque;

use damaskvane_core::time;

use crate::credit::message::{CreditRequest, Grant};
use crate::rate;

/// What one request costs, in millionths: a rate in thousandths times milliseconds.
const COST_MICRO: u64 = 1_000_000;

/// Unused rate is kept for so long; more would let a burst exceed the receiver's free slots.
const BURST: time::SpanMs = time::SpanMs::new(250);

/// Asks that are remembered; an answer to an earlier one is too late to be of use.
const OPEN_ASKS: usize = 8;

#[derive(Debug, Clone, Copy)]
struct Held {
    rate: rate::Rate,
    lapses_at: time::TimeMs,
}

/// The credit that a source holds at one receiver for one service.
#[derive(Debug)]
pub struct Holder {
    static_share: rate::Rate,
    next_number: u64,
    open: VecDeque<(u64, time::TimeMs)>,
    held: Option<Held>,
    tokens_micro: u64,
    counted_at: time::TimeMs,
}

/// Leave to send one request to the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    valid_until: time::TimeMs,
}

impl Permit {
    /// Whether the permit still holds, compared just before the request is sent.
    ///
    /// A process that pauses between taking a permit and sending would otherwise send on rate that
    /// the receiver has given to another source since; the receiver would see more than it granted.
    #[must_use]
    pub fn is_valid(self, now: time::TimeMs) -> bool {
        now < self.valid_until
    }
}

impl Holder {
    /// A holder with nothing but the static share.
    #[must_use]
    pub const fn new(static_share: rate::Rate, now: time::TimeMs) -> Self {
        Self {
            static_share,
            next_number: 1,
            open: VecDeque::new(),
            held: None,
            tokens_micro: COST_MICRO,
            counted_at: now,
        }
    }

    /// Asks for rate; the life of the grant counts from now.
    pub fn request(&mut self, rate: rate::Rate, now: time::TimeMs) -> CreditRequest {
        let number = self.next_number;
        self.next_number += 1;
        self.open.push_back((number, now));
        if self.open.len() > OPEN_ASKS {
            self.open.pop_front();
        }
        CreditRequest { number, rate }
    }

    /// Takes a grant in; false for one that answers no open ask or has lapsed on its way.
    pub fn accept(&mut self, grant: Grant, now: time::TimeMs) -> bool {
        let position = self
            .open
            .iter()
            .position(|(number, _)| *number == grant.number);
        let Some((_, asked_at)) = position.and_then(|position| self.open.remove(position)) else {
            return false;
        };
        let lapses_at = asked_at + grant.lifetime;
        if now >= lapses_at {
            return false;
        }
        self.count(now);
        // An earlier ask answered late must not bring a longer grant back to a shorter life; the
        // receiver counts the largest of both until the later one lapses.
        let is_later = self.held.is_none_or(|held| held.lapses_at <= lapses_at);
        if is_later {
            self.held = Some(Held {
                rate: grant.rate,
                lapses_at,
            });
        }
        is_later
    }

    /// The rate that may be used now: the grant until it lapses, then the static share.
    #[must_use]
    pub fn rate(&self, now: time::TimeMs) -> rate::Rate {
        let held = self.held.filter(|held| now < held.lapses_at);
        held.map_or(self.static_share, |held| held.rate)
    }

    /// Takes leave for one request, if the rate allows it.
    pub fn acquire(&mut self, now: time::TimeMs) -> Option<Permit> {
        self.count(now);
        self.tokens_micro = self.tokens_micro.checked_sub(COST_MICRO)?;
        let held = self.held.filter(|held| now < held.lapses_at);
        let valid_until = held.map_or(now + BURST, |held| held.lapses_at);
        Some(Permit { valid_until })
    }

    /// Adds what the time since the last count is worth, and cuts what may not be kept.
    fn count(&mut self, now: time::TimeMs) {
        let since = self.counted_at;
        let lapse = self
            .held
            .map(|held| held.lapses_at.clamp(since, since.max(now)));
        let lapse = lapse.unwrap_or(since);
        let before = self.rate(since).milli() * lapse.since(since).get();
        let after = self.rate(now).milli() * now.since(lapse).get();
        let limit = (self.rate(now).milli() * BURST.get()).max(COST_MICRO);
        let limit = if self.rate(now) == rate::Rate::ZERO {
            0
        } else {
            limit
        };
        self.tokens_micro = (self.tokens_micro + before + after).min(limit);
        self.counted_at = since.max(now);
    }
}
