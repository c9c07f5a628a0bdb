//! Faults of entry instances, planned restarts, and the periodic expiry of the key tables.

use damaskvane_core::time;
use rand::RngExt;

use crate::model::run::TICK_MS;
use crate::model::{event, run};

impl run::Run {
    pub(super) fn fault(&mut self) {
        let at = self.any_instance();
        let label = match self.rng.random_range(0..4) {
            0 => {
                self.kill(at);
                "kill"
            }
            1 => {
                let pause_ms = self.rng.random_range(100..10_000);
                self.instances[at].paused_until = self.now + time::SpanMs::new(pause_ms);
                "pause"
            }
            2 => {
                self.instances[at].renew();
                "renewal"
            }
            _ => {
                self.leave(at);
                "planned restart"
            }
        };
        *self.report.faults.entry(label).or_default() += 1;
        let every_ms = self.settings.fault_every_ms.max(2);
        let delay_ms = self.rng.random_range(1..every_ms.saturating_mul(2));
        self.schedule(delay_ms, event::Event::Fault);
    }

    pub(super) fn kill(&mut self, at: usize) {
        self.instances[at].restart(self.settings.home.clone());
        for exchange in self
            .backend_exchanges
            .values_mut()
            .filter(|exchange| exchange.at == at)
        {
            exchange.sent = None;
        }
    }

    pub(super) fn leave(&mut self, at: usize) {
        let other = (at + 1) % self.instances.len();
        let successor = self.instances[other].table.home().clone();
        let departed = self.instances[at].table.home().clone();
        let parts = match self.instances[at].table.hand_over(self.now, &successor) {
            Ok(parts) => parts.to_vec(),
            Err(_) => return,
        };
        self.instances[at].successor = Some(successor.clone());
        for part in parts {
            let copies = if self.is_chosen(200) { 2 } else { 1 };
            for _ in 0..copies {
                let to = successor.clone();
                let part = Box::new(part.clone());
                self.transmit(event::Event::HandoverPart { to, part });
            }
        }
        for at in 0..self.instances.len() {
            let (departed, successor) = (departed.clone(), successor.clone());
            self.transmit(event::Event::LearnSuccessor {
                at,
                departed,
                successor,
            });
        }
        let delay_ms = self.rng.random_range(100..3_000);
        self.schedule(delay_ms, event::Event::Restart { at });
    }

    pub(super) fn tick(&mut self) {
        for at in 0..self.instances.len() {
            if self.remaining_pause_ms(at).is_some() {
                continue;
            }
            for finish in self.instances[at].table.expire(self.now) {
                self.answer_waiters(at, finish);
            }
            if self.instances[at].table.needs_renewal() {
                self.instances[at].renew();
            }
        }
        self.schedule(TICK_MS, event::Event::Tick);
    }
}
