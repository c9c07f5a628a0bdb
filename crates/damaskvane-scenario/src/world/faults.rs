//! What goes wrong: processes end, pause and come back; ways are cut.
//!
//! ```text
//! kill -> its clients lose their connections; pause -> everything waits; restart -> a later incarnation
//! ```

use damaskvane_core::{ids, time};

use crate::script::Fault;
use crate::world::World;
use crate::world::delivery::Delivery;
use crate::world::entry::ProcessState;

impl World {
    /// Causes a fault.
    pub fn inject_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Server { server, mode } => {
                if let Some(server) = self.servers.get_mut(server) {
                    server.set_mode(*mode);
                }
            }
            Fault::Kill(instance) => self.kill(instance),
            Fault::Restart(instance) => {
                self.kill(instance);
                self.restart(instance);
            }
            Fault::Pause { instance, span } => self.pause(instance, *span),
            Fault::Cut(a, b) => self.network.cut(a, b),
            Fault::Heal(a, b) => self.network.heal(a, b),
        }
    }

    /// Lets every message pass again.
    pub fn heal_all(&mut self) {
        self.network.heal_all();
    }

    pub(super) fn kill(&mut self, instance: &ids::InstanceId) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        entry.process_state = ProcessState::Ended;
        entry.held.clear();
        let clients = core::mem::take(&mut entry.clients);
        for label in clients.into_values() {
            self.connection_lost(&label);
        }
    }

    /// A new process of an instance that has ended.
    pub(super) fn restart(&mut self, instance: &ids::InstanceId) {
        let Some(entry) = self.entries.get(instance) else {
            return;
        };
        if entry.process_state != ProcessState::Ended {
            return;
        }
        let mut record = entry.record.clone();
        // Incarnations are milliseconds of the wall clock: no later start has a number that an earlier
        // one could have reached by renewal.
        record.incarnation = ids::Incarnation::new(1_000 + self.now.get());
        record.leaving = false;
        self.start(record);
    }

    fn pause(&mut self, instance: &ids::InstanceId, span: time::SpanMs) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        if entry.process_state != ProcessState::Running {
            return;
        }
        entry.process_state = ProcessState::Paused;
        let incarnation = entry.incarnation();
        self.schedule(span, Delivery::Resume(instance.clone(), incarnation));
    }

    pub(super) fn resume(&mut self, instance: &ids::InstanceId, incarnation: ids::Incarnation) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        if entry.process_state != ProcessState::Paused || entry.incarnation() != incarnation {
            return;
        }
        entry.process_state = ProcessState::Running;
        for held in core::mem::take(&mut entry.held) {
            self.schedule(time::SpanMs::ZERO, held);
        }
    }

    /// A planned stop whose work is done ends the process.
    pub(super) fn end_if_drained(&mut self, instance: &ids::InstanceId) {
        let now = self.now;
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        if !entry.record.leaving || !entry.engine.is_drained(now) {
            return;
        }
        entry.has_stopped = entry.clients.is_empty();
        self.platform.withdraw(instance);
        self.kill(instance);
    }
}
