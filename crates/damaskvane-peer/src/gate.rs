//! Which senders are listened to, and how often.
//!
//! The gate is driven with the time passed in; the transport measures it.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::counters::DropReason;

const MS_PER_SECOND: u64 = 1_000;

/// Thousandths of a message that one sender may still send; a second's worth at most.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens_milli: u64,
    filled_at: time::TimeMs,
}

impl TokenBucket {
    fn take(&mut self, now: time::TimeMs, per_second: u32) -> bool {
        let burst_milli = u64::from(per_second) * MS_PER_SECOND;
        let gained_milli = now
            .since(self.filled_at)
            .get()
            .saturating_mul(u64::from(per_second));
        self.tokens_milli = self
            .tokens_milli
            .saturating_add(gained_milli)
            .min(burst_milli);
        self.filled_at = self.filled_at.max(now);
        if self.tokens_milli < MS_PER_SECOND {
            return false;
        }
        self.tokens_milli -= MS_PER_SECOND;
        true
    }
}

/// Admits messages of listed instances within their rate.
///
/// It keeps state for listed instances only, so that a stranger who makes up names can't fill memory.
#[derive(Debug)]
pub(crate) struct Gate {
    per_second: u32,
    buckets: BTreeMap<ids::InstanceId, TokenBucket>,
}

impl Gate {
    pub(crate) const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            buckets: BTreeMap::new(),
        }
    }

    pub(crate) fn set_allowed_senders(
        &mut self,
        allowed: impl IntoIterator<Item = ids::InstanceId>,
        now: time::TimeMs,
    ) {
        let full = TokenBucket {
            tokens_milli: u64::from(self.per_second) * MS_PER_SECOND,
            filled_at: now,
        };
        let kept = core::mem::take(&mut self.buckets);
        self.buckets = allowed
            .into_iter()
            .map(|instance| {
                let bucket = kept.get(&instance).copied().unwrap_or(full);
                (instance, bucket)
            })
            .collect();
    }

    pub(crate) fn admit(
        &mut self,
        from: &ids::InstanceId,
        now: time::TimeMs,
    ) -> Result<(), DropReason> {
        let bucket = self.buckets.get_mut(from).ok_or(DropReason::Unlisted)?;
        if bucket.take(now, self.per_second) {
            Ok(())
        } else {
            Err(DropReason::RateExceeded)
        }
    }
}
