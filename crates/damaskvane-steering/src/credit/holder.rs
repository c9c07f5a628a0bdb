//! Source's side of the credit: the rate granted by one receiver, and the use of this rate.
//!
//! A source is a zone that sends its clients' requests to another zone, the receiver. The static
//! share is the rate that the source may use without a grant.
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

/// Token cost of one request, in millionths: the product of a rate in thousandths of a request per
/// second and a time in milliseconds.
const COST_MICRO: u64 = 1_000_000;

/// How long unused rate accumulates. With a longer time, a burst of requests could exceed the
/// requests that the receiver's servers can run at once.
const BURST: time::SpanMs = time::SpanMs::new(250);

/// Maximum number of credit requests that await a grant. A grant for an older request would arrive
/// too late to be useful.
const MAX_PENDING_REQUESTS: usize = 8;

#[derive(Debug, Clone, Copy)]
struct HeldGrant {
    rate: rate::Rate,
    expires_at: time::TimeMs,
}

/// Credit that a source zone holds from one receiver for one service.
#[derive(Debug)]
pub struct Holder {
    static_share: rate::Rate,
    next_number: u64,
    pending: VecDeque<(u64, time::TimeMs)>,
    held: Option<HeldGrant>,
    tokens_micro: u64,
    refilled_at: time::TimeMs,
}

/// Permission to send one request to the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    valid_until: time::TimeMs,
}

impl Permit {
    /// Returns whether the permit is valid at `now`; the caller checks this just before it sends
    /// the request.
    ///
    /// Without this check, a process that pauses between acquiring a permit and sending could use
    /// rate that the receiver has since granted to another source, and the receiver would receive
    /// more than it granted.
    #[must_use]
    pub fn is_valid(self, now: time::TimeMs) -> bool {
        now < self.valid_until
    }
}

impl Holder {
    /// Creates a holder with the static share and no grant.
    #[must_use]
    pub const fn new(static_share: rate::Rate, now: time::TimeMs) -> Self {
        Self {
            static_share,
            next_number: 1,
            pending: VecDeque::new(),
            held: None,
            tokens_micro: COST_MICRO,
            refilled_at: now,
        }
    }

    /// Creates a credit request for `rate`; the lifetime of the resulting grant counts from `now`.
    pub fn request(&mut self, rate: rate::Rate, now: time::TimeMs) -> CreditRequest {
        let number = self.next_number;
        self.next_number += 1;
        self.pending.push_back((number, now));
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        CreditRequest { number, rate }
    }

    /// Applies a grant and returns whether it takes effect.
    ///
    /// A grant has no effect if it matches no pending credit request, if it expired in transit, or
    /// if the current grant expires later.
    pub fn accept(&mut self, grant: Grant, now: time::TimeMs) -> bool {
        let position = self
            .pending
            .iter()
            .position(|(number, _)| *number == grant.number);
        let Some((_, requested_at)) = position.and_then(|position| self.pending.remove(position))
        else {
            return false;
        };
        let expires_at = requested_at + grant.lifetime;
        if now >= expires_at {
            return false;
        }
        self.refill(now);
        // A late grant for an earlier request must not replace a grant that expires later. The
        // receiver reserves the larger rate until the later grant expires.
        let is_later = self.held.is_none_or(|held| held.expires_at <= expires_at);
        if is_later {
            self.held = Some(HeldGrant {
                rate: grant.rate,
                expires_at,
            });
        }
        is_later
    }

    /// Returns the rate that may be used at `now`: the granted rate until it expires, then the
    /// static share.
    #[must_use]
    pub fn rate(&self, now: time::TimeMs) -> rate::Rate {
        let held = self.held.filter(|held| now < held.expires_at);
        held.map_or(self.static_share, |held| held.rate)
    }

    /// Acquires a permit for one request, or returns `None` if the rate does not allow it.
    pub fn acquire(&mut self, now: time::TimeMs) -> Option<Permit> {
        self.refill(now);
        self.tokens_micro = self.tokens_micro.checked_sub(COST_MICRO)?;
        let held = self.held.filter(|held| now < held.expires_at);
        let valid_until = held.map_or(now + BURST, |held| held.expires_at);
        Some(Permit { valid_until })
    }

    /// Adds the tokens accumulated since the last refill and discards tokens above the burst limit.
    fn refill(&mut self, now: time::TimeMs) {
        let since = self.refilled_at;
        let expiry = self
            .held
            .map(|held| held.expires_at.clamp(since, since.max(now)));
        let expiry = expiry.unwrap_or(since);
        let before = self.rate(since).milli() * expiry.since(since).get();
        let after = self.rate(now).milli() * now.since(expiry).get();
        let limit = (self.rate(now).milli() * BURST.get()).max(COST_MICRO);
        let limit = if self.rate(now) == rate::Rate::ZERO {
            0
        } else {
            limit
        };
        self.tokens_micro = (self.tokens_micro + before + after).min(limit);
        self.refilled_at = since.max(now);
    }
}
