//! Announcements whose effect has not shown yet.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

#[derive(Debug, Clone)]
struct Pending {
    due: time::TimeMs,
    pause: time::SpanMs,
    left: u32,
}

/// Whom this instance told of the version in force, and when to tell again.
///
/// A lost announcement would leave a zone with the old head until a heartbeat shows it.
#[derive(Debug, Clone, Default)]
pub(super) struct Telling {
    pending: BTreeMap<ids::InstanceId, Pending>,
}

impl Telling {
    /// Begins to tell an instance, up to `times` times; due at once.
    pub(super) fn start(
        &mut self,
        to: &ids::InstanceId,
        now: time::TimeMs,
        pause: time::SpanMs,
        times: u32,
    ) {
        let pending = Pending {
            due: now,
            pause,
            left: times,
        };
        self.pending.insert(to.clone(), pending);
    }

    /// An instance showed that it knows.
    pub(super) fn stop(&mut self, instance: &ids::InstanceId) {
        self.pending.remove(instance);
    }

    /// Nobody needs to be told of the version told so far.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }

    pub(super) fn is_telling(&self, instance: &ids::InstanceId) -> bool {
        self.pending.contains_key(instance)
    }

    /// Whom to tell now.
    pub(super) fn due(&mut self, now: time::TimeMs) -> Vec<ids::InstanceId> {
        let mut due = Vec::new();
        for (instance, pending) in &mut self.pending {
            if pending.due <= now && pending.left > 0 {
                due.push(instance.clone());
                pending.left -= 1;
                pending.due = now + pending.pause;
                pending.pause = pending.pause.doubled();
            }
        }
        // The last telling is given its pause before it is forgotten.
        self.pending
            .retain(|_, pending| pending.left > 0 || now < pending.due);
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
