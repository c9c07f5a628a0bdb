//! The filter of received messages by sender and rate.
//!
//! The caller passes the time in; this module reads no clock.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::counters::DropReason;

/// The tokens that one message costs; a rate of one message per second adds one token per millisecond.
const TOKENS_PER_MESSAGE: u64 = 1_000;

/// The rate limit of one sender: a message costs 1,000 tokens, and a bucket holds at most the messages
/// of one second.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: u64,
    refilled_at: time::TimeMs,
}

impl TokenBucket {
    fn take(&mut self, now: time::TimeMs, per_second: u32) -> bool {
        let max_tokens = u64::from(per_second) * TOKENS_PER_MESSAGE;
        let added_tokens = now
            .since(self.refilled_at)
            .get()
            .saturating_mul(u64::from(per_second));
        self.tokens = self.tokens.saturating_add(added_tokens).min(max_tokens);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < TOKENS_PER_MESSAGE {
            return false;
        }
        self.tokens -= TOKENS_PER_MESSAGE;
        true
    }
}

/// Admits messages of allowed senders up to their maximum rate.
///
/// The filter has state for allowed senders only, so that messages under invented names can't fill the
/// memory. If unlisted senders are admitted, all of them together have the rate of one sender.
#[derive(Debug)]
pub(crate) struct SenderFilter {
    per_second: u32,
    buckets: BTreeMap<ids::InstanceId, TokenBucket>,
    /// The common bucket of all unlisted senders; `None` if they are not admitted.
    unlisted: Option<TokenBucket>,
}

impl SenderFilter {
    pub(crate) const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            buckets: BTreeMap::new(),
            unlisted: None,
        }
    }

    pub(crate) fn set_allowed_senders(
        &mut self,
        allowed: impl IntoIterator<Item = ids::InstanceId>,
        now: time::TimeMs,
    ) {
        let full = self.full_bucket(now);
        let previous = core::mem::take(&mut self.buckets);
        self.buckets = allowed
            .into_iter()
            .map(|instance| {
                let bucket = previous.get(&instance).copied().unwrap_or(full);
                (instance, bucket)
            })
            .collect();
    }

    pub(crate) fn set_admits_unlisted(&mut self, admits_unlisted: bool, now: time::TimeMs) {
        let bucket = self.unlisted.unwrap_or_else(|| self.full_bucket(now));
        self.unlisted = admits_unlisted.then_some(bucket);
    }

    fn full_bucket(&self, now: time::TimeMs) -> TokenBucket {
        TokenBucket {
            tokens: u64::from(self.per_second) * TOKENS_PER_MESSAGE,
            refilled_at: now,
        }
    }

    pub(crate) fn admit(
        &mut self,
        from: &ids::InstanceId,
        now: time::TimeMs,
    ) -> Result<(), DropReason> {
        let listed = self.buckets.get_mut(from);
        let bucket = listed
            .or(self.unlisted.as_mut())
            .ok_or(DropReason::Unlisted)?;
        if bucket.take(now, self.per_second) {
            Ok(())
        } else {
            Err(DropReason::RateExceeded)
        }
    }
}
