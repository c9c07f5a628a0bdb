//! Expiry of retry delays, deadlines, queued requests and idempotency keys.
//!
//! ```text
//! deadline passed, not sent to a backend server -> final response at once
//! deadline passed, sent to a backend server -> the client gets unknown, the outcome is awaited
//! ```

use damaskvane_core::time;
use damaskvane_dispatch::{outcome, refusal};

use crate::engine::Engine;
use crate::engine::pending::{LocalId, Stage};

impl Engine {
    pub(super) fn expire(&mut self, now: time::TimeMs) {
        self.servers.tick(now);
        for finish in self.keys.expire(now) {
            self.respond_to_waiters(finish);
        }
        let rejected = self.queue.expire(now);
        self.abandon_rejected(now, rejected);
        self.end_backoffs(now);
        let expired: Vec<LocalId> = self
            .requests
            .iter()
            .filter(|(_, pending)| pending.deadline.is_past(now))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.deadline_passed(now, id);
        }
    }

    fn end_backoffs(&mut self, now: time::TimeMs) {
        for (id, pending) in &mut self.requests {
            let Stage::Backoff { until, .. } = &pending.stage else {
                continue;
            };
            if *until > now {
                continue;
            }
            let placeholder = Stage::Running(crate::event::ExchangeNumber::new(0));
            if let Stage::Backoff { admitted, .. } =
                core::mem::replace(&mut pending.stage, placeholder)
            {
                pending.stage = Stage::Requeued(admitted);
                self.deferred.push(*id);
            }
        }
    }

    fn deadline_passed(&mut self, now: time::TimeMs, id: LocalId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        match &pending.stage {
            Stage::Running(_) => {
                let origin = pending.origin.take();
                if origin.is_some() {
                    let unknown = outcome::Outcome::unknown(refusal::RefusalReason::DeadlinePassed);
                    self.respond(origin, unknown);
                }
            }
            _ => self.abandon(now, id, refusal::RefusalReason::QueueTimeout),
        }
    }
}
