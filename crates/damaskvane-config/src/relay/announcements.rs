//! Announcements of the active version that peers have not yet confirmed.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

#[derive(Debug, Clone)]
struct Pending {
    due: time::TimeMs,
    interval: time::SpanMs,
    remaining: u32,
}

/// The instances to which the active version is announced, and when each announcement is repeated.
///
/// Without repetition a lost announcement would leave a zone with the old head until the next
/// heartbeat.
#[derive(Debug, Clone, Default)]
pub(super) struct Announcements {
    pending: BTreeMap<ids::InstanceId, Pending>,
}

impl Announcements {
    /// Schedules up to `times` announcements to an instance, the first at once.
    pub(super) fn start(
        &mut self,
        to: &ids::InstanceId,
        now: time::TimeMs,
        interval: time::SpanMs,
        times: u32,
    ) {
        let pending = Pending {
            due: now,
            interval,
            remaining: times,
        };
        self.pending.insert(to.clone(), pending);
    }

    /// Cancels the announcements to an instance that has reported the active version or a higher
    /// one.
    pub(super) fn stop(&mut self, instance: &ids::InstanceId) {
        self.pending.remove(instance);
    }

    /// Cancels all announcements, for example since a newer version became active.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }

    pub(super) fn is_announcing(&self, instance: &ids::InstanceId) -> bool {
        self.pending.contains_key(instance)
    }

    /// Returns the instances to which an announcement is due now, and schedules the next ones.
    pub(super) fn due(&mut self, now: time::TimeMs) -> Vec<ids::InstanceId> {
        let mut due = Vec::new();
        for (instance, pending) in &mut self.pending {
            if pending.due <= now && pending.remaining > 0 {
                due.push(instance.clone());
                pending.remaining -= 1;
                pending.due = now + pending.interval;
                pending.interval = pending.interval.doubled();
            }
        }
        // An entry stays for one more interval after its last announcement, so that the
        // announcement has time to take effect.
        self.pending
            .retain(|_, pending| pending.remaining > 0 || now < pending.due);
        due
    }
}

trait Doubled {
    fn doubled(self) -> Self;
}

impl Doubled for time::SpanMs {
    fn doubled(self) -> Self {
        Self::new(self.get().saturating_mul(2))
    }
}
