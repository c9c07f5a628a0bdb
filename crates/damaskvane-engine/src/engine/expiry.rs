//! What the passing of time ends: waits before a further try, deadlines, windows.
//!
//! ```text
//! deadline passed, no backend server has it -> final answer at once
//! deadline passed, a backend server has it -> the client hears unknown, the outcome is awaited
//! ```

use damaskvane_core::time;
use damaskvane_dispatch::{outcome, refusal};

use crate::engine::Engine;
use crate::engine::pending::{LocalId, Stage};

impl Engine {
    pub(super) fn expire(&mut self, now: time::TimeMs) {
        self.servers.tick(now);
        for finish in self.keys.expire(now) {
            self.answer_waiters(finish);
        }
        let given_up = self.queue.expire(now);
        self.give_up_all(now, given_up);
        self.end_backoffs(now);
        let past: Vec<LocalId> = self
            .requests
            .iter()
            .filter(|(_, pending)| pending.deadline.is_past(now))
            .map(|(id, _)| *id)
            .collect();
        for id in past {
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
            let placeholder = Stage::Flying(crate::event::ExchangeNumber::new(0));
            if let Stage::Backoff { admitted, .. } =
                core::mem::replace(&mut pending.stage, placeholder)
            {
                pending.stage = Stage::Requeued(admitted);
                self.held.push(*id);
            }
        }
    }

    fn deadline_passed(&mut self, now: time::TimeMs, id: LocalId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        match &pending.stage {
            Stage::Flying(_) => {
                let origin = pending.origin.take();
                if origin.is_some() {
                    let unknown = outcome::Outcome::unknown(refusal::RefusalReason::DeadlinePassed);
                    self.answer(origin, unknown);
                }
            }
            _ => self.give_up(now, id, refusal::RefusalReason::QueueTimeout),
        }
    }
}
